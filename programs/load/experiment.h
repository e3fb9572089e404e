// What a load experiment consists of, read from YAML.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "chervilpass/app/program.h"
#include "chervilpass/config/settings_reader.h"
#include "chervilpass/core/time.h"
#include "chervilpass/io/http.h"

namespace chervilpass::load {

/// Both ends inclusive.
struct CountRange {
  std::uint32_t low = 0;
  std::uint32_t high = 0;

  bool operator==(const CountRange&) const = default;
};

/// An organisation that sends requests.
struct LoadOrganisation {
  std::string name;
  std::string key;
  double share = 1;   ///< of all requests, relative to the others
  double weight = 1;  ///< as in the table, to judge fairness

  bool operator==(const LoadOrganisation&) const = default;
};

/// Requests to one pipeline.
struct LoadPipeline {
  std::string name;
  std::uint32_t layers = 0;  ///< of the stand-in model, to check answers
  double rate = 0;           ///< requests a second
  CountRange prompt_words;
  CountRange answer_tokens;
  std::uint32_t shared_prefixes = 0;  ///< different ones; 0: none
  std::uint32_t prefix_words = 0;
  bool stream = true;

  bool operator==(const LoadPipeline&) const = default;
};

/// Calls to one plain service.
struct LoadService {
  std::string name;
  double rate = 0;                  ///< calls a second
  double non_repeatable_share = 0;  ///< sent as POST with a key

  bool operator==(const LoadService&) const = default;
};

/// One replica of one stage, to work out the bound.
struct StageReplica {
  std::uint32_t stage = 0;
  double batch_us = 0;
  double decode_us = 0;
  double prefill_us = 0;
  std::uint32_t batch_limit = 0;

  bool operator==(const StageReplica&) const = default;
};

/// The experiment.
struct Experiment {
  std::vector<io::Endpoint> entries;  ///< some to ask for the address list
  std::uint64_t seed = 1;
  Duration duration{0};
  Duration answer_timeout{0};  ///< a caller's, for one answer
  std::vector<LoadOrganisation> organisations;
  std::vector<LoadPipeline> pipelines;
  std::vector<LoadService> services;
  std::vector<StageReplica> pool;
  bool print_answers = false;
  bool progress = false;
  std::string marks;  ///< file whose lines "MS TEXT" mark faults on the plot
  LogSettings log;

  bool operator==(const Experiment&) const = default;
};

Experiment ReadExperiment(config::SettingsReader& reader,
                          const app::CommandLine& command_line);

}  // namespace chervilpass::load
