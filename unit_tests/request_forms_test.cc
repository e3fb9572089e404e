// Tests of the forms that HTTP allows, or does not allow, for a request: each
// row of a table is written byte by byte to a router on a loopback socket.
#include <sys/socket.h>

#include <atomic>
#include <boost/asio.hpp>
#include <thread>

// Last: its macros clash with headers of Boost.
#include "unit_tests/router_fixture.h"

using namespace chervilpass;
using namespace chervilpass::serving;

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr timeval kLongestWait{10, 0};  // for a response, or for the close
// A connection without further bytes for so long after a response is kept open.
constexpr timeval kSilence{0, 150000};

// What follows the response.
enum class After { kSilence, kClose };

// What a caller receives.
struct Reply {
  std::string bytes;
  bool closed = false;

  unsigned Status() const {
    return this->bytes.size() < 12
               ? 0
               : static_cast<unsigned>(std::stoul(this->bytes.substr(9, 3)));
  }
};

// Writes `parts` on one connection, `pause` apart, and reads a response and
// what is expected after it: a close, or nothing.
Reply Exchange(io::Runtime& runtime,
               std::uint16_t port,
               const std::vector<std::string>& parts,
               After after = After::kSilence,
               Duration pause = Duration::zero()) {
  Reply reply;
  std::atomic<bool> finished = false;
  std::thread caller([&] {
    boost::asio::io_context context;
    Tcp::socket socket(context);
    socket.connect({boost::asio::ip::make_address(kIp), port});
    boost::system::error_code error;
    for (const std::string& part : parts) {
      boost::asio::write(socket, boost::asio::buffer(part), error);
      std::this_thread::sleep_for(pause);
    }
    const int handle = socket.native_handle();
    char piece[4096];
    ssize_t size = 0;
    do {
      const bool waits = reply.bytes.empty() || after == After::kClose;
      const timeval& limit = waits ? kLongestWait : kSilence;
      ::setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
      size = ::recv(handle, piece, sizeof(piece), 0);
      reply.bytes.append(piece,
                         static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    } while (size > 0);
    reply.closed = size == 0 || errno == ECONNRESET;
    finished = true;
  });
  while (!finished) {
    runtime.SleepFor(milliseconds(2));
  }
  caller.join();
  return reply;
}

// A request head; `target` and `fields` replace or follow the usual ones.
std::string Head(const std::string& request_line,
                 const std::string& host,
                 const std::string& fields = "") {
  return request_line + "\r\nHost: " + host +
         "\r\nChervilpass-Request-Id: r1\r\nAuthorization: Token key\r\n" +
         fields + "\r\n";
}

std::string Lookup(const std::string& fields) {
  return Head("GET /lookup/x HTTP/1.1", "h.example", fields);
}

// An exchange whose responses cannot be written.
class ThrowingExchange final : public io::HttpExchange {
 public:
  const io::HttpRequest& Request() const override { return this->request; }
  io::Endpoint Peer() const override { return {}; }
  bool ResponseBegun() const override { return false; }
  void Respond(const io::HttpResponse&) override {
    throw std::length_error("too long");
  }
  bool BeginStream(const io::HttpResponse&) override { return false; }
  bool WriteChunk(std::string_view) override { return false; }
  bool EndStream() override { return false; }
  void Abort() override {}
  bool PeerClosed() override { return false; }
  void WatchPeer(std::function<void()>) override {}

 private:
  io::HttpRequest request;
};

// An exchange whose peer leaves while it receives a response.
class CutExchange final : public io::HttpExchange {
 public:
  explicit CutExchange(io::HttpRequest request) : request(std::move(request)) {}

  const io::HttpRequest& Request() const override { return this->request; }
  io::Endpoint Peer() const override { return {}; }
  bool ResponseBegun() const override { return this->responded; }
  void Respond(const io::HttpResponse&) override { this->responded = true; }
  bool BeginStream(const io::HttpResponse&) override { return false; }
  bool WriteChunk(std::string_view) override { return false; }
  bool EndStream() override { return false; }
  void Abort() override {}
  bool PeerClosed() override { return false; }
  io::PeerEnd HowPeerEnded() const override {
    return this->responded ? io::PeerEnd::kWriteFailed : io::PeerEnd::kNone;
  }
  void WatchPeer(std::function<void()>) override {}

 private:
  io::HttpRequest request;
  bool responded = false;
};

// A router with a plain server that records the bodies of its runs.
struct Fixture {
  Fixture(io::Runtime& runtime, std::uint16_t port)
      : router(runtime, port), port(port) {
    this->router.AddServer(1, "app", {}, [this](io::HttpExchange& exchange) {
      this->requests.push_back(exchange.Request());
      exchange.Respond(MakeResponse(exchange, 200, "done"));
    });
  }

  RouterFixture router;
  std::uint16_t port;
  std::vector<io::HttpRequest> requests;  ///< that ran
};

}  // namespace

