#include "chervilpass/entry/dispatch_pool.h"

namespace chervilpass::entry {
namespace {

constexpr Duration kAvoidance = seconds(2);
constexpr Duration kReportLifetime = seconds(2);

}  // namespace

std::shared_ptr<rpc::DispatchClient> DispatchPool::ClientOf(
    const membership::FleetView& view,
    const std::string& vm) {
  const membership::Member* member = view.Find(vm);
  if (member == nullptr) {
    return nullptr;
  }
  const io::Endpoint address{member->ip, member->dispatch_port};
  Client& client = this->clients[vm];
  if (client.client == nullptr || client.address != address) {
    client = {address, rpc::DispatchClient::Create(this->loop, address)};
  }
  return client.client;
}

void DispatchPool::StartCooldown(const std::string& vm, Instant now) {
  this->avoided_until[vm] = now + kAvoidance;
}

std::string DispatchPool::Pick(const std::vector<std::string>& order,
                               const std::set<std::string>& failed,
                               Instant now) const {
  std::string second_best;
  for (const std::string& vm : order) {
    if (failed.contains(vm)) {
      continue;
    }
    const auto avoided = this->avoided_until.find(vm);
    if (avoided == this->avoided_until.end() || avoided->second <= now) {
      return vm;
    }
    if (second_best.empty()) {
      second_best = vm;
    }
  }
  return second_best;
}

void DispatchPool::OnReport(std::uint32_t cell,
                            const routing::CellLoad& reported,
                            Instant now) {
  Load& load = this->loads[cell];
  load.reported = reported;
  load.reported_at = now;
  load.own_at_report = load.own;
}

routing::CellLoad DispatchPool::LoadOf(std::uint32_t cell, Instant now) const {
  const auto found = this->loads.find(cell);
  if (found == this->loads.end()) {
    return {};
  }
  const Load& load = found->second;
  if (now - load.reported_at > kReportLifetime) {
    return {load.own, load.reported.capacity};
  }
  // What this entry has started or ended since the report is known exactly.
  const std::int64_t change = static_cast<std::int64_t>(load.own) -
                              static_cast<std::int64_t>(load.own_at_report);
  const std::int64_t estimate =
      static_cast<std::int64_t>(load.reported.in_flight) + change;
  return {
      static_cast<std::uint32_t>(std::max<std::int64_t>(load.own, estimate)),
      load.reported.capacity};
}

}  // namespace chervilpass::entry
