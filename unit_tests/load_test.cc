// Tests of the load tool's arithmetic.
#include <criterion/criterion.h>

#include "programs/load/recorder.h"
#include "programs/load/throughput_bound.h"

using namespace chervilpass;
using namespace chervilpass::load;

Test(bound, is_set_by_the_slowest_stage) {
  // Two replicas at 1,000 us a batch of 10 with 100 us a step: 5,000 tokens a
  // second each; the other stage does twice as much.
  const std::vector<StageReplica> pool = {{0, 1000, 100, 0, 10},
                                          {0, 1000, 100, 0, 10},
                                          {1, 500, 50, 0, 10},
                                          {1, 500, 50, 0, 10}};
  // A long answer pays the step for all tokens but the first.
  cr_assert_float_eq(TokensPerSecondBound(pool, 0, 1e9), 10000, 1);
  cr_assert_eq(TokensPerSecondBound({}, 10, 10), 0);
}

Test(bound, prompts_take_their_share) {
  const std::vector<StageReplica> pool = {{0, 0, 100, 10, 1}};
  // 100 positions at 10 us and 10 steps at 100 us for 11 tokens.
  cr_assert_float_eq(TokensPerSecondBound(pool, 100, 11), 5500, 1);
}

Test(quantile, is_a_sample) {
  cr_assert_eq(Quantile({}, 0.5), 0);
  cr_assert_eq(Quantile({3, 1, 2}, 0.5), 2);
  cr_assert_eq(Quantile({3, 1, 2}, 1.0), 3);
}