// Guards against proper requests that are turned away because of their form.
Test(request_forms, proper_forms_are_served) {
  OnRuntime([](io::Runtime& runtime) {
    Fixture fixture(runtime, 29000);
    const std::string usual = "GET /lookup/x HTTP/1.1";
    const struct {
      const char* name;
      std::string bytes;
    } rows[] = {
        {"usual", Head(usual, "h.example")},
        {"host in capitals", Head(usual, "H.Example")},
        {"host with a port", Head(usual, "h.example:8227")},
        {"host with a final dot", Head(usual, "h.example.")},
        {"host with a final dot and a port", Head(usual, "h.example.:80")},
        {"absolute form",
         Head("GET http://h.example/lookup/x HTTP/1.1", "h.example")},
        {"absolute form, other host field",
         Head("GET http://h.example/lookup/x HTTP/1.1", "other.example")},
        {"absolute form in capitals with a port",
         Head("GET HTTP://H.EXAMPLE:8227/lookup/x HTTP/1.1", "h.example")},
        {"absolute form with a query",
         Head("GET http://h.example/lookup/x?a=b HTTP/1.1", "h.example")},
        {"an empty line first", "\r\n" + Head(usual, "h.example")},
        {"two empty lines first", "\r\n\r\n" + Head(usual, "h.example")},
        {"deadline with a fraction",
         Lookup("Chervilpass-Deadline-Ms: 1500.75\r\n")},
        {"deadline of twenty digits",
         Lookup("Chervilpass-Deadline-Ms: 99999999999999999999\r\n")},
        {"last event with a text", Lookup("Last-Event-Id: abc\r\n")},
        {"last event without a value", Lookup("Last-Event-Id:\r\n")},
        {"no space after the colon", Lookup("X-A:b\r\n")},
        {"spaces after the value", Lookup("X-A:  b  \r\n")},
        {"key's scheme in capitals",
         "GET /lookup/x HTTP/1.1\r\nHost: h.example\r\nChervilpass-Request-Id: "
         "r1\r\nAUTHORIZATION: TOKEN key\r\n\r\n"},
        {"chunked body", Head("GET /lookup/x HTTP/1.1", "h.example",
                              "Transfer-Encoding: chunked\r\n") +
                             "3;a=b\r\nabc\r\n0\r\n\r\n"},
        {"chunked in capitals", Head("GET /lookup/x HTTP/1.1", "h.example",
                                     "TRANSFER-ENCODING: Chunked\r\n") +
                                    "3\r\nabc\r\n0\r\n\r\n"},
        {"chunked with a trailer", Head("GET /lookup/x HTTP/1.1", "h.example",
                                        "Transfer-Encoding: chunked\r\n") +
                                       "3\r\nabc\r\n0\r\nX-T: 1\r\n\r\n"},
        {"two equal lengths",
         Head("POST /lookup/x HTTP/1.1", "h.example",
              "Content-Length: 3\r\nContent-Length: 3\r\n") +
             "abc"},
        {"upgrade that is not taken",
         Lookup("Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
                "HTTP2-Settings: AAMAAABkAAQAAP__\r\n")},
    };
    for (const auto& row : rows) {
      fixture.requests.clear();
      const Reply reply = Exchange(runtime, fixture.port, {row.bytes});
      cr_expect_eq(reply.Status(), 200, "%s: %s", row.name,
                   reply.bytes.c_str());
      cr_expect_eq(fixture.requests.size(), 1, "%s", row.name);
      cr_expect(!reply.closed, "%s", row.name);
      if (!fixture.requests.empty()) {
        cr_expect(fixture.requests[0].target.starts_with("/lookup/x"), "%s: %s",
                  row.name, fixture.requests[0].target.c_str());
      }
    }
  });
}

