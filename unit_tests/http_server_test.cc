// Tests of the HTTP server on loopback sockets: connections that end while
// requests are on their way, and handlers that fail.
#include <malloc.h>

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <ctime>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "chervilpass/io/http_client.h"
#include "chervilpass/io/http_server.h"

// Included last: its macros clash with names in Boost.
#include <criterion/criterion.h>

using namespace chervilpass;
using namespace chervilpass::io;

namespace {

using Tcp = boost::asio::ip::tcp;

void OnRuntime(const std::function<void(Runtime&)>& body) {
  Runtime::Run([&body](Runtime& runtime) { body(runtime); });
}

Endpoint TestEndpoint(std::uint16_t number) {
  return {"127.0.205.1", static_cast<std::uint16_t>(21000 + number)};
}

std::unique_ptr<HttpServer> Serve(Runtime& runtime,
                                  const Endpoint& listen,
                                  HttpHandler handler,
                                  HttpServerSettings settings = {}) {
  settings.listen = listen;
  auto server =
      HttpServer::Create(&runtime, settings, std::move(handler),
                         [](unsigned status, std::string_view detail) {
                           return HttpResponse{status, {}, std::string(detail)};
                         });
  cr_assert(server.has_value());
  return std::move(server).value();
}

// A caller's connection; writes do not let other fibers run.
class Caller {
 public:
  explicit Caller(const Endpoint& to) : socket(this->context) {
    this->socket.connect({boost::asio::ip::make_address(to.ip), to.port});
  }

  // False if the connection is broken.
  bool Send(const std::string& bytes) {
    boost::system::error_code error;
    boost::asio::write(this->socket, boost::asio::buffer(bytes), error);
    return !error;
  }

  void CloseSendingSide() { this->socket.shutdown(Tcp::socket::shutdown_send); }

  void Close() { this->socket.close(); }

  // True if the server has closed the connection and nothing is left to read.
  bool Closed() {
    char byte = 0;
    boost::system::error_code error;
    this->socket.non_blocking(true);
    this->socket.read_some(boost::asio::buffer(&byte, 1), error);
    return error == boost::asio::error::eof;
  }

  // Bytes that have arrived.
  std::string Receive() {
    std::string received(4096, '\0');
    boost::system::error_code error;
    this->socket.non_blocking(true);
    const std::size_t size =
        this->socket.read_some(boost::asio::buffer(received), error);
    received.resize(size);
    return received;
  }

 private:
  boost::asio::io_context context;
  Tcp::socket socket;
};

// Processor time of this thread.
Duration ThreadTime() {
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

constexpr std::string_view kGet = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
// Part of a request: its body does not follow.
constexpr std::string_view kPart =
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n";
// After it a connection may be replaced.
constexpr Duration kLongIdle = milliseconds(1100);
constexpr Duration kTransfer = milliseconds(50);

}  // namespace

// Guards against requests that run although their connection is closed already:
// bytes that arrive right after an idle connection was shut down can still be
// read, and the response has no way back.
Test(http_server,
     a_request_that_crosses_the_close_of_its_connection_is_not_run) {
  OnRuntime([](Runtime& runtime) {
    int handled = 0;
    const Endpoint listen = TestEndpoint(1);
    const auto server = Serve(runtime, listen, [&](HttpExchange& exchange) {
      ++handled;
      exchange.Respond({200, {}, "ok"});
    });
    Caller caller(listen);
    caller.Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    runtime.SleepFor(milliseconds(50));
    cr_assert_eq(handled, 1);
    server->CloseIdle();
    caller.Send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    runtime.SleepFor(milliseconds(50));
    cr_assert_eq(handled, 1);
    cr_assert_eq(server->Connections(), 0);
  });
}

Test(http_server, a_request_that_has_arrived_before_the_close_is_served) {
  OnRuntime([](Runtime& runtime) {
    int handled = 0;
    const Endpoint listen = TestEndpoint(2);
    const auto server = Serve(runtime, listen, [&](HttpExchange& exchange) {
      ++handled;
      exchange.Respond({200, {}, "ok"});
    });
    Caller caller(listen);
    caller.Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    runtime.SleepFor(milliseconds(50));
    caller.Receive();
    caller.Send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    server->CloseIdle();
    runtime.SleepFor(milliseconds(50));
    cr_assert_eq(handled, 2);
    cr_assert(caller.Receive().starts_with("HTTP/1.1 200"));
  });
}

// Guards against one request that ends the whole process: exceptions of a
// handler, or of the HTTP library, ended the fiber and with it all requests.
Test(http_server, an_exception_ends_its_own_connection_only) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(3);
    const auto server = Serve(runtime, listen, [](HttpExchange& exchange) {
      if (exchange.Request().target == "/bad") {
        throw std::invalid_argument("bad request");
      }
      exchange.Respond({200, {}, "ok"});
    });
    std::string detail;
    server->OnException([&](std::string_view text) { detail = text; });
    Caller sound(listen);
    sound.Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    Caller bad(listen);
    bad.Send("GET /bad HTTP/1.1\r\nHost: a\r\n\r\n");
    runtime.SleepFor(milliseconds(50));
    cr_assert(sound.Receive().starts_with("HTTP/1.1 200"));
    sound.Send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    runtime.SleepFor(milliseconds(50));
    cr_assert(sound.Receive().starts_with("HTTP/1.1 200"));
    cr_assert_eq(server->Connections(), 1);
    cr_assert_eq(server->InFlight(), 0);
    cr_assert_eq(server->Counts().exceptions, 1);
    cr_assert_eq(detail, "bad request");
  });
}

