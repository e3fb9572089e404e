// Tests of the bounds of what a peer can make the HTTP server and client hold:
// bytes without end, in each place of a message.
#include <sys/socket.h>

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <iterator>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "chervilpass/io/http_client.h"
#include "chervilpass/io/http_server.h"
#include "chervilpass/serving/event_stream.h"

// Included last: its macros clash with names in Boost.
#include <criterion/criterion.h>

using namespace chervilpass;
using namespace chervilpass::io;

namespace {

using Tcp = boost::asio::ip::tcp;

// A form without a bound takes all of this.
constexpr std::size_t kEndlessBytes = 128 * 1024 * 1024;
// What a bounded form takes, with what the sockets hold on the way. A server
// discards up to 16 MiB, so that its response arrives.
constexpr std::size_t kTakenBytes = 32 * 1024 * 1024;

struct Form {
  const char* name;
  std::string first;
  std::string again;
};

std::string Many(const std::string& text, std::size_t size) {
  std::string many;
  while (many.size() < size) {
    many += text;
  }
  return many;
}

void OnRuntime(const std::function<void(Runtime&)>& body) {
  Runtime::Run([&body](Runtime& runtime) { body(runtime); });
}

// Writes a form on a thread, until the peer closes.
class EndlessPeer {
 public:
  EndlessPeer(int socket, Form form, std::size_t limit = kEndlessBytes)
      : thread([this, socket, form = std::move(form), limit] {
          std::string data = form.first.empty() ? form.again : form.first;
          while (this->written < limit) {
            const ssize_t size =
                ::send(socket, data.data(), data.size(), MSG_NOSIGNAL);
            if (size <= 0) {
              break;
            }
            this->written += static_cast<std::size_t>(size);
            data = form.again;
          }
          this->ended = true;
        }) {}
  ~EndlessPeer() { this->thread.join(); }

  bool Ended() const { return this->ended; }
  std::size_t Written() const { return this->written; }

 private:
  std::atomic<std::size_t> written = 0;
  std::atomic<bool> ended = false;
  std::thread thread;
};

std::unique_ptr<HttpServer> Serve(Runtime& runtime,
                                  const Endpoint& listen,
                                  memory::MemoryBudget* budget = nullptr) {
  HttpServerSettings settings;
  settings.half_closed_peers = true;
  settings.budget = budget;
  settings.listen = listen;
  settings.limits.read_timeout = seconds(5);
  auto server = HttpServer::Create(
      &runtime, settings,
      [](HttpExchange& exchange) {
        exchange.Respond({200, {}, exchange.Request().body});
      },
      [](unsigned status, std::string_view detail) {
        return HttpResponse{status, {}, std::string(detail)};
      });
  cr_assert(server.has_value());
  return std::move(server).value();
}

std::string ReadReply(int socket) {
  std::string reply(4096, '\0');
  const ssize_t size = ::recv(socket, reply.data(), reply.size(), MSG_DONTWAIT);
  reply.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
  return reply;
}

const std::string kHead = "POST / HTTP/1.1\r\nHost: a\r\n";
const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string kAnswer = "HTTP/1.1 200 OK\r\n";
const std::string kPiece(16 * 1024, 'a');

// Parts of messages, sound and odd, in random order and number.
std::string RandomMessage(std::mt19937* random, const std::string& first) {
  const std::string parts[] = {
      "X-A: b\r\n",
      "Transfer-Encoding: chunked\r\n",
      "Transfer-Encoding: gzip, chunked\r\n",
      "Content-Length: 5\r\n",
      "Content-Length: 99999999999999999999\r\n",
      "Expect: 100-continue\r\n",
      "\r\n",
      "\r\n\r\n",
      "5\r\nhello\r\n",
      "5;a=" + std::string((*random)() % 30000, 'e') + "\r\nhello\r\n",
      std::string((*random)() % 20, '0') + "5\r\nhello\r\n",
      "ffffffffffffffff\r\n",
      "0\r\n\r\n",
      "0\r\nX-T: " + std::string((*random)() % 70000, 't') + "\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\n",
      std::string((*random)() % 300, '\0'),
      std::string((*random)() % 3000, 'x')};
  std::string message = (*random)() % 8 == 0 ? "" : first;
  const std::size_t count = (*random)() % 12;
  for (std::size_t i = 0; i < count; ++i) {
    message += parts[(*random)() % std::size(parts)];
  }
  message.resize(message.size() - (*random)() % (message.size() / 4 + 1));
  return message;
}

// Sends a message in random pieces; what does not fit is left out.
void SendInPieces(Runtime& runtime,
                  int socket,
                  std::string_view message,
                  std::mt19937* random) {
  while (!message.empty()) {
    const std::size_t size = 1 + (*random)() % message.size();
    ::send(socket, message.data(), size, MSG_DONTWAIT | MSG_NOSIGNAL);
    message.remove_prefix(size);
    runtime.SleepFor(microseconds(200));
  }
}

}  // namespace

