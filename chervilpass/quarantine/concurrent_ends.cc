#include "chervilpass/quarantine/concurrent_ends.h"

#include <algorithm>

namespace chervilpass::quarantine {

void ConcurrentEnds::OnServerEnded(const std::string& server, Instant now) {
  this->Expire(now);
  std::erase_if(this->ends,
                [&server](const End& end) { return end.server == server; });
  this->ends.push_back({server, now});
}

// A run that waits for a silent server is reported several times.
void ConcurrentEnds::OnRunLost(std::uint64_t serial,
                               const std::vector<std::uint64_t>& parts,
                               Instant now) {
  this->Expire(now);
  std::erase_if(this->losses,
                [serial](const Loss& loss) { return loss.serial == serial; });
  this->losses.push_back({serial, parts, now});
}

bool ConcurrentEnds::ExceedRunsWith(const std::vector<std::uint64_t>& parts,
                                    Instant now) {
  this->Expire(now);
  const auto has_part = [&parts](const Loss& loss) {
    return std::any_of(parts.begin(), parts.end(), [&loss](std::uint64_t part) {
      return std::find(loss.parts.begin(), loss.parts.end(), part) !=
             loss.parts.end();
    });
  };
  const auto runs =
      std::count_if(this->losses.begin(), this->losses.end(), has_part);
  return this->ends.size() >
         static_cast<std::size_t>(std::max<std::ptrdiff_t>(runs, 1));
}

void ConcurrentEnds::Expire(Instant now) {
  const Instant oldest = now - this->settings.window;
  while (!this->ends.empty() && this->ends.front().at < oldest) {
    this->ends.pop_front();
  }
  while (!this->losses.empty() && this->losses.front().at < oldest) {
    this->losses.pop_front();
  }
}

}  // namespace chervilpass::quarantine
