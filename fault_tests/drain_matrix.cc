// drain-matrix: explores how a leaving process treats its requests, with the
// product's decisions in virtual time. Plays every order of the events of one
// request against every plan of the process, within the bounds below, then
// seeded random schedules of several requests. With --sabotage each flaw has to
// be found.
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_set>

#include "chervilpass/core/random.h"
#include "fault_tests/drain_model.h"

namespace chervilpass::fault_tests {
namespace {

constexpr int kMaxShown = 5;  // schedules of each violation
constexpr std::size_t kMaxRandomRequests = 4;

// After the order to stop. Each limit of a decision lies between two of them.
constexpr std::array kInstants = {
    milliseconds(-3000), milliseconds(-10),  milliseconds(10),
    milliseconds(1990),  milliseconds(2010), milliseconds(2990),
    milliseconds(3010),  milliseconds(4300), milliseconds(5990),
    milliseconds(6010),  milliseconds(6600), milliseconds(6700),
    milliseconds(7000),  milliseconds(7040), milliseconds(7400),
    milliseconds(7520),  milliseconds(7540), milliseconds(7580),
    milliseconds(7620),  milliseconds(7640), milliseconds(7900)};

// Beyond the end, right before it from 3 s on, and well before it.
constexpr std::array kDeadlines = {milliseconds(20000), milliseconds(4510),
                                   milliseconds(1500)};

std::vector<std::optional<Duration>> ReceiveTimes() {
  return {Duration::zero(), milliseconds(300), milliseconds(1500),
          std::nullopt};
}

// Every order of the events of one request.
std::vector<RequestPlan> AllRequests() {
  std::vector<std::optional<Duration>> instants(kInstants.begin(),
                                                kInstants.end());
  std::vector<RequestPlan> plans;
  for (int kind = 0; kind < kRequestKinds; ++kind) {
    RequestPlan plan;
    plan.kind = static_cast<RequestKind>(kind);
    const bool stream = plan.kind == RequestKind::kStream ||
                        plan.kind == RequestKind::kForwarded;
    const bool has_middle = stream || plan.kind == RequestKind::kBodyInParts;
    for (std::size_t head = 0; head < instants.size(); ++head) {
      plan.head = *instants[head];
      // The index after the last one stands for never.
      for (std::size_t middle = head; middle <= instants.size(); ++middle) {
        for (std::size_t end = middle; end <= instants.size(); ++end) {
          const auto at = [&](std::size_t index) {
            return index < instants.size() ? instants[index] : std::nullopt;
          };
          (stream ? plan.begun : plan.body) = at(middle);
          plan.ended = at(end);
          for (const auto& receive_time : ReceiveTimes()) {
            plan.receive_time = receive_time;
            for (const Duration deadline : kDeadlines) {
              plan.deadline = deadline;
              plans.push_back(plan);
              if (!stream) {
                break;
              }
            }
          }
        }
        if (!has_middle) {
          break;
        }
      }
    }
  }
  return plans;
}

std::vector<ProcessPlan> AllProcesses() {
  struct Change {
    Duration grace, at;
  };
  const std::vector<Change> changes = {
      {seconds(8), seconds(0)},  {seconds(6), seconds(1)},
      {seconds(6), seconds(5)},  {milliseconds(7500), milliseconds(6500)},
      {seconds(10), seconds(3)}, {seconds(10), milliseconds(7200)}};
  struct Delay {
    Duration lasting, from, until, single, at;
  };
  const std::vector<Delay> delays = {
      {},
      {milliseconds(60), {}, seconds(100), {}, {}},
      {milliseconds(300), {}, seconds(100), {}, {}},
      {milliseconds(300), {}, milliseconds(6400), {}, {}},
      {milliseconds(300), milliseconds(3500), milliseconds(6400), {}, {}},
      {milliseconds(300), milliseconds(3500), seconds(100), {}, {}},
      {{}, {}, {}, milliseconds(300), milliseconds(5600)},
      {{}, {}, {}, milliseconds(300), milliseconds(7000)},
      {{}, {}, {}, milliseconds(300), milliseconds(7530)},
      {{}, {}, {}, milliseconds(300), milliseconds(7640)}};
  std::vector<ProcessPlan> plans;
  for (const Change& change : changes) {
    for (const Delay& delay : delays) {
      for (const bool whole_grace : {false, true}) {
        ProcessPlan plan;
        plan.whole_grace = whole_grace;
        plan.new_grace = change.grace;
        plan.grace_changes = change.at;
        plan.lasting_delay = delay.lasting;
        plan.delays_begin = delay.from;
        plan.delays_end = delay.until;
        plan.single_delay = delay.single;
        plan.delayed = delay.at;
        plans.push_back(plan);
      }
    }
  }
  return plans;
}

// What schedules have shown.
struct Findings {
  std::uint64_t schedules = 0;
  std::uint64_t steps = 0;
  std::uint64_t violations = 0;
  std::uint64_t first = 0;  // number of the first schedule with a violation
  std::unordered_set<std::uint64_t> states;
  std::map<DrainViolation, std::vector<std::string>> shown;

