// Tests of the fiber runtime, the HTTP server and client, and the RPC between
// daemons, on loopback sockets.
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>
#include <thread>

#include "chervilpass/io/descriptor_limit.h"
#include "chervilpass/io/http_client.h"
#include "chervilpass/io/http_server.h"
#include "chervilpass/rpc/dispatch_rpc.h"

// Included last: its macros clash with names in Boost.
#include <criterion/criterion.h>

using namespace chervilpass;
using namespace chervilpass::io;

namespace {

// Runs `body` on a runtime. Nothing is freed, as the process ends with the
// test.
void OnRuntime(const std::function<void(Runtime&)>& body) {
  Runtime::Run([&body](Runtime& runtime) { body(runtime); });
}

// Each test runs in its own process and uses its own ports.
Endpoint TestEndpoint(std::uint16_t number) {
  return {"127.0.200.1", static_cast<std::uint16_t>(21000 + number)};
}

std::unique_ptr<HttpServer> Serve(Runtime& runtime,
                                  const Endpoint& listen,
                                  HttpHandler handler) {
  HttpServerSettings settings;
  settings.listen = listen;
  settings.limits.body_bytes = 1000;
  settings.limits.header_bytes = 1024;
  settings.limits.read_timeout = milliseconds(300);
  auto server =
      HttpServer::Create(&runtime, settings, std::move(handler),
                         [](unsigned status, std::string_view detail) {
                           return HttpResponse{status, {}, std::string(detail)};
                         });
  cr_assert(server.has_value());
  return std::move(server).value();
}

// All bytes received before the socket closes.
std::string ReadToEnd(boost::asio::ip::tcp::socket& socket) {
  std::string received;
  char piece[1000];
  boost::system::error_code error;
  while (!error) {
    const std::size_t size =
        socket.read_some(boost::asio::buffer(piece), error);
    received.append(piece, size);
  }
  return received;
}

// Sends bytes on a plain socket and returns all bytes received before it
// closes.
std::string RawExchange(const Endpoint& to, const std::string& bytes) {
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  socket.connect({boost::asio::ip::make_address(to.ip), to.port});
  boost::system::error_code error;
  boost::asio::write(socket, boost::asio::buffer(bytes), error);
  return ReadToEnd(socket);
}

}  // namespace

Test(runtime, sleeping_fibers_run_concurrently) {
  OnRuntime([](Runtime& runtime) {
    int count = 0;
    for (int i = 0; i < 10; ++i) {
      runtime.Spawn([&] {
        runtime.SleepFor(milliseconds(5));
        ++count;
      });
    }
    runtime.SleepFor(milliseconds(100));
    cr_assert_eq(count, 10);
  });
}

// Guards against a deadlock: handlers notify a condition variable on which
// fibers suspend. A handler that ran while the suspending fiber holds the
// condition's lock would wait for that lock for ever.
Test(runtime, handlers_never_run_inside_a_suspending_fiber) {
  OnRuntime([](Runtime& runtime) {
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable condition;
    std::atomic<bool> stop = false;
    std::thread poster([&] {
      while (!stop) {
        for (int i = 0; i < 50; ++i) {
          runtime.Post([&] { condition.notify_one(); });
        }
        std::this_thread::sleep_for(microseconds(50));
      }
    });
    int ended = 0;
    for (int f = 0; f < 8; ++f) {
      runtime.Spawn([&] {
        for (int i = 0; i < 4000; ++i) {
          std::unique_lock<boost::fibers::mutex> lock(mutex);
          condition.wait_for(lock, milliseconds(1));
        }
        ++ended;
      });
    }
    while (ended < 8) {
      runtime.SleepFor(milliseconds(5));
    }
    stop = true;
    poster.join();
  });
}

// Fibers that are always ready must not starve sockets and timers.
Test(runtime, busy_fibers_do_not_starve_timers) {
  OnRuntime([](Runtime& runtime) {
    bool stop = false;
    for (int f = 0; f < 3; ++f) {
      runtime.Spawn([&stop] {
        while (!stop) {
          boost::this_fiber::yield();
        }
      });
    }
    const Instant start = runtime.Now();
    for (int i = 0; i < 20; ++i) {
      runtime.SleepFor(milliseconds(1));
    }
    stop = true;
    cr_assert(runtime.Now() - start < milliseconds(500));
  });
}

