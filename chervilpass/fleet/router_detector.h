// Settings of the failure detector in the router.
#pragma once

#include "chervilpass/membership/detector_settings.h"

namespace chervilpass::fleet {

/// Callers cache addresses for two seconds; a failed entry must be removed from
/// the lists sooner than with the defaults.
inline membership::DetectorSettings RouterDetectorSettings() {
  membership::DetectorSettings settings;
  settings.probe_period = milliseconds(200);
  settings.probe_timeout = milliseconds(120);
  settings.probe_deadline = milliseconds(400);
  settings.suspicion = {milliseconds(800), milliseconds(1800), 2};
  return settings;
}

}  // namespace chervilpass::fleet
