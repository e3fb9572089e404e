#include "chervilpass/routing/route_table.h"

#include <algorithm>
#include <cctype>

namespace chervilpass::routing {
namespace {

// The host of a "HOST:PORT". Names are case-insensitive and may end with the
// dot of the DNS root.
std::string NormalHost(std::string_view host) {
  const std::size_t bracket = host.starts_with('[') ? host.find(']') : 0;
  host = host.substr(0, host.find(':', bracket));
  if (host.ends_with('.')) {
    host.remove_suffix(1);
  }
  std::string normal(host);
  std::transform(normal.begin(), normal.end(), normal.begin(),
                 [](unsigned char letter) {
                   return static_cast<char>(std::tolower(letter));
                 });
  return normal;
}

}  // namespace

std::string_view Route::PickService(double draw) const {
  double total = 0;
  for (const ServiceShare& share : this->shares) {
    total += share.weight;
  }
  double remaining = draw * total;
  for (const ServiceShare& share : this->shares) {
    if (share.weight > 0 && remaining < share.weight) {
      return share.service;
    }
    remaining -= share.weight;
  }
  return {};
}

std::shared_ptr<const RouteTable> RouteTable::Create(RouteTableData data) {
  return std::shared_ptr<const RouteTable>(new RouteTable(std::move(data)));
}

RouteTable::RouteTable(RouteTableData data) : data(std::move(data)) {
  for (std::size_t i = 0; i < this->data.routes.size(); ++i) {
    this->by_host[NormalHost(this->data.routes[i].host)].push_back(i);
  }
  for (auto& [host, indices] : this->by_host) {
    std::stable_sort(indices.begin(), indices.end(),
                     [this](std::size_t a, std::size_t b) {
                       return this->data.routes[a].path_prefix.size() >
                              this->data.routes[b].path_prefix.size();
                     });
  }
  for (std::size_t i = 0; i < this->data.organisations.size(); ++i) {
    for (const std::string& key : this->data.organisations[i].keys) {
      this->by_key.emplace(key, i);
    }
  }
  for (std::size_t i = 0; i < this->data.services.size(); ++i) {
    this->by_service.emplace(this->data.services[i].name, i);
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const auto found = this->by_host.find(NormalHost(host));
  if (found == this->by_host.end()) {
    return nullptr;
  }
  for (const std::size_t index : found->second) {
    const Route& route = this->data.routes[index];
    if (path.starts_with(route.path_prefix)) {
      return &route;
    }
  }
  return nullptr;
}

const OrganisationKeys* RouteTable::OrganisationOf(std::string_view key) const {
  const auto found = this->by_key.find(key);
  return found == this->by_key.end() ? nullptr
                                     : &this->data.organisations[found->second];
}

const ServiceProfile* RouteTable::Service(std::string_view name) const {
  const auto found = this->by_service.find(name);
  return found == this->by_service.end() ? nullptr
                                         : &this->data.services[found->second];
}

}  // namespace chervilpass::routing