// Guards against one request that ends the process: the HTTP library throws as
// it reads a field of more than 64 KiB, within an operation that belongs to no
// connection's fiber.
Test(http_server, a_field_too_large_for_the_library_is_refused) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(8);
    const auto server = Serve(runtime, listen, [](HttpExchange& exchange) {
      exchange.Respond({200, {}, exchange.Request().body});
    });
    HttpServerLimits limits;
    limits.header_bytes = 256 * 1024;
    server->SetLimits(limits);
    const std::string large(70000, 'a');
    std::string many;
    for (int i = 0; i < 50; ++i) {
      many += "X-" + std::to_string(i) + ": " + large.substr(0, 2000) + "\r\n";
    }
    const std::string begin = "POST /1 HTTP/1.1\r\nHost: a\r\n";
    const std::string chunked = begin + "Transfer-Encoding: chunked\r\n\r\n";
    const struct {
      const char* name;
      std::string bytes;
      const char* status;
    } rows[] = {
        {"value", begin + "X-A: " + large + "\r\n\r\n", "HTTP/1.1 431"},
        {"name", begin + large + ": b\r\n\r\n", "HTTP/1.1 431"},
        {"trailer", chunked + "1\r\nb\r\n0\r\nX-A: " + large + "\r\n\r\n",
         "HTTP/1.1 431"},
        {"many fields", begin + many + "Content-Length: 1\r\n\r\nb",
         "HTTP/1.1 200"},
        {"body in chunks", chunked + "1\r\nb\r\n2\r\ncd\r\n0\r\n\r\n",
         "HTTP/1.1 200"},
    };
    for (const auto& row : rows) {
      Caller caller(listen);
      // Later bytes are read by the poller.
      for (std::size_t sent = 0; sent < row.bytes.size(); sent += 30000) {
        caller.Send(row.bytes.substr(sent, 30000));
        runtime.SleepFor(milliseconds(5));
      }
      runtime.SleepFor(milliseconds(50));
      const std::string reply = caller.Receive();
      cr_expect(reply.starts_with(row.status), "%s: %s", row.name,
                reply.c_str());
    }
    cr_assert_eq(server->Counts().exceptions, 0);
  });
}

// Guards against bytes that the caller takes for the next response.
Test(http_server, a_stream_in_response_to_head_has_no_body) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(9);
    const auto server = Serve(runtime, listen, [](HttpExchange& exchange) {
      cr_expect(exchange.BeginStream({200, {}, ""}));
      cr_expect(exchange.WriteChunk("piece"));
      cr_expect(exchange.EndStream());
    });
    Caller caller(listen);
    caller.Send("HEAD /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    runtime.SleepFor(milliseconds(50));
    const std::string head = caller.Receive();
    cr_expect(head.starts_with("HTTP/1.1 200"));
    cr_expect(
        head.ends_with("\r\n\r\n") && head.find("\r\n\r\n") == head.size() - 4,
        "%s", head.c_str());
    caller.Send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    runtime.SleepFor(milliseconds(50));
    const std::string next = caller.Receive();
    cr_expect(next.starts_with("HTTP/1.1 200"));
    cr_expect(next.ends_with("5\r\npiece\r\n0\r\n\r\n"), "%s", next.c_str());
  });
}

// Guards against trailers that a caller sets after what it has been checked by
// (RFC 9110, section 6.5.1): a key, a tenant, a deadline, the connection's end.
Test(http_server, a_trailer_is_no_part_of_the_head) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(30);
    std::vector<std::string> names;
    std::size_t held = 0;
    const auto server = Serve(runtime, listen, [&](HttpExchange& exchange) {
      held = ::mallinfo2().uordblks;
      names.clear();
      for (const HttpHeader& field : exchange.Request().headers.All()) {
        names.push_back(field.name);
      }
      exchange.Respond({200, {}, exchange.Request().body});
    });
    std::size_t held_without = 0;
    for (const std::string pause : {"0", "0\r\n"}) {
      Caller caller(listen);
      caller.Send(
          "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
          "1\r\nb\r\n" +
          pause);
      runtime.SleepFor(kTransfer);
      caller.Send(std::string("0\r\n").substr(pause.size()) +
                  "X-A: b\r\nConnection: close\r\n\r\n");
      runtime.SleepFor(kTransfer);
      const std::string reply = caller.Receive();
      cr_expect(reply.starts_with("HTTP/1.1 200") && reply.ends_with("\r\nb"),
                "%s", reply.c_str());
      cr_expect_eq(names.size(), 2);
      caller.Send(std::string(kGet));
      runtime.SleepFor(kTransfer);
      cr_expect(caller.Receive().starts_with("HTTP/1.1 200"));
      held_without = held;
    }
    // Nor is it held while the request runs: it is not counted.
    Caller caller(listen);
    std::string request =
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    for (int field = 0; field < 2000; ++field) {
      request += "a:b\r\n";
    }
    caller.Send(request + "\r\n");
    runtime.SleepFor(kTransfer);
    cr_expect(caller.Receive().starts_with("HTTP/1.1 200"));
    cr_expect_lt(held, held_without + 4 * request.size());
  });
}