// Guards against callers that wait in vain for an interim response before they
// send the body.
Test(request_forms, a_caller_that_waits_for_continue_gets_it) {
  OnRuntime([](io::Runtime& runtime) {
    Fixture fixture(runtime, 29010);
    const std::string head =
        Head("POST /file/x HTTP/1.1", "h.example",
             "Expect: 100-continue\r\nContent-Length: 3\r\n");
    const Reply waiting = Exchange(runtime, fixture.port, {head});
    cr_expect(waiting.bytes.starts_with("HTTP/1.1 100 Continue\r\n\r\n"), "%s",
              waiting.bytes.c_str());
    cr_expect_eq(fixture.requests.size(), 0);
    const Reply whole = Exchange(runtime, fixture.port, {head, "abc", ""},
                                 After::kSilence, milliseconds(50));
    cr_expect_neq(whole.bytes.find("HTTP/1.1 200"), std::string::npos);
    cr_expect_eq(fixture.requests.size(), 1);
    cr_expect_eq(fixture.requests[0].body, "abc");
    cr_expect(!fixture.requests[0].headers.Find("Expect"));
  });
}

// Guards against bodies that run as further requests, because the end of the
// request before them is taken to be elsewhere than it is.
Test(request_forms, bodies_of_unclear_length_are_refused_and_never_run) {
  OnRuntime([](io::Runtime& runtime) {
    Fixture fixture(runtime, 29020);
    const std::string inner = Lookup("");
    const std::string chunked_inner =
        fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", inner.size(), inner);
    const struct {
      const char* name;
      std::string fields;
      std::string body;
      unsigned status;
    } rows[] = {
        {"unknown coding", "Transfer-Encoding: gzip\r\n", inner, 400},
        {"identity", "Transfer-Encoding: identity\r\n", inner, 400},
        {"empty coding", "Transfer-Encoding:\r\n", inner, 400},
        {"gzip, chunked", "Transfer-Encoding: gzip, chunked\r\n", chunked_inner,
         501},
        {"gzip and chunked in two fields",
         "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
         chunked_inner, 501},
        {"chunked, gzip", "Transfer-Encoding: chunked, gzip\r\n", chunked_inner,
         400},
        {"chunked twice", "Transfer-Encoding: chunked, chunked\r\n",
         chunked_inner, 400},
        {"chunked twice in two fields",
         "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
         chunked_inner, 400},
        {"not quite chunked", "Transfer-Encoding: xchunked\r\n", chunked_inner,
         400},
        {"length and coding",
         "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", chunked_inner,
         400},
        {"coding and length",
         "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", chunked_inner,
         400},
        {"two lengths", "Content-Length: 0\r\nContent-Length: 4\r\n", inner,
         400},
        {"length with a sign", "Content-Length: +0\r\n", inner, 400},
        {"negative length", "Content-Length: -1\r\n", inner, 400},
        {"length in hexadecimal", "Content-Length: 0x0\r\n", inner, 400},
        {"list of lengths", "Content-Length: 0, 4\r\n", inner, 400},
        {"space before the colon", "Content-Length : 4\r\n", inner, 400},
        {"space before the coding's colon", "Transfer-Encoding : chunked\r\n",
         chunked_inner, 400},
        {"odd end of line", "X-A: b\nContent-Length: 4\r\n", inner, 400},
        {"chunk size with a sign", "Transfer-Encoding: chunked\r\n",
         "+0\r\n\r\n" + inner, 400},
        {"chunk without its end", "Transfer-Encoding: chunked\r\n",
         "1\r\nab\r\n0\r\n\r\n" + inner, 400},
    };
    for (const char* method : {"POST /lookup/x", "GET /lookup/x"}) {
      for (const auto& row : rows) {
        fixture.requests.clear();
        const Reply reply = Exchange(
            runtime, fixture.port,
            {Head(std::string(method) + " HTTP/1.1", "h.example", row.fields) +
             row.body},
            After::kClose);
        cr_expect_eq(reply.Status(), row.status, "%s: %s", row.name,
                     reply.bytes.c_str());
        cr_expect(reply.closed, "%s", row.name);
        cr_expect_eq(fixture.requests.size(), 0, "%s: ran", row.name);
      }
    }
    fixture.requests.clear();
    const Reply old = Exchange(
        runtime, fixture.port,
        {Head("POST /lookup/x HTTP/1.0", "h.example",
              "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n") +
         chunked_inner},
        After::kClose);
    cr_expect_eq(old.Status(), 400);
    cr_expect(old.closed);
    cr_expect_eq(fixture.requests.size(), 0);
  });
}