Test(http, request_and_response_arrive_complete) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(1);
    const auto server = Serve(runtime, listen, [](HttpExchange& exchange) {
      HttpResponse response;
      response.headers.Add("X-Path", exchange.Request().path);
      response.headers.Add("X-Peer", exchange.Peer().ip);
      response.body = exchange.Request().body + exchange.Request().query;
      exchange.Respond(response);
    });
    const auto client = HttpClient::Create(&runtime, {});
    HttpRequest request;
    request.method = "POST";
    request.path = "/a/b";
    request.query = "q=1";
    request.body = "body ";
    for (int i = 0; i < 3; ++i) {
      const auto response = client->Call(listen, request, seconds(1));
      cr_assert(response.has_value());
      cr_assert(response.value().body == "body q=1");
      cr_assert(response.value().headers.Find("x-path") == "/a/b");
      cr_assert(response.value().headers.Find("x-peer") == "127.0.0.1");
    }
  });
}

// Guards against response fields that are lost because another one has the same
// name, such as Set-Cookie.
Test(http, repeated_response_fields_arrive_in_order) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(41);
    const auto server = Serve(runtime, listen, [](HttpExchange& exchange) {
      HttpResponse response;
      response.headers.Add("Set-Cookie", "a=1");
      response.headers.Add("Set-Cookie", "b=2");
      exchange.Respond(response);
    });
    const auto client = HttpClient::Create(&runtime, {});
    const auto response = client->Call(listen, {}, seconds(1));
    cr_assert(response.has_value());
    std::string values;
    for (const HttpHeader& field : response.value().headers.All()) {
      values += field.name == "Set-Cookie" ? field.value + ";" : "";
    }
    cr_assert(values == "a=1;b=2;", "%s", values.c_str());
  });
}

Test(http, a_stream_arrives_piece_by_piece) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(2);
    const auto server =
        Serve(runtime, listen, [&runtime](HttpExchange& exchange) {
          exchange.BeginStream({});
          for (int i = 0; i < 5; ++i) {
            exchange.WriteChunk(std::to_string(i));
            runtime.SleepFor(milliseconds(5));
          }
          exchange.EndStream();
        });
    const auto client = HttpClient::Create(&runtime, {});
    std::string data;
    int pieces = 0;
    const auto head =
        client->Stream(listen, {}, seconds(1), [&](std::string_view piece) {
          data += piece;
          ++pieces;
          return true;
        });
    cr_assert(head.has_value());
    cr_assert(data == "01234");
    cr_assert_geq(pieces, 3);
  });
}

Test(http, failures_have_distinct_error_codes) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(3);
    const auto client = HttpClient::Create(&runtime, {});
    cr_assert(client->Call(listen, {}, seconds(1)).error().code ==
              HttpErrorCode::kConnect);
    const auto server =
        Serve(runtime, listen, [&runtime](HttpExchange& exchange) {
          if (exchange.Request().path == "/abort") {
            return exchange.Abort();
          }
          runtime.SleepFor(milliseconds(200));
          exchange.Respond({});
        });
    HttpRequest request;
    cr_assert(client->Call(listen, request, milliseconds(50)).error().code ==
              HttpErrorCode::kTimeout);
    request.path = "/abort";
    cr_assert(client->Call(listen, request, seconds(1)).error().code ==
              HttpErrorCode::kReset);
  });
}