// Guards against requests that another server before this one takes to be for
// another host (RFC 9112, section 3.2; RFC 9110, section 4.2.1).
Test(http_server, a_request_without_just_one_proper_host_is_refused) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(31);
    int runs = 0;
    const auto server = Serve(runtime, listen, [&](HttpExchange& exchange) {
      ++runs;
      exchange.Respond({200, {}, ""});
    });
    const std::string get = "GET / HTTP/1.1\r\n";
    const struct {
      std::string bytes;
      bool proper;
    } rows[] = {{get + "Host: a\r\n", true},
                {get + "Host: a.b.:80\r\n", true},
                {get + "Host: [::1]:80\r\n", true},
                {get + "Host: a_b%20~!$&'()*+,;=\r\n", true},
                {get + "Host:\r\n", true},
                {"GET / HTTP/1.0\r\nConnection: keep-alive\r\n", true},
                {"GET http://a/ HTTP/1.1\r\nHost: b\r\n", true},
                {get, false},
                {get + "Host: a\r\nHost: a\r\n", false},
                {get + "Host: a\r\nhost: b\r\n", false},
                {"GET / HTTP/1.0\r\nHost: a\r\nHost: b\r\n", false},
                {get + "Host: a b\r\n", false},
                {get + "Host: a, b\r\n", false},
                {get + "Host: a/b\r\n", false},
                {get + "Host: a@b\r\n", false},
                {get + "Host: a:80x\r\n", false},
                {get + "Host: a%2\r\n", false},
                {get + "Host: [::1\r\n", false},
                {"GET http:/// HTTP/1.1\r\nHost: a\r\n", false},
                {"GET http://:80/ HTTP/1.1\r\nHost: a\r\n", false},
                {"GET http://a/ HTTP/1.1\r\n", false}};
    for (const auto& row : rows) {
      runs = 0;
      Caller caller(listen);
      caller.Send(row.bytes + "\r\n");
      runtime.SleepFor(kTransfer);
      cr_expect(caller.Receive().starts_with(row.proper ? "HTTP/1.1 200"
                                                        : "HTTP/1.1 400"),
                "%s", row.bytes.c_str());
      cr_expect_eq(runs, row.proper ? 1 : 0, "%s", row.bytes.c_str());
      cr_expect_eq(caller.Closed(), !row.proper, "%s", row.bytes.c_str());
    }
  });
}

// Guards against a length of 0 that is not the one of the body (RFC 9110,
// section 8.6).
Test(http_server, a_response_that_has_no_body_states_no_wrong_length) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(32);
    HttpResponse response;
    const auto server = Serve(runtime, listen, [&](HttpExchange& exchange) {
      exchange.Respond(response);
    });
    const struct {
      const char* method;
      unsigned status;
      const char* body;
      const char* length;  // nullptr: not stated
    } rows[] = {{"HEAD", 200, "", nullptr}, {"HEAD", 404, "abc", "3"},
                {"GET", 204, "", nullptr},  {"GET", 304, "", nullptr},
                {"POST", 204, "", nullptr}, {"HEAD", 204, "", nullptr},
                {"GET", 200, "", "0"},      {"GET", 200, "abc", "3"}};
    Caller caller(listen);
    for (const auto& row : rows) {
      response = {row.status, {}, row.body};
      caller.Send(std::string(row.method) + " / HTTP/1.1\r\nHost: a\r\n\r\n");
      runtime.SleepFor(kTransfer);
      const std::string reply = caller.Receive();
      cr_expect(reply.starts_with("HTTP/1.1 " + std::to_string(row.status)),
                "%s", reply.c_str());
      const std::size_t field = reply.find("Content-Length: ");
      const std::string stated =
          field == std::string::npos
              ? "none"
              : reply.substr(field + 16,
                             reply.find("\r\n", field) - field - 16);
      cr_expect_str_eq(stated.c_str(),
                       row.length == nullptr ? "none" : row.length, "%s %u",
                       row.method, row.status);
      cr_expect_eq(reply.find("Transfer-Encoding"), std::string::npos);
      const std::string body = reply.substr(reply.find("\r\n\r\n") + 4);
      cr_expect_str_eq(body.c_str(),
                       std::string_view(row.method) == "HEAD" ? "" : row.body);
    }
  });
}

// Guards against chunks whose first line another server before this one takes
// to end elsewhere (RFC 9112, section 7.1).
Test(http_server, a_line_end_within_a_chunk_extension_is_refused) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(33);
    int runs = 0;
    const auto server = Serve(runtime, listen, [&](HttpExchange& exchange) {
      ++runs;
      exchange.Respond({200, {}, ""});
    });
    for (const std::string extension : {";a=\"b\"", ";a=\"b\nc\"", ";a=\"\n\"",
                                        ";a=\"\\\n\"", ";a\n", ";\nb=c"}) {
      for (const std::string size : {"1", "0"}) {
        runs = 0;
        Caller caller(listen);
        caller.Send(
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
            size + extension + "\r\n" +
            (size == "1" ? "b\r\n0\r\n\r\n" : "\r\n"));
        runtime.SleepFor(kTransfer);
        const bool proper = extension.find('\n') == std::string::npos;
        const std::string reply = caller.Receive();
        cr_expect(reply.starts_with(proper ? "HTTP/1.1 200" : "HTTP/1.1 400"),
                  "%s: %s", extension.c_str(), reply.c_str());
        cr_expect_eq(runs, proper ? 1 : 0, "%s", extension.c_str());
        cr_expect_eq(caller.Closed(), !proper, "%s", extension.c_str());
      }
    }
  });
}

// Guards against a connection that goes on although the caller asked for its
// end (RFC 9112, section 9.3).
Test(http_server, a_close_in_any_connection_field_ends_the_connection) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(34);
    const auto server = Serve(runtime, listen, [](HttpExchange& exchange) {
      exchange.Respond({200, {}, ""});
    });
    const struct {
      std::string bytes;
      bool persists;
    } rows[] = {
        {"1.1\r\n", true},
        {"1.1\r\nConnection: X-A\r\n", true},
        {"1.1\r\nConnection: Close\r\n", false},
        {"1.1\r\nConnection: X-A\r\nConnection: close\r\n", false},
        {"1.1\r\nConnection: keep-alive, close\r\n", false},
        {"1.0\r\n", false},
        {"1.0\r\nConnection: keep-alive\r\n", true},
        {"1.0\r\nConnection: keep-alive, close\r\n", false},
        {"1.0\r\nConnection: close\r\nConnection: keep-alive\r\n", false}};
    for (const auto& row : rows) {
      Caller caller(listen);
      caller.Send("GET / HTTP/" + row.bytes + "Host: a\r\n\r\n");
      runtime.SleepFor(kTransfer);
      cr_expect(caller.Receive().starts_with("HTTP/1.1 200"));
      cr_expect_eq(caller.Closed(), !row.persists, "%s", row.bytes.c_str());
    }
  });
}

