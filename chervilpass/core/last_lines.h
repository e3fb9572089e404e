// What a process that ends by a signal leaves in its log.
#pragma once

namespace chervilpass {

/// Writes the lines that are in the buffer, and one that names the signal. Does
/// so only once a Logger was made. Async-signal-safe; the process ends after
/// it.
void WriteLastLines(int signal_number);

}  // namespace chervilpass
