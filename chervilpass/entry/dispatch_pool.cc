#include "chervilpass/entry/dispatch_pool.h"

namespace chervilpass::entry {
namespace {

constexpr Duration kCooldown = seconds(2);
constexpr Duration kReportLifetime = seconds(2);  // then only local load counts

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
  this->cooldown_until[vm] = now + kCooldown;
}

std::string DispatchPool::Pick(const std::vector<std::string>& order,
                               const std::set<std::string>& failed,
                               Instant now) const {
  std::string fallback;
  for (const std::string& vm : order) {
    if (failed.contains(vm)) {
      continue;
    }
    const auto cooldown = this->cooldown_until.find(vm);
    if (cooldown == this->cooldown_until.end() || cooldown->second <= now) {
      return vm;
    }
    if (fallback.empty()) {
      fallback = vm;
    }
  }
  return fallback;
}

void DispatchPool::OnReport(std::uint32_t cell,
                            const routing::CellLoad& reported,
                            Instant now) {
  Load& load = this->loads[cell];
  load.reported = reported;
  load.reported_at = now;
  load.local_at_report = load.local;
}

routing::CellLoad DispatchPool::LoadOf(std::uint32_t cell, Instant now) const {
  const auto found = this->loads.find(cell);
  if (found == this->loads.end()) {
    return {};
  }
  const Load& load = found->second;
  if (now - load.reported_at > kReportLifetime) {
    return {load.local, load.reported.capacity};
  }
  // Attempts that this entry has started or ended since the report.
  const std::int64_t change = static_cast<std::int64_t>(load.local) -
                              static_cast<std::int64_t>(load.local_at_report);
  const std::int64_t estimate =
      static_cast<std::int64_t>(load.reported.in_flight) + change;
  return {
      static_cast<std::uint32_t>(std::max<std::int64_t>(load.local, estimate)),
      load.reported.capacity};
}

}  // namespace chervilpass::entry