// Guards against callers, without a key too, that use up the memory of a VM by
// a request without end: the library looked for the end of a line without a
// limit.
Test(input_bounds, a_request_without_end_is_refused) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen{"127.0.206.1", 22001};
    const auto server = Serve(runtime, listen);
    const Form forms[] = {
        {"extension", kHead + kChunked + "5;a=", kPiece},
        {"chunk size", kHead + kChunked, Many("0", 16 * 1024)},
        {"trailer", kHead + kChunked + "1\r\na\r\n0\r\nX-A: ", kPiece},
        {"trailer fields", kHead + kChunked + "1\r\na\r\n0\r\n",
         Many("X-A: b\r\n", 16 * 1024)},
        {"field", kHead + "X-A: ", kPiece},
        {"fields", kHead, Many("X-A: b\r\n", 16 * 1024)},
        {"empty lines", "", Many("\r\n", 16 * 1024)},
        {"target", "GET /", kPiece},
        {"body", kHead + kChunked, "4000\r\n" + kPiece + "\r\n"},
    };
    for (const Form& form : forms) {
      boost::asio::io_context context;
      Tcp::socket socket(context);
      socket.connect({boost::asio::ip::make_address(listen.ip), listen.port});
      std::string reply;
      {
        const EndlessPeer peer(socket.native_handle(), form);
        for (int i = 0; i < 200 && reply.empty(); ++i) {
          runtime.SleepFor(milliseconds(10));
          reply = ReadReply(socket.native_handle());
        }
        cr_expect(reply.starts_with("HTTP/1.1 4"), "%s: %s", form.name,
                  reply.substr(0, 100).c_str());
        cr_expect_lt(peer.Written(), kTakenBytes, "%s", form.name);
        ::shutdown(socket.native_handle(), SHUT_RDWR);
        runtime.SleepFor(milliseconds(20));
      }
    }
  });
}

// The same for the answers of a faulty server. A large trailer field could
// also end the process, by an exception of the library outside of any fiber.
Test(input_bounds, an_answer_without_end_is_an_error) {
  OnRuntime([](Runtime& runtime) {
    const Form forms[] = {
        {"extension", kAnswer + kChunked + "5;a=", kPiece},
        {"chunk size", kAnswer + kChunked, Many("0", 16 * 1024)},
        {"trailer", kAnswer + kChunked + "1\r\na\r\n0\r\nX-A: ", kPiece},
        {"trailer fields", kAnswer + kChunked + "1\r\na\r\n0\r\n",
         Many("X-A: b\r\n", 16 * 1024)},
        {"large trailer field",
         kAnswer + kChunked + "1\r\na\r\n0\r\nX-A: " + Many("a", 70000) +
             "\r\n\r\n",
         kPiece},
        {"field", kAnswer + "X-A: ", kPiece},
        {"fields", kAnswer, Many("X-A: b\r\n", 16 * 1024)},
        {"interim responses", "",
         Many("HTTP/1.1 100 Continue\r\n\r\n", 16 * 1024)},
        {"body without length", kAnswer + "\r\n", kPiece},
        {"body", kAnswer + "Content-Length: 100000000\r\n\r\n", kPiece},
    };
    HttpClientSettings settings;
    settings.body_limit_bytes = 256 * 1024;
    const auto client = HttpClient::Create(&runtime, settings);
    std::uint16_t port = 22100;
    for (const Form& form : forms) {
      boost::asio::io_context context;
      const Endpoint address{"127.0.206.1", ++port};
      Tcp::acceptor acceptor(
          context, {boost::asio::ip::make_address(address.ip), address.port});
      Tcp::socket socket(context);
      auto opened = client->Open(address, seconds(1), ConnectionUse::kFresh);
      cr_assert(opened.has_value());
      acceptor.accept(socket);
      const EndlessPeer peer(socket.native_handle(), form);
      auto call = std::move(opened).value();
      cr_assert(call->Send(HttpRequest{}, seconds(1)).has_value());
      auto head = call->ReadHead();
      std::optional<HttpError> error;
      if (head.has_error()) {
        error = head.error();
      } else if (auto body = call->ReadBody(256 * 1024); body.has_error()) {
        error = body.error();
      }
      cr_expect(error.has_value(), "%s", form.name);
      cr_expect(error && (error->code == HttpErrorCode::kTooLarge ||
                          error->code == HttpErrorCode::kProtocol),
                "%s: %s", form.name, error ? error->detail.c_str() : "");
      cr_expect_lt(peer.Written(), kTakenBytes, "%s", form.name);
      call.reset();
    }
  });
}