Test(http, invalid_input_gets_an_error_status) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(4);
    const auto server = Serve(runtime, listen, [](HttpExchange& exchange) {
      exchange.Respond({200, {}, "ok"});
    });
    std::atomic<bool> finished = false;
    std::vector<std::string> responses(5);
    std::thread peer([&] {
      responses[0] = RawExchange(listen, "NONSENSE\r\n\r\n");
      responses[1] = RawExchange(
          listen, "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(4000, 'a') +
                      "\r\n\r\n");
      responses[2] = RawExchange(
          listen, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n" +
                      std::string(5000, 'a'));
      responses[3] = RawExchange(listen, "GET / HT");  // stalls
      responses[4] = RawExchange(
          listen, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
      finished = true;
    });
    while (!finished) {
      runtime.SleepFor(milliseconds(5));
    }
    peer.join();
    cr_assert(responses[0].find(" 400 ") != std::string::npos);
    cr_assert(responses[1].find(" 431 ") != std::string::npos);
    cr_assert(responses[2].find(" 413 ") != std::string::npos);
    cr_assert(responses[3].find(" 408 ") != std::string::npos);
    cr_assert(responses[4].find("ok") != std::string::npos);
  });
}

// Guards against responses that the timeout for reading a request cuts: it lies
// behind when the response waits for a slow caller.
Test(http, a_response_may_take_longer_than_reading_its_request) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(20);
    constexpr std::size_t kBodySize = 16 * 1024 * 1024;
    std::atomic<bool> left = false;
    const auto server = Serve(runtime, listen, [&](HttpExchange& exchange) {
      if (exchange.Request().path == "/left") {
        exchange.WatchPeer([&left] { left = true; });
        runtime.SleepFor(milliseconds(1200));
        return;
      }
      exchange.Respond({200, {}, std::string(kBodySize, 'x')});
    });
    std::atomic<bool> finished = false;
    std::size_t received = 0;
    std::thread peer([&] {
      boost::asio::io_context context;
      const boost::asio::ip::tcp::endpoint address(
          boost::asio::ip::make_address(listen.ip), listen.port);
      const auto send = [&](const std::string& path) {
        auto socket = std::make_unique<boost::asio::ip::tcp::socket>(context);
        socket->connect(address);
        boost::asio::write(
            *socket,
            boost::asio::buffer("GET " + path +
                                " HTTP/1.1\r\nHost: a\r\nConnection: close"
                                "\r\n\r\n"));
        std::this_thread::sleep_for(milliseconds(800));
        return socket;
      };
      const auto socket = send("/");
      std::vector<char> piece(64 * 1024);
      boost::system::error_code error;
      while (!error) {
        received += socket->read_some(boost::asio::buffer(piece), error);
      }
      send("/left")->close();
      std::this_thread::sleep_for(milliseconds(200));
      finished = true;
    });
    while (!finished) {
      runtime.SleepFor(milliseconds(5));
    }
    peer.join();
    cr_assert_geq(received, kBodySize, "%zu bytes received", received);
    cr_assert(left, "the caller's leaving was not noticed");
  });
}

// Guards against connections that are reset when their server stops: the
// system has established them, but the server has not accepted them yet.
Test(http, established_connections_are_served_after_accepting_has_stopped) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(21);
    const auto server = Serve(runtime, listen, [](HttpExchange& exchange) {
      exchange.Respond({200, {}, "ok"});
    });
    runtime.SleepFor(milliseconds(5));
    boost::asio::io_context context;
    const boost::asio::ip::tcp::endpoint address(
        boost::asio::ip::make_address(listen.ip), listen.port);
    std::vector<boost::asio::ip::tcp::socket> sockets;
    for (int i = 0; i < 3; ++i) {
      sockets.emplace_back(context);
      sockets.back().connect(address);
    }
    server->StopAccepting();
    boost::system::error_code refused;
    boost::asio::ip::tcp::socket late(context);
    late.connect(address, refused);
    std::atomic<bool> finished = false;
    std::size_t served = 0;
    std::thread peer([&] {
      for (boost::asio::ip::tcp::socket& socket : sockets) {
        boost::system::error_code error;
        boost::asio::write(socket,
                           boost::asio::buffer(std::string(
                               "GET / HTTP/1.1\r\nHost: a\r\n\r\n")),
                           error);
        const std::string response = ReadToEnd(socket);
        served += response.find("ok") != std::string::npos ? 1 : 0;
      }
      finished = true;
    });
    while (!finished) {
      runtime.SleepFor(milliseconds(5));
    }
    peer.join();
    cr_assert_eq(served, sockets.size(), "%zu served", served);
    cr_assert(refused == boost::asio::error::connection_refused);
  });
}

