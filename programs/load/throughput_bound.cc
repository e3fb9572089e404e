#include "programs/load/throughput_bound.h"

#include <algorithm>
#include <map>

namespace chervilpass::load {
namespace {

// Tokens per second of one replica. Prefill of the prompt yields the first
// token of an answer; each further token takes a decode step. Each token adds
// its share of the cost of a full batch.
double ReplicaRate(const StageReplica& replica,
                   double prompt_tokens,
                   double answer_tokens) {
  const double share_us = replica.batch_us / replica.batch_limit;
  const double answer_us = replica.prefill_us * prompt_tokens +
                           replica.decode_us * (answer_tokens - 1) +
                           share_us * answer_tokens;
  return answer_us <= 0 ? 0 : answer_tokens / answer_us * 1e6;
}

}  // namespace

double TokensPerSecondBound(const std::vector<StageReplica>& pool,
                            double prompt_tokens,
                            double answer_tokens) {
  std::map<std::uint32_t, double> rates;  // by stage
  for (const StageReplica& replica : pool) {
    rates[replica.stage] += ReplicaRate(replica, prompt_tokens, answer_tokens);
  }
  double bound = 0;
  for (const auto& [stage, rate] : rates) {
    bound = bound == 0 ? rate : std::min(bound, rate);
  }
  return bound;
}

}  // namespace chervilpass::load
