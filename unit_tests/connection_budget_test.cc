// Tests of the division of memory among connections, and of the server's
// connections that stall while memory is short.
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chervilpass/io/http_server.h"
#include "chervilpass/memory/connection_budget.h"
#include "chervilpass/memory/memory_budget.h"

// Included last: its macros clash with names in Boost.
#include <criterion/criterion.h>

using namespace chervilpass;
using memory::ConnectionBudget;
using memory::ConnectionNumbers;
using memory::DivideForConnections;

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr std::size_t kMb = 1024 * 1024;
constexpr ConnectionNumbers kDeployed{1750, 233, 405, 34, 139};

std::size_t BodiesOf(std::size_t limit) {
  std::size_t sum = 0;
  for (const std::size_t share : memory::DivideMemory(limit).limits) {
    sum += share;
  }
  return sum;
}

ConnectionBudget Divide(std::size_t megabytes,
                        const ConnectionNumbers& wanted) {
  return DivideForConnections(megabytes * kMb, BodiesOf(megabytes * kMb),
                              wanted);
}

class Caller {
 public:
  explicit Caller(const io::Endpoint& to) : socket(this->context) {
    this->socket.connect({boost::asio::ip::make_address(to.ip), to.port});
  }

  void Send(const std::string& bytes) {
    boost::system::error_code error;
    boost::asio::write(this->socket, boost::asio::buffer(bytes), error);
  }

  void SendBody(std::size_t stated, std::size_t sent) {
    this->Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
               std::to_string(stated) + "\r\n\r\n" + std::string(sent, 'b'));
  }

  std::string Receive() {
    std::string received(4096, '\0');
    boost::system::error_code error;
    this->socket.non_blocking(true);
    received.resize(
        this->socket.read_some(boost::asio::buffer(received), error));
    this->socket.non_blocking(false);
    return error && error != boost::asio::error::would_block ? "closed"
                                                             : received;
  }

 private:
  boost::asio::io_context context;
  Tcp::socket socket;
};

// The size of the receive buffer of the connection that `listen` has accepted.
std::optional<std::size_t> ReceiveBufferAt(const io::Endpoint& listen) {
  constexpr int kMaxDescriptor = 256;
  for (int descriptor = 0; descriptor < kMaxDescriptor; ++descriptor) {
    Tcp::endpoint local;
    Tcp::endpoint peer;
    auto local_size = static_cast<socklen_t>(local.capacity());
    auto peer_size = static_cast<socklen_t>(peer.capacity());
    int size = 0;
    socklen_t length = sizeof(size);
    if (::getsockname(descriptor, local.data(), &local_size) == 0 &&
        ::getpeername(descriptor, peer.data(), &peer_size) == 0 &&
        local.port() == listen.port &&
        ::getsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &size, &length) == 0) {
      return static_cast<std::size_t>(size);
    }
  }
  return std::nullopt;
}

std::unique_ptr<io::HttpServer> Serve(io::Runtime& runtime,
                                      const io::HttpServerSettings& settings) {
  return io::HttpServer::Create(
             &runtime, settings,
             [](io::HttpExchange& exchange) {
               exchange.Respond({200, {}, "ok"});
             },
             [](unsigned status, std::string_view detail) {
               return io::HttpResponse{status, {}, std::string(detail)};
             })
      .value();
}

}  // namespace

// Guards against processes that are killed because all connections together
// may hold more than the machine has.
Test(connection_budget, the_sum_stays_within_the_bound) {
  for (std::size_t megabytes = 64; megabytes <= 4096; megabytes *= 2) {
    for (std::size_t factor = 1; factor <= 64; factor *= 2) {
      const ConnectionNumbers wanted{40 * factor, 6 * factor, 10 * factor, 34,
                                     3 * factor};
      const ConnectionBudget budget = Divide(megabytes, wanted);
      cr_assert_leq(budget.Sum(), budget.bound, "%zu MB, factor %zu: %zu, %zu",
                    megabytes, factor, budget.Sum(), budget.bound);
      cr_assert_leq(budget.bound, 8 * megabytes * kMb / 10);
      cr_assert_leq(budget.numbers.callers, wanted.callers);
      cr_assert_geq(budget.numbers.callers, 4);
    }
  }
}

