// core-matrix: injects every fault at every step of a request, alone and with a
// second fault, in seeded simulations of the state machines. Prints one line
// per cell.
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <mutex>
#include <thread>

#include "fault_tests/schedule.h"

namespace chervilpass::fault_tests {
namespace {

constexpr std::uint32_t kMaxOccurrence = 4;
constexpr int kMaxViolationsShown = 5;

enum class Workload { kCompletion, kService };

// A cell of the grid: one fault at one step of one workload.
struct Cell {
  Workload workload = Workload::kCompletion;
  Fault fault = Fault::kKillEntry;
  Step step = Step::kAccepted;
  std::uint64_t runs = 0;
  std::uint64_t injected = 0;
  std::uint64_t violations = 0;
};

bool HasStep(Workload workload, Step step) {
  switch (step) {
    case Step::kPrefill:
    case Step::kStageStep:
    case Step::kTokenInFlight:
    case Step::kLastToken:
      return workload == Workload::kCompletion;
    case Step::kClaimSent:
    case Step::kClaimTaken:
    case Step::kRunning:
    case Step::kOutcomeWritten:
      return workload == Workload::kService;
    default:
      return true;
  }
}

// Stage steps and token deliveries recur in a request: the fault is injected at
// one of the first occurrences, at random. At any other step it is injected at
// the first occurrence.
std::uint32_t PickOccurrence(Step step, Random* random) {
  return step == Step::kStageStep || step == Step::kTokenInFlight
             ? 1 + static_cast<std::uint32_t>(random->Below(
                       step == Step::kStageStep ? kMaxOccurrence
                                                : kMaxOccurrence - 1))
             : 1;
}

ScheduleResult RunOne(const Cell& cell, std::uint64_t seed, Sabotage sabotage) {
  Random random(seed ^ 0xfaf1);  // not the simulation's sequence
  std::vector<PlannedFault> faults = {
      {cell.fault, cell.step, PickOccurrence(cell.step, &random)}};
  if (random.Chance(0.5)) {
    const auto step = static_cast<Step>(random.Below(kStepCount));
    faults.push_back({static_cast<Fault>(random.Below(kFaultCount)), step,
                      PickOccurrence(step, &random)});
  }
  return cell.workload == Workload::kCompletion
             ? RunCompletionSchedule(seed, faults, sabotage)
             : RunServiceSchedule(seed, faults, sabotage);
}

struct Options {
  std::uint64_t runs_per_cell = 0;
  std::uint64_t first_seed = 0;
  std::string fault;
  std::string step;
  Sabotage sabotage = Sabotage::kNone;
  bool quiet = false;
};

std::vector<Cell> MakeGrid(const Options& options) {
  std::vector<Cell> cells;
  for (const Workload workload : {Workload::kCompletion, Workload::kService}) {
    for (int fault = 0; fault < kFaultCount; ++fault) {
      for (int step = 0; step < kStepCount; ++step) {
        const Cell cell{workload, static_cast<Fault>(fault),
                        static_cast<Step>(step)};
        const bool selected =
            (options.fault.empty() || FaultName(cell.fault) == options.fault) &&
            (options.step.empty() || StepName(cell.step) == options.step);
        if (HasStep(workload, cell.step) && selected) {
          cells.push_back(cell);
        }
      }
    }
  }
  return cells;
}

void RunCell(const Options& options, Cell* cell, std::mutex* output) {
  for (std::uint64_t i = 0; i < options.runs_per_cell; ++i) {
    const std::uint64_t seed = options.first_seed + i;
    const ScheduleResult result = RunOne(*cell, seed, options.sabotage);
    ++cell->runs;
    cell->injected += result.fault_injected ? 1 : 0;
    if (!result.violation) {
      continue;
    }
    if (++cell->violations <= kMaxViolationsShown && !options.quiet) {
      const std::lock_guard<std::mutex> lock(*output);
      fmt::print(
          "violation: check={} detail=\"{}\" workload={} fault={} step={} "
          "replay: --core --seed {} --runs 1 --fault {} --step {}\n",
          result.violation->check, result.violation->detail,
          cell->workload == Workload::kCompletion ? "completion" : "service",
          FaultName(cell->fault), StepName(cell->step), seed,
          FaultName(cell->fault), StepName(cell->step));
    }
  }
}

// Returns the number of violations; without a sabotage, cells whose fault was
// never injected count as well.
std::uint64_t RunGrid(const Options& options) {
  std::vector<Cell> cells = MakeGrid(options);
  std::mutex output;
  std::mutex next_mutex;
  std::size_t next = 0;
  std::vector<std::thread> threads;
  const unsigned count = std::max(1U, std::thread::hardware_concurrency());
  for (unsigned t = 0; t < count; ++t) {
    threads.emplace_back([&] {
      while (true) {
        std::size_t index = 0;
        {
          const std::lock_guard<std::mutex> lock(next_mutex);
          if (next >= cells.size()) {
            return;
          }
          index = next++;
        }
        RunCell(options, &cells[index], &output);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::uint64_t runs = 0;
  std::uint64_t violations = 0;
  std::uint64_t unvisited = 0;
  for (const Cell& cell : cells) {
    runs += cell.runs;
    violations += cell.violations;
    unvisited += cell.injected == 0 ? 1 : 0;
    if (!options.quiet) {
      fmt::print(
          "cell: workload={} fault={} step={} runs={} struck={} "
          "violations={}\n",
          cell.workload == Workload::kCompletion ? "completion" : "service",
          FaultName(cell.fault), StepName(cell.step), cell.runs, cell.injected,
          cell.violations);
    }
  }
  fmt::print("fault_matrix: cells={} runs={} violations={} unvisited={}{}\n",
             cells.size(), runs, violations, unvisited,
             options.sabotage == Sabotage::kNone
                 ? ""
                 : fmt::format(" sabotage={}", SabotageName(options.sabotage)));
  return violations + (options.sabotage == Sabotage::kNone ? unvisited : 0);
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine command(
      "Injects every fault at every step into the state machines", ' ',
      CHERVILPASS_VERSION);
  TCLAP::ValueArg<std::uint64_t> runs("", "runs", "schedules per cell", false,
                                      100, "N", command);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "first seed", false, 1, "N",
                                      command);
  TCLAP::ValueArg<std::string> fault("", "fault", "only this fault", false, "",
                                     "NAME", command);
  TCLAP::ValueArg<std::string> step("", "step", "only this step", false, "",
                                    "NAME", command);
  TCLAP::ValueArg<std::string> sabotage(
      "", "sabotage", "disable a mechanism; 'all' runs each in turn", false, "",
      "NAME", command);
  command.parse(argc, argv);
  Options options{runs.getValue(), seed.getValue(), fault.getValue(),
                  step.getValue(), Sabotage::kNone, false};
  if (sabotage.getValue().empty()) {
    return RunGrid(options) == 0 ? 0 : 1;
  }
  // The checks must detect each sabotage: a run without violations fails.
  options.quiet = true;
  bool all_caught = true;
  bool known = false;
  for (int i = 1; i < kSabotageCount; ++i) {
    options.sabotage = static_cast<Sabotage>(i);
    const std::string_view name = SabotageName(options.sabotage);
    if (sabotage.getValue() != "all" && sabotage.getValue() != name) {
      continue;
    }
    known = true;
    const bool caught = RunGrid(options) > 0;
    fmt::print("sabotage={} {}\n", name, caught ? "caught" : "NOT CAUGHT");
    all_caught = all_caught && caught;
  }
  return known && all_caught ? 0 : 1;
}

}  // namespace
}  // namespace chervilpass::fault_tests

int main(int argc, char** argv) {
  return chervilpass::fault_tests::Main(argc, argv);
}
