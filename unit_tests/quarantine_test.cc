// Tests of strikes and blame.
#include <criterion/criterion.h>

#include "chervilpass/quarantine/strike_book.h"

using namespace chervilpass;
using namespace chervilpass::quarantine;

Test(strike_book, two_strikes_on_two_workers_quarantine) {
  StrikeBook book({});
  const WallTime now{1000000};
  cr_assert(book.Judge(1, now) == Verdict::kClear);
  cr_assert(book.Add({1, "w1", now}, now));
  cr_assert(!book.Add({1, "w1", now}, now));
  cr_assert(book.Judge(1, now) == Verdict::kSuspect);
  book.Add({1, "w2", now}, now);
  cr_assert(book.Judge(1, now) == Verdict::kQuarantined);
  cr_assert(book.RetryAfter(1, now) == std::chrono::minutes(10));
  cr_assert(book.Judge(2, now) == Verdict::kClear);
}

Test(strike_book, strikes_expire) {
  StrikeBook book({});
  const WallTime start{0};
  book.Add({1, "w1", start}, start);
  book.Add({1, "w2", start}, start);
  const WallTime later{10 * 60 * 1000 + 1};
  cr_assert(book.Judge(1, later) == Verdict::kClear);
  cr_assert(!book.Add({1, "w3", start}, later));
  book.Expire(later);
  cr_assert(book.Add({1, "w1", later}, later));
}

Test(strike_book, an_innocent_suspect_is_cleared) {
  StrikeBook book({});
  book.Add({1, "w1", {}}, {});
  book.Clear(1);
  cr_assert(book.Judge(1, {}) == Verdict::kClear);
}

Test(blame, without_a_suspect_everyone_is_struck) {
  cr_assert(BlameForCrash({{1, false}, {2, false}, {2, false}}) ==
            (std::vector<std::uint64_t>{1, 2}));
}

Test(blame, a_suspect_takes_the_blame_alone) {
  cr_assert(BlameForCrash({{1, false}, {2, true}, {3, false}}) ==
            std::vector<std::uint64_t>{2});
}
