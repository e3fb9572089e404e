#include "chervilpass/routing/route_table.h"

#include <algorithm>

namespace chervilpass::routing {

std::string_view Route::PickService(double draw) const {
  double total = 0;
  for (const ServiceShare& share : this->shares) {
    total += share.weight;
  }
  double left = draw * total;
  for (const ServiceShare& share : this->shares) {
    if (share.weight > 0 && left < share.weight) {
      return share.service;
    }
    left -= share.weight;
  }
  return {};
}

std::shared_ptr<const RouteTable> RouteTable::Create(RouteTableData parts) {
  return std::shared_ptr<const RouteTable>(new RouteTable(std::move(parts)));
}

RouteTable::RouteTable(RouteTableData given) : parts(std::move(given)) {
  for (std::size_t i = 0; i < this->parts.routes.size(); ++i) {
    this->by_host[this->parts.routes[i].host].push_back(i);
  }
  for (auto& [host, indices] : this->by_host) {
    std::stable_sort(indices.begin(), indices.end(),
                     [this](std::size_t a, std::size_t b) {
                       return this->parts.routes[a].path_prefix.size() >
                              this->parts.routes[b].path_prefix.size();
                     });
  }
  for (std::size_t i = 0; i < this->parts.organisations.size(); ++i) {
    for (const std::string& key : this->parts.organisations[i].keys) {
      this->by_key.emplace(key, i);
    }
  }
  for (std::size_t i = 0; i < this->parts.services.size(); ++i) {
    this->by_service.emplace(this->parts.services[i].name, i);
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const auto found = this->by_host.find(host);
  if (found == this->by_host.end()) {
    return nullptr;
  }
  for (const std::size_t index : found->second) {
    const Route& route = this->parts.routes[index];
    if (path.starts_with(route.path_prefix)) {
      return &route;
    }
  }
  return nullptr;
}

const OrganisationKeys* RouteTable::OrganisationOf(std::string_view key) const {
  const auto found = this->by_key.find(key);
  return found == this->by_key.end()
             ? nullptr
             : &this->parts.organisations[found->second];
}

const ServiceProfile* RouteTable::Service(std::string_view name) const {
  const auto found = this->by_service.find(name);
  return found == this->by_service.end() ? nullptr
                                         : &this->parts.services[found->second];
}

}  // namespace chervilpass::routing
