// Conversion between tokens in flight by organisation and the notices of them
// in gossip.
#pragma once

#include <algorithm>
#include <vector>

#include "chervilpass/admission/organisation_shares.h"
#include "chervilpass/membership/gossip_message.h"

namespace chervilpass::fleet {

inline std::vector<membership::OrganisationLoadNotice> OrganisationNotices(
    const admission::OrganisationTokens& tokens) {
  std::vector<membership::OrganisationLoadNotice> notices;
  for (const auto& [organisation, count] : tokens) {
    notices.push_back({organisation, static_cast<std::uint32_t>(
                                         std::min(std::max(0.0, count), 4e9))});
  }
  return notices;
}

inline admission::OrganisationTokens OrganisationTokensOf(
    const std::vector<membership::OrganisationLoadNotice>& notices) {
  admission::OrganisationTokens tokens;
  for (const membership::OrganisationLoadNotice& notice : notices) {
    tokens[notice.organisation] += notice.tokens;
  }
  return tokens;
}

}  // namespace chervilpass::fleet