// Guards against VMs of the platform's sizes that have hardly any connections.
Test(connection_budget, numbers_give_way_and_then_buffers_grow) {
  std::size_t before = 0;
  for (const auto& [megabytes, least] :
       {std::pair<std::size_t, std::size_t>{160, 170},
        {260, 350},
        {512, 800}}) {
    const ConnectionBudget budget = Divide(megabytes, kDeployed);
    cr_expect_geq(budget.numbers.callers, least, "%zu MB: %zu", megabytes,
                  budget.numbers.callers);
    cr_expect_gt(budget.numbers.callers, before);
    cr_expect_geq(budget.numbers.control, 132);
    cr_expect_eq(budget.buffer, 16 * 1024);
    before = budget.numbers.callers;
  }
  const ConnectionBudget ample = Divide(4096, kDeployed);
  cr_expect_eq(ample.numbers, kDeployed);
  cr_expect_gt(ample.buffer, 64 * 1024);
}

// Guards against callers that hold all connections with requests that never
// end, while others are refused.
Test(connection_budget, a_new_connection_replaces_the_largest_stalled_one) {
  io::Runtime::Run([](io::Runtime& runtime) {
    io::HttpServerSettings settings;
    settings.listen = {"127.0.207.1", 23011};
    settings.connection_limit = 2;
    const auto server = Serve(runtime, settings);
    Caller small(settings.listen);
    small.SendBody(200'000, 100);
    Caller moving(settings.listen);
    moving.SendBody(200'000, 100'000);
    for (int i = 0; i < 12; ++i) {
      runtime.SleepFor(milliseconds(100));
      moving.Send("b");
    }
    Caller next(settings.listen);
    next.SendBody(2, 2);
    runtime.SleepFor(milliseconds(50));
    cr_expect(next.Receive().starts_with("HTTP/1.1 200"));
    cr_expect(small.Receive().starts_with("HTTP/1.1 503"));
    cr_expect_eq(moving.Receive(), "");
    cr_expect_eq(server->Counts().stalled_closed, 1);
  });
}

// Guards against bodies that stop short of their end and hold all the memory
// for bodies, while whole ones are refused.
Test(connection_budget, stalled_bodies_give_way_to_others) {
  io::Runtime::Run([](io::Runtime& runtime) {
    memory::MemoryBudgetSettings limits;
    limits.limits.fill(1'200'000);
    memory::MemoryBudget budget(limits);
    io::HttpServerSettings settings;
    settings.listen = {"127.0.207.1", 23012};
    settings.budget = &budget;
    settings.buffers = {16 * 1024, 16 * 1024};
    const auto server = Serve(runtime, settings);
    std::vector<std::unique_ptr<Caller>> callers;
    for (const std::size_t sent : {150'000, 190'000, 100'000}) {
      callers.push_back(std::make_unique<Caller>(settings.listen));
      callers.back()->SendBody(200'000, sent);
      runtime.SleepFor(milliseconds(20));
    }
    runtime.SleepFor(milliseconds(1100));
    Caller whole(settings.listen);
    whole.SendBody(200'000, 200'000);
    runtime.SleepFor(milliseconds(200));
    cr_expect(whole.Receive().starts_with("HTTP/1.1 200"));
    cr_expect(callers[1]->Receive().starts_with("HTTP/1.1 503"));
    cr_expect_eq(callers[2]->Receive(), "");
    cr_expect_geq(server->Counts().stalled_closed, 1);
    cr_expect_eq(server->Counts().buffer_failures, 0);
  });
}

// Guards against fields that hold many times their bytes in the library, on
// connections whose heads are within the limit.
Test(connection_budget, heads_of_many_fields_are_counted) {
  io::Runtime::Run([](io::Runtime& runtime) {
    memory::MemoryBudgetSettings limits;
    limits.limits.fill(1'000'000);
    memory::MemoryBudget budget(limits);
    io::HttpServerSettings settings;
    settings.listen = {"127.0.207.1", 23013};
    settings.budget = &budget;
    const auto server = Serve(runtime, settings);
    std::string head = "GET / HTTP/1.1\r\nHost: a\r\n";
    for (int i = 0; i < 2000; ++i) {
      head += "A: b\r\n";
    }
    std::vector<std::unique_ptr<Caller>> callers;
    for (int i = 0; i < 10; ++i) {
      callers.push_back(std::make_unique<Caller>(settings.listen));
      callers.back()->Send(head);
    }
    runtime.SleepFor(milliseconds(50));
    cr_expect_gt(budget.UseOf(memory::Owner::kCallerRequests).held, 500'000);
    cr_expect_gt(budget.UseOf(memory::Owner::kCallerRequests).refused, 0);
    callers.clear();
    runtime.SleepFor(milliseconds(600));
    Caller whole(settings.listen);
    whole.Send(head + "\r\n");
    runtime.SleepFor(milliseconds(50));
    cr_expect(whole.Receive().starts_with("HTTP/1.1 200"));
  });
}

// Guards against refused bodies that hold their memory and their enlarged
// receive buffer until their connections are closed, up to 10 s later.
Test(connection_budget, a_body_without_memory_is_freed_before_its_refusal) {
  io::Runtime::Run([](io::Runtime& runtime) {
    constexpr std::size_t kBuffer = 16 * 1024;
    constexpr std::size_t kLimit = 300'000;
    memory::MemoryBudgetSettings limits;
    limits.limits.fill(kLimit);
    memory::MemoryBudget budget(limits);
    const auto held = [&budget] {
      return budget.UseOf(memory::Owner::kCallerRequests).held;
    };
    io::HttpServerSettings settings;
    settings.listen = {"127.0.207.1", 23014};
    settings.budget = &budget;
    settings.buffers = {kBuffer, kBuffer};
    std::optional<std::size_t> held_at_refusal;
    std::optional<std::size_t> buffer_at_refusal;
    const auto server =
        io::HttpServer::Create(
            &runtime, settings,
            [](io::HttpExchange& exchange) {
              exchange.Respond({200, {}, "ok"});
            },
            [&](unsigned status, std::string_view detail) {
              held_at_refusal = held();
              buffer_at_refusal = ReceiveBufferAt(settings.listen);
              return io::HttpResponse{status, {}, std::string(detail)};
            })
            .value();
    Caller caller(settings.listen);
    caller.SendBody(250'000, 200'000);
    runtime.SleepFor(milliseconds(50));
    cr_expect_gt(held(), kLimit / 2);
    cr_expect_gt(ReceiveBufferAt(settings.listen).value_or(0), kBuffer);
    for (int i = 0; i < 100 && !held_at_refusal; ++i) {
      runtime.SleepFor(milliseconds(10));
    }
    cr_assert(held_at_refusal.has_value());
    cr_expect_eq(*held_at_refusal, 0);
    cr_expect_eq(buffer_at_refusal.value_or(0), kBuffer);
    runtime.SleepFor(milliseconds(20));
    cr_expect(caller.Receive().starts_with("HTTP/1.1 503"));
    cr_expect_eq(held(), 0);
  });
}

// Guards against peers that take all connections and send nothing: each of
// them was kept for 10 s while new ones were refused.
Test(connection_budget, a_new_connection_replaces_one_that_has_sent_nothing) {
  io::Runtime::Run([](io::Runtime& runtime) {
    io::HttpServerSettings settings;
    settings.listen = {"127.0.207.1", 23015};
    settings.connection_limit = 3;
    const auto server = Serve(runtime, settings);
    Caller silent(settings.listen);
    runtime.SleepFor(milliseconds(20));
    Caller moving(settings.listen);
    moving.SendBody(200'000, 100);
    for (int i = 0; i < 12; ++i) {
      runtime.SleepFor(milliseconds(100));
      moving.Send("b");
    }
    Caller recent(settings.listen);
    runtime.SleepFor(milliseconds(20));
    Caller next(settings.listen);
    next.SendBody(2, 2);
    Caller refused(settings.listen);
    runtime.SleepFor(milliseconds(50));
    cr_expect(next.Receive().starts_with("HTTP/1.1 200"));
    cr_expect(silent.Receive().starts_with("HTTP/1.1 503"));
    // Neither a request in progress nor a connection that has just been made.
    cr_expect_eq(moving.Receive(), "");
    cr_expect_eq(recent.Receive(), "");
    cr_expect(refused.Receive().starts_with("HTTP/1.1 503"));
    cr_expect_eq(server->Counts().stalled_closed, 1);
    cr_expect_eq(server->Counts().over_limit, 1);
  });
}

// Guards against requests that are refused because the process was too busy to
// read them within the time that a connection may be silent.
Test(connection_budget, a_silent_connection_with_unread_input_is_served) {
  io::Runtime::Run([](io::Runtime& runtime) {
    io::HttpServerSettings settings;
    settings.listen = {"127.0.207.1", 23016};
    settings.connection_limit = 1;
    const auto server = Serve(runtime, settings);
    Caller late(settings.listen);
    runtime.SleepFor(milliseconds(1100));
    Caller next(settings.listen);
    late.SendBody(2, 2);
    runtime.SleepFor(milliseconds(50));
    cr_expect(late.Receive().starts_with("HTTP/1.1 200"));
    cr_expect_eq(server->Counts().stalled_closed, 0);
  });
}