// Guards against callers whose connections are closed without a word at the
// limit.
Test(http_server, a_connection_over_the_limit_gets_a_complete_refusal) {
  OnRuntime([](Runtime& runtime) {
    HttpServerSettings settings;
    settings.connection_limit = 1;
    const Endpoint listen = TestEndpoint(4);
    int handled = 0;
    const auto server = Serve(
        runtime, listen, [&](HttpExchange&) { ++handled; }, settings);
    Caller served(listen);
    served.Send(std::string(kPart));
    runtime.SleepFor(kTransfer);
    Caller refused(listen);
    refused.Send(std::string(kPart));
    runtime.SleepFor(kTransfer);
    const std::string response = refused.Receive();
    cr_assert(response.starts_with("HTTP/1.1 503"), "%s", response.c_str());
    cr_assert_neq(response.find("Retry-After: 1\r\n"), std::string::npos);
    cr_assert_neq(response.find("Connection: close\r\n"), std::string::npos);
    cr_assert(response.ends_with("no room for connections"));
    cr_assert(refused.Closed());
    cr_assert_not(served.Closed());
    cr_assert_eq(handled, 0);
    cr_assert_eq(server->Connections(), 1);
    cr_assert_eq(server->Counts().over_limit, 1);
  });
}

Test(http_server, the_connection_idle_longest_is_replaced_at_the_limit) {
  OnRuntime([](Runtime& runtime) {
    HttpServerSettings settings;
    settings.connection_limit = 3;
    const Endpoint listen = TestEndpoint(5);
    const auto server = Serve(
        runtime, listen,
        [](HttpExchange& exchange) {
          exchange.Respond({200, {}, "ok"});
        },
        settings);
    Caller busy(listen);
    busy.Send(std::string(kGet));
    runtime.SleepFor(kTransfer);
    busy.Receive();
    Caller longest(listen);
    longest.Send(std::string(kGet));
    runtime.SleepFor(kTransfer);
    longest.Receive();
    Caller other(listen);
    other.Send(std::string(kGet));
    runtime.SleepFor(kLongIdle);
    other.Receive();
    // Idle longer than the others, until now.
    busy.Send(std::string(kPart));
    Caller fourth(listen);
    fourth.Send(std::string(kGet));
    runtime.SleepFor(kTransfer);
    cr_assert(fourth.Receive().starts_with("HTTP/1.1 200"));
    cr_assert(longest.Closed());
    cr_assert_not(busy.Closed());
    cr_assert_not(other.Closed());
    cr_assert_eq(server->Connections(), 3);
    cr_assert_eq(server->Counts().idle_replaced, 1);
    cr_assert_eq(server->Counts().over_limit, 0);
    busy.Send("123456789");
    runtime.SleepFor(kTransfer);
    cr_assert(busy.Receive().starts_with("HTTP/1.1 200"));
  });
}

// Guards against connections in use that are closed under their callers.
Test(http_server, a_connection_in_use_is_not_replaced) {
  OnRuntime([](Runtime& runtime) {
    HttpServerSettings settings;
    settings.connection_limit = 1;
    const Endpoint listen = TestEndpoint(6);
    const auto server = Serve(
        runtime, listen,
        [](HttpExchange& exchange) {
          exchange.Respond({200, {}, "ok"});
        },
        settings);
    Caller used(listen);
    for (int number = 0; number < 3; ++number) {
      used.Send(std::string(kGet));
      runtime.SleepFor(kTransfer);
      cr_assert(used.Receive().starts_with("HTTP/1.1 200"));
      Caller refused(listen);
      runtime.SleepFor(kTransfer);
      cr_assert(refused.Receive().starts_with("HTTP/1.1 503"));
    }
  });
}

// The callers do not close their connections, so that the refusals last.
Test(http_server, more_refusals_than_at_a_time_are_given_one_after_another) {
  OnRuntime([](Runtime& runtime) {
    HttpServerSettings settings;
    settings.connection_limit = 1;
    settings.refusal_limit = 2;
    const Endpoint listen = TestEndpoint(7);
    const auto server = Serve(
        runtime, listen, [](HttpExchange&) {}, settings);
    Caller served(listen);
    served.Send(std::string(kPart));
    runtime.SleepFor(kTransfer);
    std::vector<std::unique_ptr<Caller>> refused;
    const auto send = [&] {
      refused.clear();
      for (int number = 0; number < 7; ++number) {
        refused.push_back(std::make_unique<Caller>(listen));
        refused.back()->Send(std::string(kPart));
      }
    };
    send();
    runtime.SleepFor(milliseconds(600));
    for (const auto& caller : refused) {
      cr_assert(caller->Receive().starts_with("HTTP/1.1 503"));
    }
    cr_assert_eq(server->Counts().over_limit, 7);
    cr_assert_eq(server->Connections(), 1);
    // At a stop they are given at once, and none resets an earlier connection.
    send();
    server->StopAccepting();
    runtime.SleepFor(kTransfer);
    for (const auto& caller : refused) {
      cr_expect(caller->Receive().starts_with("HTTP/1.1 503"));
      cr_expect(caller->Closed(), "the connection was reset");
    }
  });
}

namespace {

// Longer than the first probes of a peer whose input has ended.
constexpr Duration kProbedTime = milliseconds(400);
// Work for a caller that has left ends within this time.
constexpr Duration kGoneTime = milliseconds(500);

HttpServerSettings HalfClosedPeers() {
  HttpServerSettings settings;
  settings.half_closed_peers = true;
  return settings;
}

}  // namespace

