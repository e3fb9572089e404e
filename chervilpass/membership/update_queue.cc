#include "chervilpass/membership/update_queue.h"

#include <algorithm>
#include <tuple>

namespace chervilpass::membership {

void UpdateQueue::Push(const std::string& vm, UpdatePriority priority) {
  this->Remove(vm);
  this->changes.push_back({vm, priority, 0, this->next_number++});
}

void UpdateQueue::Remove(const std::string& vm) {
  std::erase_if(this->changes,
                [&vm](const Change& change) { return change.vm == vm; });
}

std::vector<std::string> UpdateQueue::Take(std::size_t count,
                                           std::uint32_t limit) {
  count = std::min(count, this->changes.size());
  const auto end = this->changes.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(this->changes.begin(), end, this->changes.end(),
                    [](const Change& a, const Change& b) {
                      return std::tuple(b.priority, a.sends, b.number) <
                             std::tuple(a.priority, b.sends, a.number);
                    });
  std::vector<std::string> taken;
  for (auto change = this->changes.begin(); change != end; ++change) {
    taken.push_back(change->vm);
    ++change->sends;
  }
  std::erase_if(this->changes, [limit](const Change& change) {
    return change.sends >= limit;
  });
  return taken;
}

}  // namespace chervilpass::membership
