// Description of a load experiment, read from YAML.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "chervilpass/app/program.h"
#include "chervilpass/config/settings_reader.h"
#include "chervilpass/core/time.h"
#include "chervilpass/io/http.h"

namespace chervilpass::load {

/// A range of counts, both ends inclusive.
struct CountRange {
  std::uint32_t low = 0;
  std::uint32_t high = 0;

  bool operator==(const CountRange&) const = default;
};

/// An organisation that sends requests.
struct LoadOrganisation {
  std::string name;
  std::string key;
  double share = 1;   ///< of all requests, relative to the other organisations
  double weight = 1;  ///< as in the table, to report fairness

  bool operator==(const LoadOrganisation&) const = default;
};

/// Requests sent to one pipeline.
struct LoadPipeline {
  std::string name;
  std::uint32_t layers = 0;  ///< of the stand-in model, to check answers
  double rate = 0;           ///< requests per second
  CountRange prompt_words;   ///< without the shared prefix
  CountRange answer_tokens;
  std::uint32_t shared_prefixes = 0;  ///< number of distinct prefixes; 0: none
  std::uint32_t prefix_words = 0;
  bool stream = true;

  bool operator==(const LoadPipeline&) const = default;
};

/// Calls sent to one plain service.
struct LoadService {
  std::string name;
  double rate = 0;                  ///< calls per second
  double non_repeatable_share = 0;  ///< sent as POST with an idempotency key

  bool operator==(const LoadService&) const = default;
};

/// One replica of one stage, to compute the throughput bound.
struct StageReplica {
  std::uint32_t stage = 0;
  double batch_us = 0;    ///< per batch
  double decode_us = 0;   ///< per answer token after the first
  double prefill_us = 0;  ///< per prompt token
  std::uint32_t batch_limit = 0;

  bool operator==(const StageReplica&) const = default;
};

/// Settings of a load experiment.
struct Experiment {
  std::vector<io::Endpoint> entries;  ///< sources of the address list
  std::uint64_t seed = 1;
  Duration duration{0};
  Duration answer_timeout{0};  ///< of a caller, for one answer
  std::vector<LoadOrganisation> organisations;
  std::vector<LoadPipeline> pipelines;
  std::vector<LoadService> services;
  std::vector<StageReplica> pool;
  bool print_answers = false;
  bool progress = false;
  std::string fault_marks_path;  ///< file of lines "MS TEXT": faults to plot
  LogSettings log;

  bool operator==(const Experiment&) const = default;
};

/// Reads an experiment; errors are added to `reader`.
Experiment ReadExperiment(config::SettingsReader& reader,
                          const app::CommandLine& command_line);

}  // namespace chervilpass::load
