#include "chervilpass/fleet/decider_claim.h"

#include <algorithm>

namespace chervilpass::fleet {
namespace {

using membership::Member;
using membership::Status;

bool IsPresent(const Member& member) {
  return member.status == Status::kAlive || member.status == Status::kSuspect;
}

// Without this VM, the first member.
std::size_t CountOthers(const std::vector<Member>& members) {
  return static_cast<std::size_t>(
      std::count_if(members.begin() + 1, members.end(), IsPresent));
}

bool CanDecide(const Member& member) {
  return member.store_up && !member.cut_off && IsPresent(member);
}

}  // namespace

void DeciderClaim::OnRead(const std::optional<DeciderRecord>& read,
                          Instant asked,
                          Instant answered) {
  if (read != this->record) {
    this->holder_missing_since.reset();
  }
  const auto former = this->record;
  this->record = read;
  if (this->Holds() && former && former->vm != this->vm) {
    this->may_act_from =
        answered + (this->holder_alive ? this->settings.alive_handover_delay
                                       : this->settings.handover_delay);
  }
  this->store_read = true;
  this->read_at = asked;
  this->contested = false;
}

bool DeciderClaim::Holds() const {
  return this->record && this->record->vm == this->vm &&
         this->record->boot_id == this->boot_id;
}

bool DeciderClaim::IsContested(const std::vector<Member>& members) const {
  if (2 * CountOthers(members) < this->heard_when_read) {
    return true;
  }
  return !CanDecide(members.front()) &&
         std::any_of(members.begin() + 1, members.end(),
                     [](const Member& other) {
                       return IsPresent(other) && other.store_up;
                     });
}

ClaimStanding DeciderClaim::Standing(const std::vector<Member>& members,
                                     Instant now) const {
  if (!this->Holds() || now < this->may_act_from) {
    return ClaimStanding::kNone;
  }
  if (now - this->read_at < this->settings.confirmed_for) {
    return ClaimStanding::kConfirmed;
  }
  return this->contested || this->IsContested(members)
             ? ClaimStanding::kNone
             : ClaimStanding::kUncontested;
}

DeciderRecord DeciderClaim::Proposal() const {
  return {this->vm, this->boot_id, this->record ? this->record->term + 1 : 1};
}

const Member* DeciderClaim::Candidate(const std::vector<Member>& members) {
  const Member* candidate = nullptr;
  for (const Member& member : members) {
    if (CanDecide(member) &&
        (candidate == nullptr || member.vm < candidate->vm)) {
      candidate = &member;
    }
  }
  return candidate;
}

ClaimAction DeciderClaim::Next(const std::vector<Member>& members,
                               Instant now) {
  this->boot_id = members.front().boot_id;
  const Member* candidate = Candidate(members);
  const bool is_candidate = candidate != nullptr && candidate->vm == this->vm;
  if (this->Holds()) {
    this->contested = this->contested || this->IsContested(members);
    if (now - this->read_at < this->settings.confirmed_for) {
      this->heard_when_read = CountOthers(members);
    }
    return ClaimAction::kRead;  // detects a takeover
  }
  if (!is_candidate) {
    this->holder_missing_since.reset();
    return ClaimAction::kNone;
  }
  if (!this->store_read) {
    return ClaimAction::kRead;
  }
  if (!this->record) {
    return ClaimAction::kCreate;
  }
  this->holder_alive =
      std::any_of(members.begin(), members.end(), [this](const Member& member) {
        return member.vm == this->record->vm &&
               member.boot_id == this->record->boot_id && IsPresent(member);
      });
  const bool holder_present =
      std::any_of(members.begin(), members.end(), [this](const Member& member) {
        return member.vm == this->record->vm &&
               member.boot_id == this->record->boot_id && CanDecide(member);
      });
  // An earlier start of this VM cannot act any longer.
  if (this->record->vm == this->vm) {
    return ClaimAction::kTakeOver;
  }
  if (holder_present) {
    this->holder_missing_since.reset();
    return ClaimAction::kRead;
  }
  if (!this->holder_missing_since) {
    this->holder_missing_since = now;
  }
  if (now - *this->holder_missing_since < this->settings.missing_holder_grace &&
      now - this->started < this->settings.missing_holder_grace) {
    return ClaimAction::kRead;
  }
  return ClaimAction::kTakeOver;
}

}  // namespace chervilpass::fleet
