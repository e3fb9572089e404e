// A registered backend server: its address, the layers that it holds and
// whether it is leaving.
#pragma once

#include <cstdint>
#include <string>

#include "chervilpass/core/time.h"
#include "chervilpass/io/http.h"
#include "chervilpass/placement/model_profile.h"

namespace chervilpass::routing {

/// One incarnation of a backend server.
struct BackendServer {
  /// Instance id. Requests carry it, so that another instance refuses them.
  std::string id;
  std::string service;
  io::Endpoint address;
  std::string data_centre;
  std::uint32_t slots = 0;  ///< requests that it can run concurrently
  bool leaving = false;
  Duration warm_up_left{0};
  WallTime started;              ///< distinguishes incarnations of an id
  std::string model;             ///< empty for a plain service
  std::string accelerator_kind;  ///< empty for a plain service
  placement::LayerRange layers;  ///< empty if it holds none

  bool operator==(const BackendServer&) const = default;
};

}  // namespace chervilpass::routing
