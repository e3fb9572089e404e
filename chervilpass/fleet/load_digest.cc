#include "chervilpass/fleet/load_digest.h"

#include <algorithm>
#include <cmath>

namespace chervilpass::fleet {
namespace {

using membership::PartialLoads;
using membership::WorkerLoadNotice;

constexpr double kShareUnits = 65535;
constexpr double kHundredths = 100;

// Statements about rate limits are few and must not be lost in a sample.
bool StatesRateLimit(const WorkerLoadNotice& notice) {
  return notice.rate_limit != 0;
}

void KeepSample(const LoadDigestSettings& settings,
                Random* random,
                membership::GossipMessage* message) {
  std::vector<WorkerLoadNotice>& loads = message->loads;
  const auto stated =
      std::stable_partition(loads.begin(), loads.end(), StatesRateLimit);
  const auto kept = static_cast<std::size_t>(stated - loads.begin());
  const std::size_t others = loads.size() - kept;
  const std::size_t sample = std::min(
      others,
      std::max<std::size_t>(
          1, settings.max_partial - std::min(settings.max_partial, kept)));
  for (std::size_t i = kept; i < kept + sample; ++i) {
    std::swap(loads[i], loads[i + random->Below(loads.size() - i)]);
  }
  loads.resize(kept + sample);
  PartialLoads partial;
  partial.share = static_cast<std::uint16_t>(
      std::lround(kShareUnits * static_cast<double>(sample) /
                  static_cast<double>(std::max<std::size_t>(1, others))));
  partial.share = std::max<std::uint16_t>(1, partial.share);
  message->partial_loads = partial;
}

void KeepLargest(const LoadDigestSettings& settings,
                 membership::GossipMessage* message) {
  std::vector<WorkerLoadNotice>& loads = message->loads;
  std::stable_sort(loads.begin(), loads.end(),
                   [](const WorkerLoadNotice& a, const WorkerLoadNotice& b) {
                     return StatesRateLimit(a) != StatesRateLimit(b)
                                ? StatesRateLimit(a)
                                : a.sequences > b.sequences;
                   });
  double sequences = 0;
  double kv = 0;
  for (std::size_t i = settings.max_partial; i < loads.size(); ++i) {
    sequences += loads[i].sequences;
    kv += loads[i].kv_kilo_token_layers;
  }
  const auto rest = static_cast<double>(loads.size() - settings.max_partial);
  PartialLoads partial;
  partial.rest_sequences_hundredths =
      static_cast<std::uint32_t>(kHundredths * sequences / rest);
  partial.rest_kv_kilo_token_layers = static_cast<std::uint32_t>(kv / rest);
  loads.resize(settings.max_partial);
  message->partial_loads = partial;
}

}  // namespace

void BoundLoads(const LoadDigestSettings& settings,
                Random* random,
                membership::GossipMessage* message) {
  if (message->loads.size() <= settings.max_whole) {
    return;
  }
  if (message->loads_of_data_centre) {
    KeepLargest(settings, message);
  } else {
    KeepSample(settings, random, message);
  }
}

void ScaleSample(membership::GossipMessage* message) {
  if (!message->partial_loads || message->loads_of_data_centre ||
      message->partial_loads->share == 0) {
    return;
  }
  const double factor = kShareUnits / message->partial_loads->share;
  for (WorkerLoadNotice& load : message->loads) {
    if (StatesRateLimit(load)) {
      continue;
    }
    load.sequences = static_cast<std::uint16_t>(
        std::min(factor * load.sequences + 0.5, 65535.0));
    load.kv_kilo_token_layers = static_cast<std::uint32_t>(
        std::min(factor * load.kv_kilo_token_layers + 0.5, 4e9));
  }
}

}  // namespace chervilpass::fleet
