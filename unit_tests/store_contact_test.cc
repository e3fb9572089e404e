// Tests of StoreContact: when a gap in the store's answers is an outage.
#include "chervilpass/fleet/store_contact.h"

#include <algorithm>
#include <vector>

#include "chervilpass/core/random.h"

// Last: its macros clash with headers of Boost.
#include <criterion/criterion.h>

using namespace chervilpass;
using namespace chervilpass::fleet;

namespace {

constexpr Instant kStart{seconds(1000)};

Instant At(int ms) {
  return kStart + milliseconds(ms);
}

AnswerSpan Span(int from_ms, int to_ms) {
  return {At(from_ms), At(to_ms)};
}

}  // namespace

// Guards against removals that are held back although the store was reachable:
// the watch of a VM waits for a second without an answer.
Test(store_contact, answers_a_second_apart_show_no_outage) {
  StoreContact contact;
  cr_assert(!contact.Newest() && !contact.OutageEnd());
  for (int ms = 0; ms < 20000; ms += 1100) {
    contact.OnAnswer(At(ms));
  }
  cr_assert(!contact.OutageEnd());
  cr_assert(contact.Newest()->from == At(0));
}

// Guards against sound servers that are dropped after an outage of the store.
Test(store_contact, a_long_gap_is_an_outage) {
  StoreContact contact;
  contact.OnAnswer(At(0));
  contact.OnAnswer(At(3500));
  contact.OnAnswer(At(4500));
  cr_assert(contact.OutageEnd() == At(3500));
}

// Guards against a VM that takes its own trouble for the store's: it stood
// still or was cut off while the store answered others.
Test(store_contact, answers_to_another_vm_in_a_gap_show_no_outage) {
  StoreContact contact;
  contact.OnAnswer(At(0));
  contact.OnAnswer(At(3500));
  contact.Add(Span(-60000, 3300));
  cr_assert(!contact.OutageEnd());
  // Several parts may show it, too.
  contact.OnAnswer(At(9000));
  contact.Add(Span(5500, 5800));
  cr_assert(contact.OutageEnd() == At(9000));
  contact.Add(Span(7000, 8000));
  cr_assert(!contact.OutageEnd());
}

// Guards against an outage that is overlooked since others had answers before
// it and after it.
Test(store_contact, answers_around_an_outage_leave_it_one) {
  StoreContact contact;
  contact.OnAnswer(At(0));
  contact.OnAnswer(At(5000));
  contact.Add(Span(-9000, 400));
  cr_assert(contact.OutageEnd() == At(5000));
  // Another VM had the first answer after it.
  contact.Add(Span(4100, 5200));
  cr_assert(contact.OutageEnd() == At(4100));
  cr_assert(contact.Newest() == Span(4100, 5200));
}

// Guards against a judgement that depends on which message came first.
Test(store_contact, the_order_of_what_is_heard_does_not_matter) {
  for (std::uint64_t seed = 0; seed < 500; ++seed) {
    Random random(seed);
    std::vector<AnswerSpan> spans;
    for (int at = 0; at < 12000;) {
      const int length = static_cast<int>(random.Below(1500));
      spans.push_back(Span(at, at + length));
      at += length + static_cast<int>(random.Below(3200));
    }
    StoreContact in_order;
    for (const AnswerSpan& span : spans) {
      in_order.Add(span);
    }
    for (std::size_t i = spans.size(); i > 1; --i) {
      std::swap(spans[i - 1], spans[random.Below(i)]);
    }
    StoreContact shuffled;
    for (const AnswerSpan& span : spans) {
      shuffled.Add(span);
    }
    cr_assert(in_order.Newest() == shuffled.Newest(), "seed %lu", seed);
  }
}
