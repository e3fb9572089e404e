// chervil-load: open-loop load generator, driven by a YAML experiment.
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <cmath>

#include "chervilpass/app/program.h"
#include "programs/load/caller.h"
#include "programs/load/report.h"

namespace chervilpass::load {
namespace {

constexpr Duration kProgressInterval = seconds(1);
constexpr Duration kEndPollInterval = milliseconds(20);
constexpr std::uint32_t kVocabularyWords = 5000;

// Open-loop generator: starts each request of an experiment at its arrival
// time, whether or not earlier ones have ended.
class Generator {
 public:
  Generator(io::Runtime* runtime, const Experiment& experiment)
      : runtime(runtime),
        experiment(experiment),
        http(io::HttpClient::Create(runtime, io::HttpClientSettings{})),
        entries(runtime, this->http.get(), experiment.entries),
        random(experiment.seed) {
    this->context = {runtime,         this->http.get(), &this->entries,
                     &this->recorder, &experiment,      runtime->Now()};
  }

  // Runs until the last request has ended; returns the time during which
  // requests arrived.
  Duration Run() {
    std::size_t source_count = 0;
    for (const LoadPipeline& pipeline : this->experiment.pipelines) {
      this->StartSource(pipeline.rate, ++source_count,
                        [this, &pipeline](auto* random) {
                          this->StartCompletion(pipeline, random);
                        });
    }
    for (const LoadService& service : this->experiment.services) {
      this->StartSource(service.rate, ++source_count,
                        [this, &service](auto* random) {
                          this->StartService(service, random);
                        });
    }
    if (this->experiment.progress && ::isatty(STDERR_FILENO) != 0) {
      this->runtime->Spawn([this] { this->ProgressLoop(); });
    }
    this->runtime->SleepFor(this->experiment.duration);
    const Duration elapsed = this->runtime->Now() - this->context.start;
    while (this->open_requests > 0) {
      this->runtime->SleepFor(kEndPollInterval);
    }
    return elapsed;
  }

  const Recorder& Records() const { return this->recorder; }

 private:
  // Starts Poisson arrivals at `rate` per second until the experiment ends.
  template <class StartOne>
  void StartSource(double rate,
                   std::uint64_t source_index,
                   StartOne start_one) {
    if (rate <= 0) {
      return;
    }
    this->runtime->Spawn([this, rate, source_index, start_one] {
      Random arrivals(HashCombine(this->experiment.seed, source_index));
      Instant next = this->context.start;
      const Instant end = this->context.start + this->experiment.duration;
      while (true) {
        next += duration_cast<Duration>(std::chrono::duration<double>(
            -std::log(1 - arrivals.Unit()) / rate));
        if (next >= end) {
          return;
        }
        const Instant now = this->runtime->Now();
        if (next > now) {
          this->runtime->SleepFor(next - now);
        }
        start_one(&arrivals);
      }
    });
  }

  const LoadOrganisation& PickOrganisation(Random* random) const {
    double sum = 0;
    for (const LoadOrganisation& item : this->experiment.organisations) {
      sum += item.share;
    }
    double point = random->Unit() * sum;
    for (const LoadOrganisation& item : this->experiment.organisations) {
      point -= item.share;
      if (point < 0) {
        return item;
      }
    }
    return this->experiment.organisations.back();
  }

  static std::uint32_t PickIn(const CountRange& range, Random* random) {
    return range.low + static_cast<std::uint32_t>(
                           random->Below(range.high - range.low + 1));
  }

  std::string NewId() {
    return fmt::format("load-{}-{}", this->experiment.seed, ++this->last_id);
  }

  static std::string MakePrompt(const LoadPipeline& pipeline, Random* random) {
    std::string prompt;
    if (pipeline.shared_prefixes > 0) {
      const std::uint64_t prefix = random->Below(pipeline.shared_prefixes);
      for (std::uint32_t i = 0; i < pipeline.prefix_words; ++i) {
        prompt += fmt::format("shared{}x{} ", prefix, i);
      }
    }
    const std::uint32_t words = PickIn(pipeline.prompt_words, random);
    for (std::uint32_t i = 0; i < words; ++i) {
      prompt += fmt::format("word{} ", random->Below(kVocabularyWords));
    }
    return prompt;
  }

  void StartCompletion(const LoadPipeline& pipeline, Random* random) {
    CompletionSpec spec{this->NewId(),
                        &this->PickOrganisation(random),
                        &pipeline,
                        MakePrompt(pipeline, random),
                        PickIn(pipeline.answer_tokens, random),
                        random->Next()};
    ++this->open_requests;
    this->runtime->Spawn([this, spec = std::move(spec)] {
      RunCompletion(&this->context, spec);
      --this->open_requests;
    });
  }

  void StartService(const LoadService& service, Random* random) {
    ServiceCallSpec spec{this->NewId(), &this->PickOrganisation(random),
                         &service, random->Chance(service.non_repeatable_share),
                         random->Next()};
    ++this->open_requests;
    this->runtime->Spawn([this, spec = std::move(spec)] {
      RunService(&this->context, spec);
      --this->open_requests;
    });
  }

  void ProgressLoop() {
    while (true) {
      this->runtime->SleepFor(kProgressInterval);
      fmt::print(stderr, "\r{:.0f} s  open {}  ended {}   ",
                 ToSeconds(this->runtime->Now() - this->context.start),
                 this->open_requests, this->recorder.Records().size());
    }
  }

  io::Runtime* runtime;
  const Experiment& experiment;
  std::unique_ptr<io::HttpClient> http;
  EntryList entries;
  Recorder recorder;
  Random random;
  CallerContext context;
  std::uint64_t last_id = 0;
  std::size_t open_requests = 0;
};

struct Options {
  std::string csv;
  std::string plot;
};

// Removes --csv and --plot from the arguments; the remaining options are common
// to all programs.
Options TakeOptions(int* argc, char** argv) {
  Options options;
  int kept_count = 1;
  for (int i = 1; i < *argc; ++i) {
    const std::string word = argv[i];
    if ((word == "--csv" || word == "--plot") && i + 1 < *argc) {
      (word == "--csv" ? options.csv : options.plot) = argv[++i];
    } else {
      argv[kept_count++] = argv[i];
    }
  }
  *argc = kept_count;
  return options;
}

int Main(int argc, char** argv) {
  const Options options = TakeOptions(&argc, argv);
  const app::CommandLine command_line = app::ParseCommandLine(
      argc, argv,
      "Open-loop load generator. Also: --csv FILE writes one line per "
      "request, --plot FILE draws an SVG over time");
  const auto experiment = app::LoadSettings<Experiment>(
      command_line, [&](config::SettingsReader& reader) {
        return ReadExperiment(reader, command_line);
      });
  io::Runtime::Run([&](io::Runtime& runtime) {
    Generator generator(&runtime, experiment);
    const Duration elapsed = generator.Run();
    const std::size_t failed_requests =
        PrintSummary(experiment, generator.Records(), elapsed);
    bool written = true;
    if (!options.csv.empty()) {
      written = WriteCsv(options.csv, generator.Records());
    }
    if (!options.plot.empty()) {
      written =
          WritePlot(options.plot, experiment, generator.Records()) && written;
    }
    if (!written) {
      fmt::print(stderr, "a report could not be written\n");
    }
    app::ExitNow(failed_requests == 0 && written ? app::kExitOk
                                                 : app::kExitFailure);
  });
  return app::kExitOk;
}

}  // namespace
}  // namespace chervilpass::load

int main(int argc, char** argv) {
  return chervilpass::load::Main(argc, argv);
}
