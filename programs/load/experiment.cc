#include "programs/load/experiment.h"

namespace chervilpass::load {
namespace {

constexpr std::int64_t kMaxValue = 1000000;

std::uint32_t Count(config::SettingsReader& reader,
                    std::string_view field,
                    std::int64_t low,
                    std::optional<std::int64_t> fallback = std::nullopt) {
  return static_cast<std::uint32_t>(
      reader.Integer(field, {low, kMaxValue}, fallback));
}

CountRange ReadRange(config::SettingsReader& reader,
                     std::string_view field,
                     std::int64_t low) {
  config::SettingsReader section = reader.Section(field);
  const CountRange range{Count(section, "low", low),
                         Count(section, "high", low)};
  if (range.high < range.low) {
    section.AddError("high", "is below low");
  }
  return range;
}

LoadPipeline ReadPipeline(config::SettingsReader& reader) {
  LoadPipeline pipeline;
  pipeline.name = reader.Text("name");
  pipeline.layers = Count(reader, "layers", 1);
  pipeline.rate = reader.Double("rate", 0, kMaxValue);
  pipeline.prompt_words = ReadRange(reader, "prompt_words", 1);
  pipeline.answer_tokens = ReadRange(reader, "answer_tokens", 1);
  pipeline.shared_prefixes = Count(reader, "shared_prefixes", 0, 0);
  pipeline.prefix_words = Count(reader, "prefix_words", 0, 16);
  pipeline.stream = reader.Bool("stream", true);
  return pipeline;
}

StageReplica ReadReplica(config::SettingsReader& reader) {
  StageReplica replica;
  replica.stage = Count(reader, "stage", 0);
  replica.batch_us = reader.Double("batch_us", 0, 1e7);
  replica.decode_us = reader.Double("decode_us", 0, 1e7);
  replica.prefill_us = reader.Double("prefill_us", 0, 1e7);
  replica.batch_limit = Count(reader, "batch_limit", 1);
  return replica;
}

}  // namespace

Experiment ReadExperiment(config::SettingsReader& reader,
                          const app::CommandLine& command_line) {
  Experiment experiment;
  for (config::SettingsReader& item : reader.List("entries")) {
    experiment.entries.push_back(item.Address("address"));
  }
  if (experiment.entries.empty()) {
    reader.AddError("entries", "at least one address is expected");
  }
  experiment.seed = Count(reader, "seed", 0, 1);
  experiment.duration = reader.Milliseconds("duration_ms", {1, 86400000});
  experiment.answer_timeout =
      reader.Milliseconds("patience_ms", {1, 86400000}, 60000);
  for (config::SettingsReader& item : reader.List("organisations")) {
    experiment.organisations.push_back(
        {item.Text("name"), item.Text("key"),
         item.Double("share", 0, kMaxValue, 1),
         item.Double("weight", 0.001, kMaxValue, 1)});
  }
  if (experiment.organisations.empty()) {
    reader.AddError("organisations", "at least one is expected");
  }
  for (config::SettingsReader& item : reader.List("pipelines")) {
    experiment.pipelines.push_back(ReadPipeline(item));
  }
  for (config::SettingsReader& item : reader.List("services")) {
    experiment.services.push_back(
        {item.Text("name"), item.Double("rate", 0, kMaxValue),
         item.Double("non_repeatable_share", 0, 1, 0)});
  }
  for (config::SettingsReader& item : reader.List("pool")) {
    experiment.pool.push_back(ReadReplica(item));
  }
  experiment.print_answers = reader.Bool("print_answers", false);
  experiment.progress = reader.Bool("progress", false);
  experiment.fault_marks_path = reader.Text("marks", "");
  experiment.log =
      app::ReadLogSettings(reader, "chervil-load", "load", command_line);
  return experiment;
}

}  // namespace chervilpass::load