// Guards against callers that close their sending side after the request and
// get no answer, as if they had left.
Test(http_server, a_peer_that_closes_its_sending_side_gets_its_response) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(10);
    bool gone = false;
    const auto server = Serve(
        runtime, listen,
        [&](HttpExchange& exchange) {
          exchange.WatchPeer([&gone] { gone = true; });
          runtime.SleepFor(kProbedTime);
          exchange.Respond({200, {}, "ok"});
        },
        HalfClosedPeers());
    Caller caller(listen);
    caller.Send(std::string(kGet));
    caller.CloseSendingSide();
    runtime.SleepFor(kProbedTime + kTransfer);
    const std::string reply = caller.Receive();
    cr_expect_not(gone);
    cr_expect(reply.starts_with("HTTP/1.1 200 OK\r\n"), "%s", reply.c_str());
    cr_expect_eq(reply.find("HTTP/", 1), std::string::npos);
    cr_expect(reply.ends_with("\r\n\r\nok"), "%s", reply.c_str());
    cr_expect(caller.Closed());
  });
}

// The same for a stream; what probes the peer belongs to no chunk.
Test(http_server, a_peer_that_closes_its_sending_side_gets_its_stream) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(11);
    bool gone = false;
    const auto server = Serve(
        runtime, listen,
        [&](HttpExchange& exchange) {
          exchange.WatchPeer([&gone] { gone = true; });
          cr_expect(exchange.BeginStream({200, {}, ""}));
          cr_expect(exchange.WriteChunk("first"));
          runtime.SleepFor(kProbedTime);
          cr_expect(exchange.WriteChunk("second"));
          runtime.SleepFor(kProbedTime);
          cr_expect(exchange.EndStream());
        },
        HalfClosedPeers());
    Caller caller(listen);
    caller.Send(std::string(kGet));
    caller.CloseSendingSide();
    runtime.SleepFor(2 * kProbedTime + kTransfer);
    const std::string reply = caller.Receive();
    cr_expect_not(gone);
    const std::string body = reply.substr(reply.find("\r\n\r\n") + 4);
    cr_expect(body.starts_with("5\r\nfirst\r\n"), "%s", body.c_str());
    const std::size_t second = body.find("second");
    cr_assert_neq(second, std::string::npos);
    const std::size_t begin = sizeof("5\r\nfirst\r\n") - 1;
    const std::string digits = body.substr(begin, second - 2 - begin);
    cr_expect(digits.size() > 1 && digits.size() <= 8, "%s", digits.c_str());
    cr_expect_eq(std::stoul(digits, nullptr, 16), 6);
    cr_expect(body.ends_with("0\r\n\r\n"), "%s", body.c_str());
  });
}

// Guards against requests that have arrived behind another one and are dropped
// without a word, because the server begins to leave.
Test(http_server, pipelined_requests_are_answered_as_the_server_leaves) {
  OnRuntime([](Runtime& runtime) {
    for (const bool stops : {false, true}) {
      const Endpoint listen = TestEndpoint(stops ? 34 : 33);
      int handled = 0;
      const auto server = Serve(runtime, listen, [&](HttpExchange& exchange) {
        ++handled;
        if (exchange.Request().path == "/stream") {
          exchange.BeginStream({200, {}, ""});
          exchange.WriteChunk("event");
          runtime.SleepFor(milliseconds(200));
          exchange.EndStream();
        } else {
          runtime.SleepFor(milliseconds(50));
          exchange.Respond({200, {}, "ok"});
        }
      });
      Caller caller(listen);
      caller.Send(
          "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n"
          "GET /second HTTP/1.1\r\nHost: a\r\n\r\n");
      runtime.SleepFor(milliseconds(50));
      server->DisableKeepAlive();
      if (stops) {
        server->StopAccepting();
      }
      caller.Send("GET /third HTTP/1.1\r\nHost: a\r\n\r\n\r\n");
      runtime.SleepFor(milliseconds(500));
      const std::string reply = caller.Receive();
      cr_expect_eq(handled, 3, "%d handled", handled);
      const std::size_t close = reply.find("Connection: close");
      cr_expect_eq(close, reply.rfind("Connection: close"), "%s",
                   reply.c_str());
      cr_expect(close > reply.rfind("HTTP/1.1 200 OK"), "%s", reply.c_str());
      cr_expect(reply.ends_with("\r\n\r\nok"), "%s", reply.c_str());
      caller.Close();
      runtime.SleepFor(kTransfer);
      cr_expect_eq(server->Connections(), 0);
    }
  });
}

// Guards against streams whose chunks are stated in a form that hardly anybody
// sends, for callers that have closed their sending side.
Test(http_server, a_stream_that_flows_is_not_probed) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(32);
    const auto server = Serve(
        runtime, listen,
        [&](HttpExchange& exchange) {
          exchange.WatchPeer([] {});
          exchange.BeginStream({200, {}, ""});
          for (int i = 0; i < 60; ++i) {
            exchange.WriteChunk("event\n");
            runtime.SleepFor(milliseconds(15));
          }
          exchange.EndStream();
        },
        HalfClosedPeers());
    Caller caller(listen);
    caller.Send(std::string(kGet));
    caller.CloseSendingSide();
    std::string reply;
    for (int i = 0; i < 13; ++i) {
      runtime.SleepFor(milliseconds(100));
      reply += caller.Receive();
    }
    cr_assert(reply.ends_with("0\r\n\r\n"), "%s", reply.c_str());
    cr_expect_eq(reply.find("\r\n0"), reply.size() - 7, "%s", reply.c_str());
  });
}

