// Tests of the fair queue, the wait estimator, the adaptive concurrency limit
// and refusals.
#include <criterion/criterion.h>

#include <map>

#include "chervilpass/admission/adaptive_concurrency_limit.h"
#include "chervilpass/admission/fair_queue.h"
#include "chervilpass/admission/refusal.h"
#include "chervilpass/admission/wait_estimator.h"

using namespace chervilpass;
using namespace chervilpass::admission;

namespace {

Ticket MakeTicket(TicketId id,
                  const std::string& organisation,
                  std::uint32_t weight,
                  std::uint32_t priority = 0) {
  Ticket ticket;
  ticket.id = id;
  ticket.organisation = organisation;
  ticket.weight = weight;
  ticket.priority = priority;
  ticket.deadline = Instant{} + seconds(10);
  return ticket;
}

}  // namespace

Test(fair_queue, backlogged_organisations_start_in_proportion_to_weight) {
  FairQueue queue(1, 10000);
  TicketId id = 0;
  for (int i = 0; i < 600; ++i) {
    queue.Push(MakeTicket(++id, "one", 1));
    queue.Push(MakeTicket(++id, "two", 2));
    queue.Push(MakeTicket(++id, "three", 3));
  }
  std::map<std::string, int> started;
  for (int i = 0; i < 600; ++i) {
    const auto ticket = queue.Next();
    ++started[ticket->organisation];
    queue.Finish(ticket->organisation);
  }
  cr_assert_eq(started["one"], 100);
  cr_assert_eq(started["two"], 200);
  cr_assert_eq(started["three"], 300);
}

Test(fair_queue, one_organisation_may_use_the_whole_capacity) {
  FairQueue queue(4, 100);
  for (TicketId id = 1; id <= 4; ++id) {
    queue.Push(MakeTicket(id, "busy", 1));
  }
  for (int i = 0; i < 4; ++i) {
    cr_assert(queue.Next().has_value());
  }
  cr_assert(!queue.Next().has_value());
}

Test(fair_queue, an_idle_organisation_accumulates_no_credit) {
  FairQueue queue(1, 10000);
  TicketId id = 0;
  for (int i = 0; i < 100; ++i) {
    queue.Push(MakeTicket(++id, "old", 1));
    queue.Finish(queue.Next()->organisation);
  }
  std::map<std::string, int> started;
  for (int i = 0; i < 50; ++i) {
    queue.Push(MakeTicket(++id, "old", 1));
    queue.Push(MakeTicket(++id, "new", 1));
  }
  for (int i = 0; i < 20; ++i) {
    const auto ticket = queue.Next();
    ++started[ticket->organisation];
    queue.Finish(ticket->organisation);
  }
  cr_assert_geq(started["old"], 9);
  cr_assert_geq(started["new"], 9);
}

Test(fair_queue, higher_priority_starts_first_within_an_organisation) {
  FairQueue queue(1, 100);
  queue.Push(MakeTicket(1, "a", 1, 0));
  queue.Push(MakeTicket(2, "a", 1, 5));
  queue.Push(MakeTicket(3, "a", 1, 5));
  cr_assert_eq(queue.Next()->id, 2);
  queue.Finish("a");
  cr_assert_eq(queue.Next()->id, 3);
  queue.Finish("a");
  cr_assert_eq(queue.Next()->id, 1);
}

Test(fair_queue, an_organisation_at_its_limit_does_not_block_others) {
  FairQueue queue(10, 100);
  Ticket limited = MakeTicket(1, "limited", 100);
  limited.concurrency_limit = 1;
  queue.Push(limited);
  limited.id = 2;
  queue.Push(limited);
  queue.Push(MakeTicket(3, "other", 1));
  cr_assert_eq(queue.Next()->id, 1);
  cr_assert_eq(queue.Next()->id, 3);
  cr_assert(!queue.Next().has_value());
  queue.Finish("limited");
  cr_assert_eq(queue.Next()->id, 2);
}

Test(fair_queue, expired_and_removed_requests_do_not_start) {
  FairQueue queue(1, 3);
  queue.Push(MakeTicket(1, "a", 1));
  queue.Push(MakeTicket(2, "a", 1));
  Ticket expiring = MakeTicket(3, "b", 1);
  expiring.deadline = Instant{} + seconds(1);
  queue.Push(expiring);
  cr_assert(!queue.Push(MakeTicket(4, "c", 1)));
  cr_assert_eq(queue.TakeExpired(Instant{} + seconds(2)).size(), 1);
  cr_assert(queue.Remove(1));
  cr_assert(!queue.Remove(1));
  cr_assert_eq(queue.Next()->id, 2);
  cr_assert_eq(queue.Waiting(), 0);
}

Test(wait_estimator, wait_grows_with_the_queue_and_falls_with_capacity) {
  WaitEstimator estimator;
  cr_assert(estimator.Estimate(100, 10) == Duration(0));
  estimator.OnFinished(seconds(2));
  cr_assert(estimator.Estimate(10, 10) == seconds(2));
  cr_assert(estimator.Estimate(10, 20) == seconds(1));
}

// With n sessions each gets a token every n/2 ms, so that a target of 25 ms
// allows 50 sessions.
Test(adaptive_concurrency_limit, converges_to_the_target_token_interval) {
  AdaptiveConcurrencyLimit limit({});
  Instant now{};
  for (int i = 0; i < 3000; ++i) {
    now += milliseconds(10);
    const std::uint32_t running = limit.Limit();
    limit.OnTokenInterval(microseconds(500 * running), running, now);
  }
  cr_assert_geq(limit.Limit(), 40);
  cr_assert_leq(limit.Limit(), 56);
}

Test(adaptive_concurrency_limit, keeps_its_minimum_and_grows_only_if_used) {
  AdaptiveConcurrencyLimit limit({});
  Instant now{};
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds(100);
    limit.OnTokenInterval(seconds(1), limit.Limit(), now);
  }
  cr_assert_eq(limit.Limit(), 8);
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds(100);
    limit.OnTokenInterval(milliseconds(1), 3, now);
  }
  cr_assert_eq(limit.Limit(), 8);
}

Test(refusal, every_code_has_a_status_and_a_name) {
  for (int code = 1; code <= 18; ++code) {
    const auto refusal = static_cast<RefusalCode>(code);
    cr_assert_geq(HttpStatus(refusal), 400);
    cr_assert(!RefusalName(refusal).empty());
  }
}