// Guards against a caller, without a key on a public route, or a server that
// ends the process: the library aborts if the last chunk of an empty body
// arrives before the end of its trailer, in further pieces.
Test(input_bounds, an_empty_body_in_chunks_may_arrive_in_pieces) {
  OnRuntime([](Runtime& runtime) {
    const std::vector<std::string> rows[] = {
        {"0\r\n", "\r\n"},      {"0\r\n", "\r", "\n"},
        {"0\r\n\r", "\n"},      {"0", "\r", "\n", "\r", "\n"},
        {"00\r\n", "\r", "\n"}, {"0;a\r\n", "X-T: 1\r\n", "\r\n"}};
    const Endpoint listen{"127.0.206.1", 22500};
    const auto server = Serve(runtime, listen);
    const auto client = HttpClient::Create(&runtime, {});
    std::uint16_t port = 22500;
    for (const std::vector<std::string>& pieces : rows) {
      boost::asio::io_context context;
      const auto send = [&pieces](Tcp::socket* socket,
                                  const std::string& head) {
        socket->set_option(Tcp::no_delay(true));
        boost::asio::write(*socket, boost::asio::buffer(head));
        for (const std::string& piece : pieces) {
          std::this_thread::sleep_for(milliseconds(20));
          boost::asio::write(*socket, boost::asio::buffer(piece));
        }
      };
      Tcp::socket caller(context);
      caller.connect({boost::asio::ip::make_address(listen.ip), listen.port});
      std::thread calling([&] { send(&caller, kHead + kChunked); });
      std::string reply;
      for (int i = 0; i < 200 && reply.empty(); ++i) {
        runtime.SleepFor(milliseconds(10));
        reply = ReadReply(caller.native_handle());
      }
      calling.join();
      cr_expect(reply.starts_with("HTTP/1.1 200"), "%s", reply.c_str());

      const Endpoint address{"127.0.206.1", ++port};
      Tcp::acceptor acceptor(
          context, {boost::asio::ip::make_address(address.ip), address.port});
      Tcp::socket socket(context);
      auto call = client->Open(address, seconds(1), ConnectionUse::kFresh);
      cr_assert(call.has_value());
      acceptor.accept(socket);
      cr_assert(call.value()->Send(HttpRequest{}, seconds(1)).has_value());
      std::thread answering([&] { send(&socket, kAnswer + kChunked); });
      cr_expect(call.value()->ReadHead().has_value());
      const auto body = call.value()->ReadBody(1024);
      answering.join();
      cr_expect(body.has_value() && body.value().empty());
    }
  });
}

// Guards against long streams that are ended by a bound on their sum.
Test(input_bounds, a_long_answer_is_read_in_pieces) {
  OnRuntime([](Runtime& runtime) {
    constexpr std::size_t kLongBytes = 40'000'000;
    const auto client = HttpClient::Create(&runtime, {});
    const Endpoint address{"127.0.206.1", 22200};
    boost::asio::io_context context;
    Tcp::acceptor acceptor(
        context, {boost::asio::ip::make_address(address.ip), address.port});
    Tcp::socket socket(context);
    auto opened = client->Open(address, seconds(1), ConnectionUse::kFresh);
    cr_assert(opened.has_value());
    acceptor.accept(socket);
    const EndlessPeer peer(
        socket.native_handle(),
        {"", kAnswer + "Content-Length: 40000000\r\n\r\n", kPiece}, kLongBytes);
    auto call = std::move(opened).value();
    cr_assert(call->Send(HttpRequest{}, seconds(1)).has_value());
    cr_assert(call->ReadHead().has_value());
    std::size_t sum = 0;
    while (true) {
      const auto piece = call->ReadPiece();
      cr_assert(piece.has_value());
      if (piece.value().empty()) {
        break;
      }
      sum += piece.value().size();
    }
    cr_expect_eq(sum, kLongBytes);
  });
}

