// Tests of the cost of losses of workers, and of the thresholds after which
// silent streams go on elsewhere.
#include <criterion/criterion.h>

#include <fmt/format.h>

#include "chervilpass/placement/loss_cost.h"
#include "chervilpass/placement/path_chooser.h"

using namespace chervilpass;
using namespace chervilpass::placement;

namespace {

const Instant kStart = Instant{} + hours(100);
constexpr Duration kExposure = seconds(2);
constexpr Duration kObjective = milliseconds(250);

ModelProfile Model() {
  ModelProfile model;
  model.layers = 80;
  model.layer_mb = 100;
  model.kv_bytes_per_token = 42600;
  model.step_time = microseconds(850);
  model.prefill_tokens_per_second = 272000;
  model.batch_limit = 192;
  model.typical_prompt_tokens = 772;
  model.typical_answer_tokens = 145;
  model.accelerator_kinds["large"] = {36000, 3.1, 3.2};
  model.accelerator_kinds["small"] = {36000, 2.8, 2.8};
  return model;
}

// Four slow workers with 20 layers each, and sixteen faster ones with 5.
std::vector<PathCandidate> LongAndShortPaths(const ModelProfile& model) {
  std::vector<PathCandidate> candidates;
  for (std::uint32_t from = 0; from < 80; from += 5) {
    if (from % 20 == 0) {
      candidates.push_back({fmt::format("l{}", from),
                            {},
                            "a",
                            {from, from + 20},
                            model.accelerator_kinds.at("large"),
                            1,
                            {}});
    }
    candidates.push_back({fmt::format("s{}", from),
                          {},
                          "a",
                          {from, from + 5},
                          model.accelerator_kinds.at("small"),
                          1,
                          {}});
  }
  return candidates;
}

std::size_t PathLength(Duration stage_loss_cost) {
  const ModelProfile model = Model();
  PathQuery query;
  query.layers = {0, 80};
  query.from_data_centre = "a";
  query.prompt_tokens = 700;
  query.answer_tokens = 150;
  query.stage_loss_cost = stage_loss_cost;
  PathChooserSettings settings;
  settings.jitter = 0;
  settings.hop_delay = Duration::zero();
  Random random(1);
  const auto found =
      ChoosePath(model, LongAndShortPaths(model), query, settings, &random);
  return found.has_value() ? found.value().path.size() : 0;
}

}  // namespace

// A sound fleet of 98 workers for hours.
Test(loss_cost, is_negligible_without_losses) {
  LossCost losses{LossCostSettings{}};
  losses.SetWorkers(98, kStart);
  cr_assert_lt(losses.StageCost(kExposure, kObjective, kStart),
               milliseconds(1));
  const Instant later = kStart + hours(2);
  cr_assert_lt(losses.Rate(later), losses.Rate(kStart));
}

// Ten of 98 workers crash within five minutes, each reported by many streams
// and VMs.
Test(loss_cost, counts_a_worker_once_and_forgets_it_after_the_window) {
  LossCost losses{LossCostSettings{}};
  losses.SetWorkers(98, kStart);
  for (int i = 0; i < 10; ++i) {
    const Instant at = kStart + seconds(30 * i);
    cr_assert(losses.OnLost(fmt::format("w{}", i), at));
    for (int report = 1; report < 50; ++report) {
      cr_assert(!losses.OnLost(fmt::format("w{}", i),
                               at + milliseconds(100 * report)));
    }
  }
  cr_assert_eq(losses.Losses(), 10);
  const Instant now = kStart + seconds(300);
  cr_assert_float_eq(losses.Rate(now), 10.05 / (98 * 300 + 4 * 3600), 1e-6);
  losses.Expire(now + seconds(301));
  cr_assert_eq(losses.Losses(), 0);
}

// Four workers that crash together stall a stream on several of them once, and
// a cut link makes all workers unreachable together.
Test(loss_cost, joined_crashes_count_less_than_separate_ones) {
  LossCost together{LossCostSettings{}};
  LossCost apart{LossCostSettings{}};
  LossCost link{LossCostSettings{}};
  for (LossCost* losses : {&together, &apart, &link}) {
    losses->SetWorkers(98, kStart);
  }
  for (int i = 0; i < 4; ++i) {
    together.OnLost(fmt::format("w{}", i), kStart + milliseconds(100 * i));
    apart.OnLost(fmt::format("w{}", i), kStart + seconds(20 * i));
  }
  for (int i = 0; i < 98; ++i) {
    link.OnLost(fmt::format("w{}", i), kStart);
  }
  const Instant now = kStart + seconds(100);
  cr_assert_gt(together.Rate(now), apart.Rate(now) / 2);
  cr_assert_lt(together.Rate(now), 0.8 * apart.Rate(now));
  cr_assert_lt(link.Rate(now), 1.3 * apart.Rate(now));
}

// A route with an objective of 250 ms loses credit by a pause of 432 ms, one
// without or with an objective of a second does not.
Test(loss_cost, depends_on_the_objective_and_is_bounded) {
  LossCost losses{LossCostSettings{}};
  losses.SetWorkers(98, kStart);
  for (int i = 0; i < 30; ++i) {
    losses.OnLost(fmt::format("w{}", i), kStart + seconds(10 * i));
  }
  const Instant now = kStart + seconds(300);
  const auto cost = [&](Duration objective) {
    return losses.StageCost(kExposure, objective, now);
  };
  cr_assert_gt(cost(kObjective), 4 * cost(seconds(1)));
  cr_assert_eq(cost(Duration::zero()), cost(seconds(1)));
  cr_assert_eq(losses.StageCost(hours(10), kObjective, now),
               LossCostSettings().max_stage_cost);
}

// Streams that stalled ran on 8 to 20 workers.
Test(loss_cost, paths_have_fewer_workers_where_losses_are_frequent) {
  cr_assert_eq(PathLength(Duration::zero()), 16);
  cr_assert_eq(PathLength(milliseconds(20)), 4);
}