Test(endpoint, parses_ip_and_port_only) {
  cr_assert(Endpoint::Parse("127.0.0.1:80").has_value());
  for (const char* bad : {"", "127.0.0.1", "host:80", "127.0.0.1:0",
                          "127.0.0.1:70000", "127.0.0.1:8x"}) {
    cr_assert(!Endpoint::Parse(bad).has_value(), "%s", bad);
  }
}

Test(rpc, tokens_arrive_in_order_before_the_outcome) {
  OnRuntime([](Runtime& runtime) {
    const auto loop = rpc::RpcLoop::Create(&runtime);
    const Endpoint listen = TestEndpoint(5);
    rpc::DispatchHandlers handlers;
    handlers.complete = [](const rpc::CompletionRequest& request,
                           const rpc::AttemptSink& sink,
                           const std::shared_ptr<rpc::CancelFlag>&) {
      for (std::uint32_t i = 0; i < request.max_tokens; ++i) {
        sink.token(i, i * 3);
        if (i % 16 == 0) {
          sink.heartbeat();
        }
      }
      return rpc::CompletionOutcome{rpc::Finished{request.max_tokens}, 1, 2};
    };
    cr_assert(rpc::ServeDispatch(loop, listen, handlers).has_value());
    const auto client = rpc::DispatchClient::Create(loop, listen);
    std::vector<std::uint32_t> tokens;
    int heartbeats = 0;
    rpc::CompletionRequest request;
    request.max_tokens = 200;
    const auto outcome =
        client->Complete(request,
                         {[&](std::uint32_t index, std::uint32_t token) {
                            cr_assert_eq(index, tokens.size());
                            tokens.push_back(token);
                          },
                          [&] { ++heartbeats; }},
                         [](rpc::CallHandle) {});
    cr_assert(outcome.has_value());
    cr_assert_eq(tokens.size(), 200);
    cr_assert_eq(tokens.back(), 597);
    cr_assert_eq(heartbeats, 13);
    cr_assert_eq(outcome.value().capacity, 2);
  });
}

Test(rpc, a_cancelled_call_ends_on_both_sides) {
  OnRuntime([](Runtime& runtime) {
    const auto loop = rpc::RpcLoop::Create(&runtime);
    const Endpoint listen = TestEndpoint(6);
    bool saw_cancel = false;
    rpc::DispatchHandlers handlers;
    handlers.complete = [&](const rpc::CompletionRequest&,
                            const rpc::AttemptSink&,
                            const std::shared_ptr<rpc::CancelFlag>& flag) {
      for (int i = 0; i < 200 && !flag->cancelled; ++i) {
        runtime.SleepFor(milliseconds(5));
      }
      saw_cancel = flag->cancelled;
      return rpc::CompletionOutcome{rpc::Finished{0}, 0, 0};
    };
    cr_assert(rpc::ServeDispatch(loop, listen, handlers).has_value());
    const auto client = rpc::DispatchClient::Create(loop, listen);
    const auto outcome =
        client->Complete({}, {[](std::uint32_t, std::uint32_t) {}, [] {}},
                         [&runtime](rpc::CallHandle handle) {
                           runtime.Spawn([&runtime, handle]() mutable {
                             runtime.SleepFor(milliseconds(50));
                             handle.Cancel();
                           });
                         });
    cr_assert(outcome.has_error());
    runtime.SleepFor(milliseconds(100));
    cr_assert(saw_cancel);
  });
}