// Guards against a request that ends the process: the HTTP library throws as it
// writes some methods with a body. The same router serves on afterwards.
Test(request_forms, every_method_leaves_the_router_serving) {
  OnRuntime([](io::Runtime& runtime) {
    Fixture fixture(runtime, 29030);
    const struct {
      const char* method;
      unsigned status;
    } rows[] = {{"GET", 200},     {"HEAD", 200},  {"POST", 200},
                {"PUT", 200},     {"PATCH", 200}, {"DELETE", 200},
                {"OPTIONS", 200}, {"TRACE", 405}, {"CONNECT", 405},
                {"BREW", 501},    {"get", 501},   {"PROPFIND", 501},
                {"M-SEARCH", 501}};
    for (const auto& row : rows) {
      for (const bool length : {false, true}) {
        for (const bool body : {false, true}) {
          for (const bool key : {false, true}) {
            if (body && !length) {
              continue;
            }
            const std::string request =
                std::string(row.method) +
                " /lookup/x HTTP/1.1\r\nHost: h.example\r\n"
                "Chervilpass-Request-Id: r1\r\n" +
                (key ? "Authorization: Token key\r\n" : "") +
                (length ? fmt::format("Content-Length: {}\r\n", body ? 5 : 0)
                        : "") +
                "\r\n" + (body ? "12345" : "");
            const unsigned expected =
                row.status == 200 && !key ? 401 : row.status;
            // An old configuration gives no final refusals.
            fixture.router.routing_state.OnConfigConfirmed(runtime.Now());
            const Reply reply = Exchange(runtime, fixture.port, {request});
            cr_expect_eq(reply.Status(), expected, "%s: %s", request.c_str(),
                         reply.bytes.c_str());
            if (expected == 405) {
              cr_expect_neq(reply.bytes.find("\r\nAllow: GET, "),
                            std::string::npos);
            }
            if (std::string_view(row.method) == "HEAD") {
              cr_expect(reply.bytes.ends_with("\r\n\r\n"), "%s",
                        reply.bytes.c_str());
            }
          }
        }
      }
    }
    const Reply last = Exchange(runtime, fixture.port, {Lookup("")});
    cr_expect_eq(last.Status(), 200);
  });
}

// Guards against a VM that leaves and waits for a request which has ended by an
// exception, or reads what is left of it.
Test(request_forms, a_response_that_throws_leaves_no_request_in_progress) {
  OnRuntime([](io::Runtime& runtime) {
    Fixture fixture(runtime, 29040);
    serving::Router& router = *fixture.router.router;
    ThrowingExchange exchange;
    cr_expect_throw(router.Handle(exchange), std::length_error);
    cr_expect_throw(router.HandleForwarded(exchange), std::length_error);
    cr_expect_eq(router.InFlight(), 0);
  });
}

// Guards against answers that count as served, and mostly have no log line,
// although their callers have not received them.
Test(request_forms, an_answer_that_is_not_received_is_not_served) {
  OnRuntime([](io::Runtime& runtime) {
    Fixture fixture(runtime, 29100);
    io::HttpRequest request = fixture.router.Request("/lookup/x", "r1");
    request.path = request.target;
    CutExchange exchange(request);
    fixture.router.router->Handle(exchange);
    cr_expect(exchange.ResponseBegun());
    cr_expect_eq(fixture.requests.size(), 1);
    const MetricsRegistry& metrics = fixture.router.metrics;
    cr_expect_eq(metrics.CounterValue("chervil_requests_total",
                                      "outcome=\"left\",code=\"0\""),
                 1);
    cr_expect_eq(metrics.CounterValue("chervil_requests_total",
                                      "outcome=\"served\",code=\"200\""),
                 0);
  });
}
