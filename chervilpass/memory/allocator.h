// Settings of the C library's allocator.
#pragma once

namespace chervilpass::memory {

/// Returns large blocks to the system as they are freed. By default the
/// allocator raises its threshold for that with each such block, so that the
/// process keeps what bodies and answers have once taken. Call it before any
/// large block is allocated.
void ReturnLargeBlocks();

}  // namespace chervilpass::memory