// Guards against an event without end, whose begin is held until its end.
Test(input_bounds, an_event_without_end_is_too_large) {
  serving::EventSplitter splitter("");
  splitter.Feed("id: 1\ndata: a\n\nid: 2\ndata: ");
  cr_expect(splitter.Next().has_value());
  const std::string piece(64 * 1024, 'a');
  std::size_t fed = 0;
  while (!splitter.TooLarge() && fed < kEndlessBytes) {
    splitter.Feed(piece);
    cr_expect_not(splitter.Next().has_value());
    fed += piece.size();
  }
  cr_expect_leq(fed, serving::kMaxEventBytes + piece.size());
  splitter.Feed("\n\n");
  cr_expect(splitter.Next().has_value());
  cr_expect_not(splitter.TooLarge());
}

// Random messages end no process, hold nothing once they are over, and leave
// the server serving.
Test(input_bounds, random_requests_hold_nothing) {
  OnRuntime([](Runtime& runtime) {
    constexpr int kRequests = 600;
    constexpr std::uint32_t kSeed = 50;
    memory::MemoryBudget budget(memory::DivideMemory(16 * 1024 * 1024));
    const Endpoint listen{"127.0.206.1", 22300};
    const auto server = Serve(runtime, listen, &budget);
    std::mt19937 random(kSeed);
    for (int i = 0; i < kRequests; ++i) {
      boost::asio::io_context context;
      Tcp::socket socket(context);
      socket.connect({boost::asio::ip::make_address(listen.ip), listen.port});
      SendInPieces(runtime, socket.native_handle(),
                   RandomMessage(&random, kHead), &random);
      if (random() % 2 == 0) {
        ::shutdown(socket.native_handle(), SHUT_WR);
        runtime.SleepFor(milliseconds(1));
      }
    }
    runtime.SleepFor(milliseconds(700));
    cr_expect_eq(server->Connections(), 0);
    cr_expect_eq(server->Counts().exceptions, 0);
    cr_expect_eq(budget.UseOf(memory::Owner::kCallerRequests).held, 0);
    const auto client = HttpClient::Create(&runtime, {});
    HttpRequest sound;
    sound.body = "sound";
    const auto reply = client->Call(listen, sound, seconds(1));
    cr_assert(reply.has_value());
    cr_expect_eq(reply.value().body, "sound");
  });
}

// The same for answers: each call ends, and what it held is given back.
Test(input_bounds, random_answers_hold_nothing) {
  OnRuntime([](Runtime& runtime) {
    constexpr int kAnswers = 600;
    constexpr std::uint32_t kSeed = 51;
    memory::MemoryBudget budget(memory::DivideMemory(16 * 1024 * 1024));
    HttpClientSettings settings;
    settings.budget = &budget;
    const auto client = HttpClient::Create(&runtime, settings);
    const Endpoint address{"127.0.206.1", 22301};
    boost::asio::io_context context;
    Tcp::acceptor acceptor(
        context, {boost::asio::ip::make_address(address.ip), address.port});
    std::mt19937 random(kSeed);
    for (int i = 0; i < kAnswers; ++i) {
      auto opened = client->Open(address, seconds(1), ConnectionUse::kFresh);
      cr_assert(opened.has_value());
      Tcp::socket socket(context);
      acceptor.accept(socket);
      auto call = std::move(opened).value();
      cr_assert(call->Send(HttpRequest{}, seconds(1)).has_value());
      SendInPieces(runtime, socket.native_handle(),
                   RandomMessage(&random, kAnswer), &random);
      ::shutdown(socket.native_handle(), SHUT_WR);
      if (call->ReadHead().has_value()) {
        const auto body = call->ReadBody(256 * 1024);
        cr_expect(body.has_error() || body.value().size() <= 256 * 1024);
      }
    }
    cr_expect_eq(budget.UseOf(memory::Owner::kAnswers).held, 0);
  });
}