// Guards against work that goes on for callers that have left.
Test(http_server, a_peer_that_has_left_is_noticed_in_each_phase) {
  OnRuntime([](Runtime& runtime) {
    const char* const names[] = {"before the response", "stream, silent",
                                 "stream, writes"};
    for (int phase = 0; phase < 3; ++phase) {
      const Endpoint listen =
          TestEndpoint(static_cast<std::uint16_t>(12 + phase));
      bool gone = false;
      PeerEnd end = PeerEnd::kNone;
      const auto server = Serve(
          runtime, listen,
          [&, phase](HttpExchange& exchange) {
            exchange.WatchPeer([&gone] { gone = true; });
            if (phase > 0) {
              exchange.BeginStream({200, {}, ""});
            }
            for (int i = 0; i < 20; ++i) {
              runtime.SleepFor(milliseconds(50));
              if (phase == 2 && !exchange.WriteChunk("event")) {
                gone = true;
              }
            }
            end = exchange.HowPeerEnded();
          },
          HalfClosedPeers());
      Caller caller(listen);
      caller.Send(std::string(kGet));
      runtime.SleepFor(kTransfer);
      caller.Close();
      runtime.SleepFor(kGoneTime - kTransfer);
      cr_expect(gone, "%s", names[phase]);
      runtime.SleepFor(milliseconds(700));
      cr_expect_neq(end, PeerEnd::kNone, "%s", names[phase]);
      const PeerEndCounts counts = server->PeerEnds();
      cr_expect_eq(counts.inputs_ended + counts.resets + counts.failed_writes,
                   1, "%s", names[phase]);
    }
  });
}

// Guards against callers of an old version that get no response, or bytes that
// belong to none: they know no interim responses.
Test(http_server, an_old_peer_that_closes_its_sending_side_gets_its_response) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(15);
    bool gone = false;
    const auto server = Serve(
        runtime, listen,
        [&](HttpExchange& exchange) {
          exchange.WatchPeer([&gone] { gone = true; });
          runtime.SleepFor(kProbedTime);
          exchange.Respond({200, {}, "ok"});
        },
        HalfClosedPeers());
    Caller caller(listen);
    caller.Send("GET / HTTP/1.0\r\nHost: a\r\n\r\n");
    caller.CloseSendingSide();
    runtime.SleepFor(kProbedTime + kTransfer);
    cr_expect_not(gone);
    const std::string reply = caller.Receive();
    cr_expect(reply.starts_with("HTTP/1.1 200 OK\r\n"), "%s", reply.c_str());
    cr_expect(reply.ends_with("\r\n\r\nok"), "%s", reply.c_str());
    Caller left(listen);
    left.Send("GET / HTTP/1.0\r\nHost: a\r\n\r\n");
    runtime.SleepFor(kTransfer);
    left.Close();
    runtime.SleepFor(kProbedTime - kTransfer);
    cr_expect(gone, "a caller that has left is noticed");
  });
}

// Guards against responses whose begin is sent twice or is missing, if it has
// been sent in part before the status is known.
Test(http_server, probes_are_part_of_each_form_of_response) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(31);
    const std::string body(40 * 1024, 'b');
    const auto server = Serve(
        runtime, listen,
        [&](HttpExchange& exchange) {
          exchange.WatchPeer([] {});
          const std::string path = exchange.Request().path;
          // Longer than there are probes.
          runtime.SleepFor(path == "/long" ? seconds(6) : kProbedTime);
          if (path == "/stream") {
            exchange.BeginStream({200, {}, ""});
            exchange.WriteChunk("event");
            exchange.EndStream();
          } else {
            exchange.Respond({path == "/refused" ? 503U : 200U, {}, body});
          }
        },
        HalfClosedPeers());
    const std::string requests[] = {"GET /long", "GET /refused", "HEAD /head",
                                    "GET /stream"};
    std::vector<std::unique_ptr<Caller>> callers;
    for (const std::string& request : requests) {
      callers.push_back(std::make_unique<Caller>(listen));
      callers.back()->Send(request + " HTTP/1.1\r\nHost: a\r\n\r\n");
      callers.back()->CloseSendingSide();
    }
    std::vector<std::string> replies(callers.size());
    for (int i = 0; i < 80; ++i) {
      runtime.SleepFor(milliseconds(100));
      for (std::size_t caller = 0; caller < callers.size(); ++caller) {
        replies[caller] += callers[caller]->Receive();
      }
    }
    for (std::size_t i = 0; i < replies.size(); ++i) {
      const std::string& reply = replies[i];
      cr_expect(reply.starts_with(i == 1 ? "HTTP/1.1 503" : "HTTP/1.1 200 OK"),
                "%s: %s", requests[i].c_str(), reply.substr(0, 80).c_str());
      cr_expect_eq(reply.find("HTTP/", 1), std::string::npos);
    }
    cr_expect(replies[0].ends_with("\r\n\r\n" + body));
    cr_expect(replies[1].ends_with("\r\n\r\n" + body));
    cr_expect(replies[2].ends_with("\r\n\r\n"));
    cr_expect(replies[3].ends_with("\r\n\r\n5\r\nevent\r\n0\r\n\r\n"));
  });
}