// Guards against the end of a daemon that is out of descriptors: a connection
// that cannot be accepted reported the server's start a second time, which
// throws.
Test(rpc, a_server_that_runs_out_of_descriptors_accepts_again) {
  OnRuntime([](Runtime& runtime) {
    const auto loop = rpc::RpcLoop::Create(&runtime);
    const Endpoint listen = TestEndpoint(30);
    rpc::DispatchHandlers handlers;
    handlers.query_claim = [](const std::string&, const std::string&) {
      return rpc::ClaimState{rpc::ClaimAbsent{}};
    };
    cr_assert(rpc::ServeDispatch(loop, listen, handlers).has_value());
    boost::asio::io_context context;
    std::vector<boost::asio::ip::tcp::socket> callers;
    for (int i = 0; i < 4; ++i) {
      callers.emplace_back(context).open(boost::asio::ip::tcp::v4());
    }
    rlimit before{};
    ::getrlimit(RLIMIT_NOFILE, &before);
    rlimit none = before;
    none.rlim_cur = 3;
    ::setrlimit(RLIMIT_NOFILE, &none);
    for (auto& caller : callers) {
      caller.connect({boost::asio::ip::make_address(listen.ip), listen.port});
    }
    runtime.SleepFor(milliseconds(100));
    ::setrlimit(RLIMIT_NOFILE, &before);
    callers.clear();
    const auto client = rpc::DispatchClient::Create(loop, listen);
    cr_assert(client->QueryClaim("o", "k", seconds(2)).has_value());
  });
}

// Guards against daemons that end at their start because their predecessor has
// not ended yet.
Test(rpc, a_port_that_is_still_taken_is_tried_again) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint listen = TestEndpoint(31);
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor predecessor(
        context, {boost::asio::ip::make_address(listen.ip), listen.port});
    runtime.Spawn([&] {
      runtime.SleepFor(milliseconds(300));
      predecessor.close();
    });
    const auto loop = rpc::RpcLoop::Create(&runtime);
    rpc::DispatchHandlers handlers;
    handlers.query_claim = [](const std::string&, const std::string&) {
      return rpc::ClaimState{rpc::ClaimAbsent{}};
    };
    cr_assert(rpc::ServeDispatch(loop, listen, handlers).has_value());
    const auto client = rpc::DispatchClient::Create(loop, listen);
    cr_assert(client->QueryClaim("o", "k", seconds(2)).has_value());
  });
}

Test(rpc, calls_fail_without_a_server_and_succeed_once_it_listens) {
  OnRuntime([](Runtime& runtime) {
    const auto loop = rpc::RpcLoop::Create(&runtime);
    const Endpoint listen = TestEndpoint(7);
    const auto client = rpc::DispatchClient::Create(loop, listen);
    const auto missing = client->QueryClaim("o", "k", seconds(1));
    cr_assert(missing.error().code == rpc::RpcErrorCode::kDisconnected);
    rpc::DispatchHandlers handlers;
    handlers.query_claim = [&runtime](const std::string&, const std::string&) {
      runtime.SleepFor(milliseconds(20));
      return rpc::ClaimState(rpc::ClaimAbsent{});
    };
    cr_assert(rpc::ServeDispatch(loop, listen, handlers).has_value());
    cr_assert(client->QueryClaim("o", "k", seconds(1)).has_value());
    const auto late = client->QueryClaim("o", "k", milliseconds(5));
    cr_assert(late.error().code == rpc::RpcErrorCode::kTimeout);
  });
}

namespace {

// A proxy between a client and a server, on a thread of its own. It serves one
// connection at a time and resets the connection when `is_reset_due` returns
// true for its age.
class BreakingProxy {
 public:
  using IsResetDue = std::function<bool(Duration age)>;

  // Listens before it returns, so that no call is refused.
  BreakingProxy(const Endpoint& listen,
                const Endpoint& server,
                IsResetDue is_reset_due)
      : acceptor(this->context, ToTcp(listen)),
        server(ToTcp(server)),
        is_reset_due(std::move(is_reset_due)) {
    this->acceptor.non_blocking(true);
    this->thread = std::thread([this] { this->Run(); });
  }

  ~BreakingProxy() {
    this->stop = true;
    this->thread.join();
  }

  // Number of connections reset so far.
  int Resets() const { return this->resets; }

 private:
  using Tcp = boost::asio::ip::tcp;

  static Tcp::endpoint ToTcp(const Endpoint& endpoint) {
    return {boost::asio::ip::make_address(endpoint.ip), endpoint.port};
  }

