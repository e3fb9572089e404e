// The command `where`: asks a running chervil-router where a request would be
// sent now.
#pragma once

#include <string>
#include <vector>

namespace chervilpass {

/// `arguments` are those after the command: ROUTER HOST PATH [NAME=VALUE...].
/// The key is read from the file `key_file`. Returns the exit code.
int Where(const std::vector<std::string>& arguments,
          const std::string& key_file,
          bool json);

}  // namespace chervilpass