  void Add(const DrainResult& result,
           const ProcessPlan& process,
           const std::vector<RequestPlan>& requests) {
    ++this->schedules;
    this->steps += result.steps;
    this->states.insert(result.states.begin(), result.states.end());
    for (const DrainViolation violation : result.violations) {
      if (++this->violations == 1) {
        this->first = this->schedules;
      }
      auto& texts = this->shown[violation];
      if (texts.size() < kMaxShown) {
        texts.push_back(fmt::format("{} (ended at {})",
                                    Describe(process, requests),
                                    ToMilliseconds(result.ended)));
      }
    }
  }

  void Add(const Findings& other) {
    this->schedules += other.schedules;
    this->steps += other.steps;
    this->violations += other.violations;
    if (other.first != 0 && (this->first == 0 || other.first < this->first)) {
      this->first = other.first;
    }
    this->states.insert(other.states.begin(), other.states.end());
    for (const auto& [violation, texts] : other.shown) {
      auto& mine = this->shown[violation];
      for (const std::string& text : texts) {
        if (mine.size() < kMaxShown) {
          mine.push_back(text);
        }
      }
    }
  }

  void Print(const std::string& name) const {
    fmt::print("{}: {} schedules, {} decisions, {} states, {} violations\n",
               name, this->schedules, this->steps, this->states.size(),
               this->violations);
    for (const auto& [violation, texts] : this->shown) {
      for (const std::string& text : texts) {
        fmt::print("  {}: {}\n", DrainViolationName(violation), text);
      }
    }
  }
};

// Divides the schedules with numbers below `count` among threads.
template <class PlayOne>
Findings PlayAll(std::uint64_t count, unsigned threads, PlayOne play_one) {
  Findings all;
  std::mutex mutex;
  std::vector<std::thread> workers;
  for (unsigned thread = 0; thread < threads; ++thread) {
    workers.emplace_back([&, thread] {
      Findings mine;
      for (std::uint64_t i = thread; i < count; i += threads) {
        play_one(i, &mine);
      }
      const std::lock_guard lock(mutex);
      all.Add(mine);
    });
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
  return all;
}

Findings Explore(DrainFlaw flaw, std::uint64_t every, unsigned threads) {
  const std::vector<RequestPlan> requests = AllRequests();
  const std::vector<ProcessPlan> processes = AllProcesses();
  const std::uint64_t count = requests.size() * processes.size();
  return PlayAll(
      (count + every - 1) / every, threads,
      [&](std::uint64_t number, Findings* findings) {
        // Shifted, so that no plan of the process is left out.
        const std::uint64_t shift = number / processes.size() % every;
        const std::uint64_t i = std::min(number * every + shift, count - 1);
        const ProcessPlan& process = processes[i % processes.size()];
        const std::vector<RequestPlan> plan = {requests[i / processes.size()]};
        findings->Add(PlayDrain(process, plan, flaw), process, plan);
      });
}

Duration Draw(Random* random, Duration from, Duration to) {
  const auto range = static_cast<std::uint64_t>(ToMilliseconds(to - from));
  return from + milliseconds(random->Below(range));
}

RequestPlan DrawRequest(Random* random) {
  RequestPlan plan;
  plan.kind = static_cast<RequestKind>(random->Below(kRequestKinds));
  plan.head = Draw(random, seconds(-3), seconds(8));
  Duration at = plan.head;
  const auto next = [&]() -> std::optional<Duration> {
    if (random->Chance(0.1)) {
      return std::nullopt;
    }
    at = Draw(random, at, at + seconds(random->Chance(0.5) ? 1 : 8));
    return at;
  };
  if (plan.kind == RequestKind::kBodyInParts) {
    plan.body = next();
  }
  if (plan.kind == RequestKind::kStream ||
      plan.kind == RequestKind::kForwarded) {
    plan.begun = next();
    plan.deadline = random->Chance(0.5)
                        ? kDeadlines.front()
                        : Draw(random, milliseconds(200), seconds(8));
  }
  plan.ended = next();
  const auto receive_times = ReceiveTimes();
  plan.receive_time = receive_times[random->Below(receive_times.size())];
  return plan;
}

Findings PlayRandom(std::uint64_t runs,
                    std::uint64_t seed,
                    DrainFlaw flaw,
                    unsigned threads) {
  const std::vector<ProcessPlan> processes = AllProcesses();
  return PlayAll(runs, threads, [&](std::uint64_t number, Findings* findings) {
    Random random(HashCombine(seed, number));
    ProcessPlan process = processes[random.Below(processes.size())];
    if (process.single_delay > Duration::zero()) {
      process.delayed = Draw(&random, Duration::zero(), seconds(8));
    }
    std::vector<RequestPlan> requests;
    for (std::uint64_t i = 0; i <= random.Below(kMaxRandomRequests); ++i) {
      requests.push_back(DrawRequest(&random));
    }
    findings->Add(PlayDrain(process, requests, flaw), process, requests);
  });
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("Explores the stop of a process in virtual time.");
  TCLAP::ValueArg<std::uint64_t> every(
      "", "every", "plays one of so many of the schedules of one request",
      false, 1, "N", command);
  TCLAP::ValueArg<std::uint64_t> random("", "random",
                                        "random schedules of several requests",
                                        false, 100000, "N", command);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "of the random schedules",
                                      false, 1, "N", command);
  TCLAP::ValueArg<unsigned> threads("", "threads", "to use", false, 2, "N",
                                    command);
  TCLAP::SwitchArg sabotage("", "sabotage", "plays each flaw", command);
  command.parse(argc, argv);
  fmt::print("{} instants, {} plans of a request, {} of the process\n",
             kInstants.size(), AllRequests().size(), AllProcesses().size());
  bool failed = false;
  if (sabotage.getValue()) {
    for (int flaw = 1; flaw < kDrainFlaws; ++flaw) {
      const auto kind = static_cast<DrainFlaw>(flaw);
      Findings findings = Explore(kind, every.getValue(), threads.getValue());
      std::string kinds;
      for (const auto& [violation, texts] : findings.shown) {
        kinds += (kinds.empty() ? "" : ", ") + DrainViolationName(violation);
      }
      const bool found = findings.violations > 0;
      fmt::print("{}: {} is found in {} of {} schedules: {}\n",
                 found ? "ok" : "FAILED", DrainFlawName(kind),
                 findings.violations, findings.schedules, kinds);
      failed = failed || !found;
    }
    return failed ? 1 : 0;
  }
  const Findings explored =
      Explore(DrainFlaw::kNone, every.getValue(), threads.getValue());
  explored.Print("one request");
  const Findings drawn = PlayRandom(random.getValue(), seed.getValue(),
                                    DrainFlaw::kNone, threads.getValue());
  drawn.Print(fmt::format("random, seed {}", seed.getValue()));
  return explored.violations + drawn.violations == 0 ? 0 : 1;
}

}  // namespace
}  // namespace chervilpass::fault_tests

int main(int argc, char** argv) {
  return chervilpass::fault_tests::Main(argc, argv);
}