  static void Copy(Tcp::socket* from, Tcp::socket* to) {
    char piece[65536];
    boost::system::error_code error;
    const std::size_t size = from->read_some(boost::asio::buffer(piece), error);
    if (size > 0) {
      to->non_blocking(false);
      boost::asio::write(*to, boost::asio::buffer(piece, size), error);
      to->non_blocking(true);
    }
  }

  void Run() {
    while (!this->stop) {
      boost::system::error_code error;
      Tcp::socket client_socket(this->context);
      this->acceptor.accept(client_socket, error);
      if (error) {
        std::this_thread::sleep_for(milliseconds(1));
        continue;
      }
      this->PassUntilReset(std::move(client_socket));
      ++this->resets;
    }
  }

  void PassUntilReset(Tcp::socket client_socket) {
    boost::system::error_code error;
    Tcp::socket server_socket(this->context);
    server_socket.connect(this->server);
    client_socket.non_blocking(true);
    server_socket.non_blocking(true);
    const Instant accepted = std::chrono::steady_clock::now();
    while (!this->stop &&
           !this->is_reset_due(std::chrono::steady_clock::now() - accepted)) {
      Copy(&client_socket, &server_socket);
      Copy(&server_socket, &client_socket);
      std::this_thread::sleep_for(microseconds(200));
    }
    // Closing with a linger of zero sends a reset.
    client_socket.set_option(boost::asio::socket_base::linger(true, 0), error);
    server_socket.set_option(boost::asio::socket_base::linger(true, 0), error);
  }

  boost::asio::io_context context;
  Tcp::acceptor acceptor;
  Tcp::endpoint server;
  IsResetDue is_reset_due;
  std::atomic<int> resets = 0;
  std::atomic<bool> stop = false;
  std::thread thread;
};

}  // namespace

// Connections are reset while many calls run on them, send tokens and are
// cancelled. Each call must end without crashing the process.
Test(rpc, broken_connections_and_cancelled_calls_never_crash_the_process) {
  OnRuntime([](Runtime& runtime) {
    const auto loop = rpc::RpcLoop::Create(&runtime);
    const Endpoint listen = TestEndpoint(8);
    const Endpoint server = TestEndpoint(10);
    rpc::DispatchHandlers handlers;
    handlers.complete = [&runtime](const rpc::CompletionRequest& request,
                                   const rpc::AttemptSink& sink,
                                   const std::shared_ptr<rpc::CancelFlag>&) {
      for (std::uint32_t i = 0; i < 10; ++i) {
        sink.token(i, i);
        sink.heartbeat();
        runtime.SleepFor(microseconds(300 + request.seed));
      }
      return rpc::CompletionOutcome{rpc::Finished{10}, 0, 0};
    };
    cr_assert(rpc::ServeDispatch(loop, server, handlers).has_value());
    const BreakingProxy proxy(
        listen, server, [](Duration age) { return age >= milliseconds(10); });
    const auto client = rpc::DispatchClient::Create(loop, listen);
    int ended = 0;
    int failed = 0;
    constexpr int kCalls = 1000;
    for (int i = 0; i < kCalls; ++i) {
      runtime.Spawn([&, i] {
        rpc::CompletionRequest request;
        request.seed = static_cast<std::uint64_t>(i * 37 % 1000);
        const auto outcome = client->Complete(
            request, {[](std::uint32_t, std::uint32_t) {}, [] {}},
            [&runtime, i](rpc::CallHandle handle) {
              if (i % 3 != 0) {
                return;
              }
              runtime.Spawn([&runtime, handle, i]() mutable {
                runtime.SleepFor(microseconds(200 * (i % 40)));
                handle.Cancel();
              });
            });
        failed += outcome.has_error() ? 1 : 0;
        ++ended;
      });
      runtime.SleepFor(microseconds(500));
    }
    for (int i = 0; i < 500 && ended < kCalls; ++i) {
      runtime.SleepFor(milliseconds(10));
    }
    cr_assert_eq(ended, kCalls);
    cr_assert_gt(failed, 0);
  });
}

