// Tests of the memory budget, and of the HTTP server and client within one.
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "chervilpass/io/http_client.h"
#include "chervilpass/io/http_server.h"
#include "chervilpass/memory/memory_budget.h"
#include "chervilpass/memory/memory_share.h"

// Included last: its macros clash with names in Boost.
#include <criterion/criterion.h>

using namespace chervilpass;
using memory::MemoryBudget;
using memory::MemoryBudgetSettings;
using memory::MemoryShare;
using memory::Owner;

namespace {

using Tcp = boost::asio::ip::tcp;

MemoryBudgetSettings Limits(std::size_t limit, std::size_t always_granted) {
  MemoryBudgetSettings settings;
  settings.limits.fill(limit);
  settings.always_granted = always_granted;
  return settings;
}

// A caller's connection; writes do not let other fibers run.
class Caller {
 public:
  explicit Caller(const io::Endpoint& to) : socket(this->context) {
    this->socket.connect({boost::asio::ip::make_address(to.ip), to.port});
  }

  void Send(const std::string& bytes) {
    boost::system::error_code error;
    boost::asio::write(this->socket, boost::asio::buffer(bytes), error);
  }

  std::string Receive() {
    std::string received(4096, '\0');
    boost::system::error_code error;
    this->socket.non_blocking(true);
    received.resize(
        this->socket.read_some(boost::asio::buffer(received), error));
    this->socket.non_blocking(false);
    return received;
  }

 private:
  boost::asio::io_context context;
  Tcp::socket socket;
};

std::string Post(std::size_t length, const std::string& body) {
  return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(length) + "\r\n\r\n" + body;
}

}  // namespace

Test(memory, shares_give_back_what_they_hold) {
  MemoryBudget budget(Limits(1000, 10));
  {
    MemoryShare first(&budget, Owner::kAnswers);
    cr_assert(first.Resize(900));
    MemoryShare second(&budget, Owner::kAnswers);
    cr_assert_not(second.Resize(101));
    cr_assert(second.Resize(100));
    cr_assert(first.Resize(800));
    cr_assert(second.Resize(200));
    MemoryShare moved(std::move(first));
    cr_assert_eq(moved.Bytes(), 800);
    cr_assert_eq(budget.UseOf(Owner::kAnswers).held, 1000);
    second = MemoryShare(&budget, Owner::kAnswers);
    cr_assert_eq(budget.UseOf(Owner::kAnswers).held, 800);
    cr_assert_eq(budget.UseOf(Owner::kCallerRequests).held, 0);
  }
  const memory::OwnerUse use = budget.UseOf(Owner::kAnswers);
  cr_assert_eq(use.held, 0);
  cr_assert_eq(use.peak, 1000);
  cr_assert_eq(use.refused, 1);
}

// Whatever is asked for in whatever order, the limit holds for all shares above
// the size that is always granted.
Test(memory, the_limit_holds_for_random_shares) {
  constexpr std::size_t kLimit = 10000;
  constexpr std::size_t kGranted = 50;
  std::mt19937 random(7);
  MemoryBudget budget(Limits(kLimit, kGranted));
  std::vector<MemoryShare> shares;
  for (int i = 0; i < 40; ++i) {
    shares.emplace_back(&budget, Owner::kCallerRequests);
  }
  for (int step = 0; step < 100000; ++step) {
    MemoryShare& share = shares[random() % shares.size()];
    const std::size_t before = share.Bytes();
    const std::size_t wanted = random() % 2000;
    const bool granted = share.Resize(wanted);
    cr_assert(granted || wanted > kGranted);
    cr_assert(granted || wanted > before);
    cr_assert_eq(share.Bytes(), granted ? wanted : before);
    std::size_t sum = 0;
    for (const MemoryShare& each : shares) {
      sum += each.Bytes();
    }
    cr_assert_eq(sum, budget.UseOf(Owner::kCallerRequests).held);
    cr_assert_leq(sum, kLimit + shares.size() * kGranted);
  }
}

Test(memory, the_division_leaves_a_reserve) {
  for (const std::size_t limit : {16u << 20, 128u << 20, 260u << 20}) {
    std::size_t sum = 0;
    for (const std::size_t share : memory::DivideMemory(limit).limits) {
      cr_assert_gt(share, 0);
      sum += share;
    }
    cr_assert_leq(sum, limit / 2);
  }
}

// Guards against callers that hold bodies back until the memory of the VM is
// used up, and against small requests that are refused beside them.
Test(memory, bodies_beyond_the_budget_are_refused_and_small_ones_served) {
  io::Runtime::Run([](io::Runtime& runtime) {
    MemoryBudget budget(Limits(1'000'000, 16 * 1024));
    io::HttpServerSettings settings;
    settings.listen = {"127.0.207.1", 23001};
    settings.budget = &budget;
    settings.buffers.send = 16 * 1024;
    auto server =
        io::HttpServer::Create(
            &runtime, settings,
            [](io::HttpExchange& exchange) {
              const bool is_post = exchange.Request().method == "POST";
              exchange.Respond(
                  {200, {}, is_post ? "ok" : std::string(1'000'000, 'b')});
            },
            [](unsigned status, std::string_view detail) {
              return io::HttpResponse{status, {}, std::string(detail)};
            })
            .value();
    std::vector<std::unique_ptr<Caller>> callers;
    int refused = 0;
    for (int i = 0; i < 12; ++i) {
      callers.push_back(std::make_unique<Caller>(settings.listen));
      callers.back()->Send(Post(200'000, std::string(150'000, 'b')));
      runtime.SleepFor(milliseconds(20));
    }
    runtime.SleepFor(milliseconds(400));
    for (const auto& caller : callers) {
      refused += caller->Receive().starts_with("HTTP/1.1 503") ? 1 : 0;
    }
    cr_expect_gt(refused, 6);
    cr_expect_lt(refused, 12);
    cr_expect_leq(budget.UseOf(Owner::kCallerRequests).peak,
                  1'000'000 + 12 * 16 * 1024);
    Caller small(settings.listen);
    small.Send(Post(100, std::string(100, 'b')));
    // Room comes back with the end of the others.
    callers.clear();
    runtime.SleepFor(milliseconds(50));
    cr_expect(small.Receive().starts_with("HTTP/1.1 200"));
    cr_expect_eq(budget.UseOf(Owner::kCallerRequests).held, 0);
    Caller large(settings.listen);
    server->DisableKeepAlive();
    large.Send(Post(200'000, std::string(200'000, 'b')));
    runtime.SleepFor(milliseconds(50));
    cr_expect(large.Receive().starts_with("HTTP/1.1 200"));
    // Given back although the callers keep their connections open.
    cr_expect_eq(server->Connections(), 2);
    cr_expect_eq(budget.UseOf(Owner::kCallerRequests).held, 0);
    // Send buffers of unread responses leave half of the budget to answers.
    for (int i = 0; i < 6; ++i) {
      callers.push_back(std::make_unique<Caller>(settings.listen));
      callers.back()->Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    runtime.SleepFor(milliseconds(50));
    cr_expect_gt(budget.UseOf(Owner::kAnswers).held, 0);
    cr_expect_leq(budget.UseOf(Owner::kAnswers).peak, 500'000);
  });
}
