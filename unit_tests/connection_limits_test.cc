// Tests of the memory that the listeners of a router share, or do not share.
#include "programs/router/connection_limits.h"

#include <vector>

#include "chervilpass/memory/memory_budget.h"
#include "chervilpass/memory/memory_share.h"

// Included last: its macros clash with names in Boost.
#include <criterion/criterion.h>

using namespace chervilpass;
using memory::MemoryShare;

namespace {

constexpr std::size_t kMb = 1024 * 1024;
// A body of 4 MiB, held twice, and its enlarged receive buffer.
constexpr std::size_t kLargestBody = 2 * 4 * kMb + 128 * 1024;
// A head of 16 KiB in lines of 4 bytes.
constexpr std::size_t kLargestHead = 3 * 16 * 1024 + 160 * 4096 - 8 * 1024;

}  // namespace

// Guards against peers of a control port that hold all the memory of forwarded
// requests, whose budget these ports had.
Test(connection_limits, crowds_on_control_ports_leave_forwarded_requests_room) {
  for (const Listener listener : {Listener::kReadiness, Listener::kDirectory,
                                  Listener::kPeers, Listener::kMetrics}) {
    memory::MemoryBudget budget(memory::DivideMemory(160 * kMb));
    std::vector<MemoryShare> crowd;
    do {
      crowd.emplace_back(&budget, RequestOwnerOf(listener));
    } while (crowd.back().Resize(64 * 1024));
    for (const Listener served : {Listener::kCallers, Listener::kForwarded}) {
      MemoryShare body(&budget, RequestOwnerOf(served));
      cr_expect(body.Resize(kLargestBody));
    }
  }
}

// Guards against a budget for control ports that refuses a head within the
// limits, on machines of any size.
Test(connection_limits, a_control_port_has_room_for_the_largest_head) {
  for (const std::size_t megabytes : {16, 96, 160, 512}) {
    memory::MemoryBudget budget(memory::DivideMemory(megabytes * kMb));
    MemoryShare head(&budget, RequestOwnerOf(Listener::kPeers));
    cr_expect(head.Resize(kLargestHead), "%zu MB", megabytes);
  }
}

// Guards against listeners whose sum passes the bound of the process.
Test(connection_limits, all_listeners_together_stay_within_the_bound) {
  for (const auto& [megabytes, descriptors] :
       {std::pair<std::size_t, std::size_t>{96, 800},
        {160, 4100},
        {260, 4200},
        {512, 10762}}) {
    const ConnectionLimits limits =
        LimitConnections(io::DivideDescriptors(descriptors), megabytes * kMb,
                         memory::DivideMemory(megabytes * kMb));
    cr_expect_leq(limits.budget.Sum(), 8 * megabytes * kMb / 10);
  }
}