// Guards against requests that are closed without a word because they are still
// arriving as the process ends.
Test(http_server, requests_that_have_arrived_in_part_get_a_response) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(16);
    int handled = 0;
    const auto server =
        Serve(runtime, listen, [&](HttpExchange&) { ++handled; });
    const std::string parts[] = {
        std::string(kPart), std::string(kPart) + "1234",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n",
        "POST / HTT"};
    std::vector<std::unique_ptr<Caller>> callers;
    for (const std::string& part : parts) {
      callers.push_back(std::make_unique<Caller>(listen));
      callers.back()->Send(part);
    }
    Caller silent(listen);
    runtime.SleepFor(kTransfer);
    cr_assert_eq(server->Unread().size(), 4);
    std::size_t heads = 0;
    server->RefuseUnread([&heads](const HttpRequest& head) {
      heads += head.headers.Find("Host") ? 1 : 0;
      return HttpResponse{503, {}, "leaving"};
    });
    runtime.SleepFor(kTransfer);
    for (const auto& caller : callers) {
      const std::string reply = caller->Receive();
      cr_expect(reply.starts_with("HTTP/1.1 503"), "%s", reply.c_str());
      cr_expect_neq(reply.find("Connection: close\r\n"), std::string::npos);
      cr_expect(reply.ends_with("leaving"));
      cr_expect(caller->Closed());
    }
    cr_expect_eq(heads, 3);
    cr_expect_eq(handled, 0);
    cr_expect(silent.Receive().empty());
    cr_expect_eq(server->Unread().size(), 0);
  });
}

// Guards against bodies that are read, and held, for callers that are refused
// whatever they send.
Test(http_server, a_request_refused_by_its_head_is_not_read) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(17);
    int handled = 0;
    const auto server = Serve(runtime, listen, [&](HttpExchange& exchange) {
      ++handled;
      exchange.Respond({200, {}, "ok"});
    });
    int heads = 0;
    server->OnHead([&](const HttpRequest& head) {
      ++heads;
      return head.target == "/refused"
                 ? std::optional(HttpResponse{401, {}, "no key"})
                 : std::nullopt;
    });
    const std::string rest =
        " HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n";
    Caller refused(listen);
    refused.Send("POST /refused" + rest);
    Caller expecting(listen);
    expecting.Send(
        "POST /refused HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
        "Content-Length: 4\r\n\r\n");
    Caller taken(listen);
    taken.Send("POST /taken" + rest);
    runtime.SleepFor(kTransfer);
    cr_expect(refused.Receive().starts_with("HTTP/1.1 401"));
    cr_expect(expecting.Receive().starts_with("HTTP/1.1 401"));
    cr_expect_eq(heads, 3);
    cr_expect_eq(handled, 0);
    taken.Send("body");
    // A request that arrives whole is left to the handler.
    Caller whole(listen);
    whole.Send("POST /refused" + rest + "body");
    runtime.SleepFor(kTransfer);
    cr_expect(taken.Receive().starts_with("HTTP/1.1 200"));
    cr_expect(whole.Receive().starts_with("HTTP/1.1 200"));
    cr_expect_eq(heads, 3);
    cr_expect_eq(handled, 2);
  });
}

// Guards against responses that are lost in part because the connection is
// closed with unread input: the system resets it and drops what is not yet
// sent.
Test(http_server, unread_input_cuts_no_response) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(18);
    const std::string body(12'000'000, 'b');
    const auto server = Serve(runtime, listen, [&](HttpExchange& exchange) {
      exchange.Respond({200, {}, body});
    });
    server->DisableKeepAlive();
    Caller caller(listen);
    caller.Send(std::string(kGet));
    runtime.SleepFor(kTransfer);
    caller.Send(std::string(kGet));
    std::string reply;
    for (int i = 0; i < 4000 && reply.size() < body.size(); ++i) {
      runtime.SleepFor(milliseconds(1));
      // Reads more slowly than the response is written.
      for (int piece = 0; piece < 2; ++piece) {
        reply += caller.Receive();
      }
    }
    cr_expect(reply.ends_with("bbbb"));
    cr_expect_geq(reply.size(), body.size());
  });
}

// Guards against a process that ends without a word on responses that callers
// have not received.
Test(http_server, a_response_that_is_not_read_counts_as_unsent) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(19);
    const std::string body(8'000'000, 'b');
    const auto server = Serve(runtime, listen, [&](HttpExchange& exchange) {
      exchange.Respond({200, {}, body});
    });
    Caller caller(listen);
    caller.Send("GET /unread HTTP/1.1\r\nHost: a\r\n\r\n");
    runtime.SleepFor(kTransfer);
    const auto unsent = server->Unsent();
    cr_assert_eq(unsent.size(), 1);
    cr_expect_gt(unsent[0].bytes, 0);
    cr_expect_eq(unsent[0].head.target, "/unread");
    for (int i = 0; i < 4000 && !server->Unsent().empty(); ++i) {
      while (!caller.Receive().empty()) {
      }
      runtime.SleepFor(milliseconds(1));
    }
    cr_expect(server->Unsent().empty());
  });
}

// Guards against a process that exits while the end of a response is in a send
// buffer: the connection counted as closed as soon as it was written.
Test(http_server, a_connection_counts_until_its_last_response_is_received) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(20);
    const std::string body(1'000'000, 'b');
    const auto server = Serve(runtime, listen, [&](HttpExchange& exchange) {
      exchange.Respond({200, {}, body});
    });
    server->DisableKeepAlive();
    Caller caller(listen);
    caller.Send(std::string(kGet));
    runtime.SleepFor(milliseconds(700));  // longer than input is discarded
    cr_assert_eq(server->InFlight(), 0);
    cr_assert_eq(server->Connections(), 1);
    cr_assert_eq(server->Unsent().size(), 1);
    std::string reply;
    for (int i = 0; i < 4000 && reply.size() < body.size(); ++i) {
      reply += caller.Receive();
      runtime.SleepFor(milliseconds(1));
    }
    cr_expect_geq(reply.size(), body.size());
    runtime.SleepFor(kTransfer);
    cr_expect_eq(server->Connections(), 0);
  });
}