Test(rpc, cancelling_a_call_leaves_others_on_its_connection_running) {
  OnRuntime([](Runtime& runtime) {
    const auto loop = rpc::RpcLoop::Create(&runtime);
    const Endpoint listen = TestEndpoint(9);
    rpc::DispatchHandlers handlers;
    handlers.complete = [&runtime](const rpc::CompletionRequest&,
                                   const rpc::AttemptSink&,
                                   const std::shared_ptr<rpc::CancelFlag>&) {
      runtime.SleepFor(milliseconds(200));
      return rpc::CompletionOutcome{rpc::Finished{7}, 0, 0};
    };
    cr_assert(rpc::ServeDispatch(loop, listen, handlers).has_value());
    const auto client = rpc::DispatchClient::Create(loop, listen);
    const rpc::AttemptSink sink{[](std::uint32_t, std::uint32_t) {}, [] {}};
    runtime.Spawn([&] {
      const auto cancelled =
          client->Complete({}, sink, [&runtime](rpc::CallHandle handle) {
            runtime.Spawn([&runtime, handle]() mutable {
              runtime.SleepFor(milliseconds(50));
              handle.Cancel();
            });
          });
      cr_assert(cancelled.has_error());
    });
    const auto other = client->Complete({}, sink, [](rpc::CallHandle) {});
    cr_assert(other.has_value(), "%s",
              other.has_error() ? other.error().detail.c_str() : "");
  });
}

// The connection breaks after each answer, while it is idle, so that no call
// detects it. Every call therefore needs a new connection.
Test(rpc, a_connection_that_broke_while_idle_is_reestablished) {
  OnRuntime([](Runtime& runtime) {
    const auto loop = rpc::RpcLoop::Create(&runtime);
    const Endpoint listen = TestEndpoint(11);
    const Endpoint server = TestEndpoint(12);
    rpc::DispatchHandlers handlers;
    handlers.query_claim = [](const std::string&, const std::string&) {
      return rpc::ClaimState(rpc::ClaimAbsent{});
    };
    cr_assert(rpc::ServeDispatch(loop, server, handlers).has_value());
    std::atomic<bool> reset_due = false;
    const BreakingProxy proxy(listen, server, [&reset_due](Duration) {
      return reset_due.exchange(false);
    });
    const auto client = rpc::DispatchClient::Create(loop, listen);
    constexpr int kCalls = 20;
    int answered = 0;
    for (int i = 0; i < kCalls; ++i) {
      answered += client->QueryClaim("o", "k", seconds(1)).has_value() ? 1 : 0;
      reset_due = true;
      for (int wait = 0; wait < 1000 && proxy.Resets() <= i; ++wait) {
        runtime.SleepFor(milliseconds(1));
      }
      // Until the client has received the reset.
      runtime.SleepFor(milliseconds(30));
    }
    cr_assert_eq(proxy.Resets(), kCalls, "%d", proxy.Resets());
    cr_assert_eq(answered, kCalls, "%d", answered);
  });
}

// Guards against a dangling address: a worker was removed from the registry
// during a call to it, and the call used the address of the freed entry.
Test(http_client, an_address_may_change_during_a_call) {
  OnRuntime([](Runtime& runtime) {
    const Endpoint real = TestEndpoint(70);
    const auto server = Serve(runtime, real, [](HttpExchange& exchange) {
      exchange.Respond({200, {}, "ok"});
    });
    const auto client = HttpClient::Create(&runtime, {});
    Endpoint shared = real;
    runtime.Spawn([&shared] { shared = {"127.0.200.9", 9}; });
    cr_assert(client->Call(shared, HttpRequest{}, seconds(1)).has_value());
    // The connection is pooled under the address to which it was established.
    cr_assert(client->Call(real, HttpRequest{}, seconds(1)).has_value());
    cr_assert_eq(client->ConnectionsMade(), 1);
  });
}

