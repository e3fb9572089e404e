// The identity of the sources that a program was built from.
#pragma once

#include <string_view>

namespace chervilpass {

/// "COMMIT-DIGEST", as `scripts/build_id.cmake` prints it for the same sources.
std::string_view BuildId();

}  // namespace chervilpass
