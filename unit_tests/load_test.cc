// Tests of the throughput bound and the quantiles of the load generator.
#include <criterion/criterion.h>

#include "programs/load/recorder.h"
#include "programs/load/throughput_bound.h"

using namespace chervilpass;
using namespace chervilpass::load;

Test(bound, equals_the_throughput_of_the_slowest_stage) {
  // Two replicas with 1,000 us per batch of 10 and 100 us per decode step:
  // 5,000 tokens per second each. The other stage has twice the throughput.
  const std::vector<StageReplica> pool = {{0, 1000, 100, 0, 10},
                                          {0, 1000, 100, 0, 10},
                                          {1, 500, 50, 0, 10},
                                          {1, 500, 50, 0, 10}};
  // An answer takes one decode step less than it has tokens; in a long answer
  // the difference is negligible.
  cr_assert_float_eq(TokensPerSecondBound(pool, 0, 1e9), 10000, 1);
  cr_assert_eq(TokensPerSecondBound({}, 10, 10), 0);
}

Test(bound, includes_the_prefill_of_prompts) {
  const std::vector<StageReplica> pool = {{0, 0, 100, 10, 1}};
  // 100 prompt tokens at 10 us and 10 decode steps at 100 us for 11 tokens.
  cr_assert_float_eq(TokensPerSecondBound(pool, 100, 11), 5500, 1);
}

Test(quantile, returns_a_sample) {
  cr_assert_eq(Quantile({}, 0.5), 0);
  cr_assert_eq(Quantile({3, 1, 2}, 0.5), 2);
  cr_assert_eq(Quantile({3, 1, 2}, 1.0), 3);
}
