#include "chervilpass/memory/allocator.h"

#include <malloc.h>

namespace chervilpass::memory {
namespace {

constexpr int kLargeBlockBytes = 128 * 1024;

}  // namespace

void ReturnLargeBlocks() {
  ::mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, kLargeBlockBytes);
}

}  // namespace chervilpass::memory
