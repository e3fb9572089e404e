#include "chervilpass/placement/load_book.h"

#include <algorithm>

namespace chervilpass::placement {
namespace {

// Stated loads older than this say nothing: a stream lasts about as long.
constexpr Duration kStatedLifetime = seconds(4);

void Change(WorkerLoad* load, double sign, double tokens, double layers) {
  load->sequences = std::max(0.0, load->sequences + sign);
  load->context_tokens = std::max(0.0, load->context_tokens + sign * tokens);
  load->kv_token_layers =
      std::max(0.0, load->kv_token_layers + sign * tokens * layers);
}

}  // namespace

void LoadBook::Add(const Path& path, double tokens) {
  for (const PathPart& part : path) {
    Change(&this->records[part.worker].load, 1, tokens, part.layers.Size());
  }
  if (!path.empty()) {
    this->records[path.front().worker].as_first += 1;
  }
}

void LoadBook::Remove(const Path& path, double tokens) {
  for (const PathPart& part : path) {
    Change(&this->records[part.worker].load, -1, tokens, part.layers.Size());
  }
  if (!path.empty()) {
    Record& first = this->records[path.front().worker];
    first.as_first = std::max(0.0, first.as_first - 1);
  }
  // Workers come and go: what is back at zero is forgotten.
  for (const PathPart& part : path) {
    const auto found = this->records.find(part.worker);
    if (found != this->records.end() && found->second.load.sequences == 0) {
      this->records.erase(found);
    }
  }
}

void LoadBook::OnStatedRunning(const std::string& worker,
                               const std::string& data_centre,
                               std::uint32_t running,
                               Instant now) {
  const auto found = this->records.find(worker);
  const double own = found == this->records.end() ? 0 : found->second.as_first;
  std::erase_if(this->stated, [now](const auto& entry) {
    return now - entry.second.at > kStatedLifetime;
  });
  this->stated[worker] = {data_centre, std::max(0.0, running - own), now};
}

WorkerLoad LoadBook::Own(const std::string& worker) const {
  const auto found = this->records.find(worker);
  return found == this->records.end() ? WorkerLoad{} : found->second.load;
}

double LoadBook::OthersIn(const std::string& data_centre, Instant now) const {
  double others = 0;
  for (const auto& [worker, stated] : this->stated) {
    if (stated.data_centre == data_centre &&
        now - stated.at <= kStatedLifetime) {
      others += stated.others;
    }
  }
  return others;
}

}  // namespace chervilpass::placement
