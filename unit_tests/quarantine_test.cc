// Tests of strikes and blame.
#include <criterion/criterion.h>

#include "chervilpass/core/random.h"
#include "chervilpass/quarantine/strike_tracker.h"

using namespace chervilpass;
using namespace chervilpass::quarantine;

Test(strike_book, two_strikes_on_two_workers_quarantine) {
  StrikeTracker book({});
  const WallTime now{1000000};
  cr_assert(book.StateOf(1, now) == QuarantineState::kClear);
  cr_assert(book.Add({1, "w1", now}, now));
  cr_assert(!book.Add({1, "w1", now}, now));
  cr_assert(book.StateOf(1, now) == QuarantineState::kSuspect);
  book.Add({1, "w2", now}, now);
  cr_assert(book.StateOf(1, now) == QuarantineState::kQuarantined);
  cr_assert(book.RetryAfter(1, now) == std::chrono::minutes(10));
  cr_assert(book.StateOf(2, now) == QuarantineState::kClear);
}

Test(strike_book, strikes_expire) {
  StrikeTracker book({});
  const WallTime start{0};
  book.Add({1, "w1", start}, start);
  book.Add({1, "w2", start}, start);
  const WallTime later{10 * 60 * 1000 + 1};
  cr_assert(book.StateOf(1, later) == QuarantineState::kClear);
  cr_assert(!book.Add({1, "w3", start}, later));
  book.Expire(later);
  cr_assert(book.Add({1, "w1", later}, later));
}

Test(strike_book, an_innocent_suspect_is_cleared) {
  StrikeTracker book({});
  book.Add({1, "w1", {}}, {});
  book.Clear(1);
  cr_assert(book.StateOf(1, {}) == QuarantineState::kClear);
}

Test(blame, without_a_suspect_everyone_is_struck) {
  cr_assert(BlameForCrash({{1, false}, {2, false}, {2, false}}) ==
            (std::vector<std::uint64_t>{1, 2}));
}

Test(blame, a_suspect_takes_the_blame_alone) {
  cr_assert(BlameForCrash({{1, false}, {2, true}, {3, false}}) ==
            std::vector<std::uint64_t>{2});
}

// Workers that crash by their own fault, far more often than real ones: of two
// million runs one in a thousand ends in a crash, with eight requests aboard.
// Innocent requests are tried again until they finish or are quarantined.
Test(strike_book, workers_that_crash_by_themselves_quarantine_few_innocents) {
  constexpr double kCrashChance = 0.001;  // of one run
  constexpr int kBatch = 8;
  constexpr int kBatches = 250000;
  Random random(9);
  StrikeTracker book({});
  const WallTime now{0};
  int quarantined = 0;
  std::uint64_t fingerprint = 0;
  std::uint64_t worker = 0;
  for (int i = 0; i < kBatches; ++i) {
    std::vector<RunningRequest> batch;
    for (int r = 0; r < kBatch; ++r) {
      batch.push_back({++fingerprint, false});
    }
    if (!random.Chance(kCrashChance)) {
      continue;
    }
    for (const std::uint64_t blamed : BlameForCrash(batch)) {
      book.Add({blamed, std::to_string(++worker), now}, now);
      // Runs again, as a suspect, beside others that nothing is known against.
      const bool crashes_again = random.Chance(kCrashChance);
      if (crashes_again) {
        book.Add({blamed, std::to_string(++worker), now}, now);
        quarantined +=
            book.StateOf(blamed, now) == QuarantineState::kQuarantined ? 1 : 0;
      } else {
        book.Clear(blamed);
      }
    }
  }
  // At most one innocent request in a hundred thousand.
  const double rate = static_cast<double>(quarantined) / (kBatches * kBatch);
  cr_log_info("false rate %g (%d of %d)", rate, quarantined, kBatches * kBatch);
  cr_assert_leq(rate, 1e-5);
}