// Guards against connections that cannot be replaced because their peers never
// receive the last response.
Test(http_server, a_closing_connection_is_replaced_at_the_limit) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(21);
    const std::string body(8'000'000, 'b');
    HttpServerSettings settings;
    settings.connection_limit = 1;
    const auto server = Serve(
        runtime, listen,
        [&](HttpExchange& exchange) {
          const bool large = exchange.Request().path == "/large";
          exchange.Respond({200, {}, large ? body : "ok"});
        },
        settings);
    server->DisableKeepAlive();
    Caller first(listen);
    first.Send("GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
    runtime.SleepFor(kTransfer);
    // Until the response is in the send buffer.
    while (server->InFlight() > 0) {
      first.Receive();
      runtime.SleepFor(milliseconds(1));
    }
    runtime.SleepFor(milliseconds(700));  // longer than input is discarded
    cr_assert_eq(server->Unsent().size(), 1);
    Caller second(listen);
    second.Send(std::string(kGet));
    runtime.SleepFor(kTransfer);
    cr_expect(second.Receive().ends_with("ok"));
  });
}

// Guards against requests that get no response at the end of a process: a part
// of one that has arrived, but is not taken in yet, made its refusal wait for
// the part after it.
Test(http_server, a_request_of_which_a_part_has_just_arrived_is_refused) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(22);
    const auto server = Serve(runtime, listen, [](HttpExchange& exchange) {
      exchange.Respond({200, {}, "ok"});
    });
    const auto refuse = [&] {
      server->RefuseUnread([](const HttpRequest&) {
        return HttpResponse{503, {}, "leaving"};
      });
    };
    Caller caller(listen);
    caller.Send(std::string(kPart));
    runtime.SleepFor(kTransfer);
    caller.Send("1");
    // The poller runs all of these before the fiber of the connection.
    runtime.Post([&] {
      runtime.Post([&] { runtime.Post([&] { runtime.Post(refuse); }); });
    });
    runtime.SleepFor(kTransfer);
    cr_expect(caller.Receive().starts_with("HTTP/1.1 503"));
  });
}

// Guards against processes that end at their start because their predecessor
// has not ended yet.
Test(http_server, a_port_that_is_still_taken_is_tried_again) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(23);
    const auto handler = [](HttpExchange& exchange) {
      exchange.Respond({200, {}, "ok"});
    };
    auto predecessor = Serve(runtime, listen, handler);
    runtime.Spawn([&] {
      runtime.SleepFor(milliseconds(300));
      predecessor.reset();
    });
    const auto server = Serve(runtime, listen, handler);
    Caller caller(listen);
    caller.Send(std::string(kGet));
    runtime.SleepFor(kTransfer);
    cr_expect(caller.Receive().ends_with("ok"));
  });
}

// The same if it is the head that has just arrived: what is asked about the
// head takes the place of no refusal.
Test(http_server, a_request_whose_head_has_just_arrived_is_refused) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(29);
    const auto server = Serve(runtime, listen, [](HttpExchange& exchange) {
      exchange.Respond({200, {}, "ok"});
    });
    server->OnHead([](const HttpRequest&) { return std::nullopt; });
    std::string refused;
    const auto refuse = [&] {
      server->RefuseUnread([&refused](const HttpRequest& head) {
        refused = head.target;
        return HttpResponse{503, {}, "leaving"};
      });
    };
    Caller caller(listen);
    caller.Send("POST /late HTTP/1.1\r\nHost: a\r\n");
    runtime.SleepFor(kTransfer);
    caller.Send("Content-Length: 9\r\n\r\n");
    // The poller runs all of these before the fiber of the connection.
    runtime.Post([&] {
      runtime.Post([&] { runtime.Post([&] { runtime.Post(refuse); }); });
    });
    runtime.SleepFor(kTransfer);
    const std::string reply = caller.Receive();
    cr_expect(reply.starts_with("HTTP/1.1 503"), "%s", reply.c_str());
    cr_expect_eq(refused, "/late");
  });
}

// Guards against refused callers whose input takes the thread's time from
// requests.
Test(http_server, input_of_refused_callers_takes_a_share_of_the_time) {
  OnRuntime([](Runtime& runtime) {
    constexpr int kCallers = 8;
    constexpr Duration kPushTime = milliseconds(400);
    constexpr std::size_t kBody = 4 * 1024 * 1024;
    const Endpoint listen = TestEndpoint(35);
    HttpServerSettings settings;
    settings.limits.body_bytes = 100 * 1024 * 1024;
    const auto server = Serve(
        runtime, listen,
        [](HttpExchange& exchange) {
          exchange.Respond({200, {}, "ok"});
        },
        settings);
    server->OnHead([](const HttpRequest&) {
      return std::optional(HttpResponse{401, {}, "no key"});
    });
    const std::string head =
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n";
    std::atomic<bool> ended = false;
    std::vector<std::thread> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([&] {
        const std::string piece(64 * 1024, 'a');
        while (!ended) {
          Caller caller(listen);
          caller.Send(head);
          while (!ended && caller.Send(piece)) {
          }
        }
      });
    }
    runtime.SleepFor(kPushTime / 4);
    const Duration used_before = ThreadTime();
    const Instant begun = runtime.Now();
    runtime.SleepFor(kPushTime);
    const Duration used = ThreadTime() - used_before;
    const Duration elapsed = runtime.Now() - begun;
    // One that reads only once it has sent its whole body.
    std::string refusal;
    std::atomic<int> joined = 0;
    std::thread joiner([&] {
      Caller caller(listen);
      caller.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                  std::to_string(kBody) + "\r\n\r\n" + std::string(kBody, 'a'));
      refusal = caller.Receive();
      ended = true;
      for (std::thread& other : callers) {
        other.join();
        ++joined;
      }
    });
    while (joined < kCallers) {
      runtime.SleepFor(milliseconds(10));
    }
    joiner.join();
    cr_expect_leq(ToMilliseconds(used), ToMilliseconds(elapsed / 2));
    cr_expect(refusal.starts_with("HTTP/1.1 401"), "%s", refusal.c_str());
  });
}
