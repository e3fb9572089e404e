// A bound of bodies in chunks (RFC 9112, section 7.1).
#pragma once

#include <cstddef>

namespace chervilpass::io {

/// Bytes of the shortest body in chunks, an empty one. The HTTP library aborts
/// if it is given the begin of such a body again and again in shorter pieces.
inline constexpr std::size_t kShortestChunkedBody = 5;  // "0\r\n\r\n"

}  // namespace chervilpass::io
