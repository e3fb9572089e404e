// Reports of an experiment: text, CSV and an SVG plot.
#pragma once

#include <string>

#include "programs/load/experiment.h"
#include "programs/load/recorder.h"

namespace chervilpass::load {

/// Prints the summary as `name=value` pairs; `elapsed` is the time during which
/// requests arrived. Returns the number of requests with a wrong answer or
/// none.
std::size_t PrintSummary(const Experiment& experiment,
                         const Recorder& recorder,
                         Duration elapsed);

/// Writes one line per request; false if the file cannot be written.
bool WriteCsv(const std::string& path, const Recorder& recorder);

/// Writes an SVG of throughput and first-token latency over time, with the
/// experiment's marks; false if the file cannot be written.
bool WritePlot(const std::string& path,
               const Experiment& experiment,
               const Recorder& recorder);

}  // namespace chervilpass::load