Test(descriptors, the_shares_never_exceed_the_limit) {
  for (std::size_t limit = 64; limit <= 1 << 20; limit += 1 + limit / 50) {
    const DescriptorDivision division = DivideDescriptors(limit);
    cr_assert_leq(division.Sum(), limit, "%zu of %zu", division.Sum(), limit);
    // Nothing worth mentioning is left over.
    cr_assert_geq(division.Sum() + 4, limit, "%zu of %zu", division.Sum(),
                  limit);
    cr_assert_geq(division.callers.connections, limit / 8);
    cr_assert_geq(division.reserve, limit / 32);
    cr_assert_geq(division.reserve, std::min<std::size_t>(limit / 4, 64));
    for (const ListenerShare& share :
         {division.callers, division.forwarded, division.readiness,
          division.directory, division.peers, division.metrics}) {
      cr_assert_geq(share.connections, 1);
      cr_assert_geq(share.refusals, 1);
    }
  }
}

Test(descriptors, the_soft_limit_is_raised_as_far_as_the_hard_limit_allows) {
  const rlimit start{100, 300};
  cr_assert_eq(::setrlimit(RLIMIT_NOFILE, &start), 0);
  rlimit limit{};
  cr_assert_eq(RaiseDescriptorLimit(80), 80);
  ::getrlimit(RLIMIT_NOFILE, &limit);
  cr_assert_eq(limit.rlim_cur, 100);
  cr_assert_eq(RaiseDescriptorLimit(200), 200);
  cr_assert_eq(RaiseDescriptorLimit(4096), 300);
  ::getrlimit(RLIMIT_NOFILE, &limit);
  cr_assert_eq(limit.rlim_cur, 300);
  cr_assert_eq(limit.rlim_max, 300);
}

namespace {

// Leaves one idle connection to each of these servers in the client's pool, one
// after another.
void FillPool(Runtime& runtime,
              HttpClient& client,
              const std::vector<Endpoint>& servers) {
  for (const Endpoint& server : servers) {
    HttpRequest request;
    request.method = "GET";
    request.path = "/";
    cr_assert(client.Call(server, request, seconds(1)).has_value());
    runtime.SleepFor(milliseconds(5));
  }
}

}  // namespace

Test(http_client, idle_connections_are_limited_over_all_addresses) {
  OnRuntime([](Runtime& runtime) {
    std::vector<Endpoint> servers;
    std::vector<std::unique_ptr<HttpServer>> running;
    for (std::uint16_t number = 60; number < 63; ++number) {
      servers.push_back(TestEndpoint(number));
      running.push_back(Serve(runtime, servers.back(), [](auto& exchange) {
        exchange.Respond({200, {}, "ok"});
      }));
    }
    HttpClientSettings settings;
    settings.idle_connections_total = 2;
    const auto client = HttpClient::Create(&runtime, settings);
    FillPool(runtime, *client, servers);
    runtime.SleepFor(milliseconds(50));
    cr_assert_eq(running[0]->Connections(), 0);
    cr_assert_eq(running[1]->Connections(), 1);
    cr_assert_eq(running[2]->Connections(), 1);
  });
}

// Guards against requests that fail for want of descriptors while the pool
// holds some.
Test(http_client, an_idle_connection_is_given_up_for_a_new_one) {
  OnRuntime([](Runtime& runtime) {
    const std::vector<Endpoint> servers = {TestEndpoint(63), TestEndpoint(64)};
    std::vector<std::unique_ptr<HttpServer>> running;
    for (const Endpoint& server : servers) {
      running.push_back(Serve(runtime, server, [](auto& exchange) {
        exchange.Respond({200, {}, "ok"});
      }));
    }
    const auto client = HttpClient::Create(&runtime, {});
    FillPool(runtime, *client, {servers[0]});
    runtime.SleepFor(milliseconds(50));
    // All descriptors but those in use.
    std::vector<int> taken;
    while (taken.empty() || taken.back() >= 0) {
      taken.push_back(::dup(0));
    }
    const auto opened = client->Open(servers[1], seconds(1));
    cr_assert(opened.has_value());
    cr_assert_eq(client->ConnectionsMade(), 3);
    const auto second = client->Open(servers[1], seconds(1));
    cr_assert(second.has_error());
    for (const int descriptor : taken) {
      ::close(descriptor);
    }
  });
}
