// Reports of an experiment: text, CSV and an SVG plot.
#pragma once

#include <string>

#include "programs/load/experiment.h"
#include "programs/load/recorder.h"

namespace chervilpass::load {

/// Prints the summary, one `name=value` a figure; returns the number of
/// requests that ended wrong or without an answer.
std::size_t PrintSummary(const Experiment& experiment,
                         const Recorder& recorder,
                         Duration elapsed);

/// Writes one line a request; false if the file cannot be written.
bool WriteCsv(const std::string& path, const Recorder& recorder);

/// Writes throughput and first-token latency over time, with marks.
bool WritePlot(const std::string& path,
               const Experiment& experiment,
               const Recorder& recorder);

}  // namespace chervilpass::load
