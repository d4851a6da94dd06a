#include "Membership/TargetLease.h"

namespace fescueline {

bool TargetLease::Announce(const TargetAnnouncement& aAnnouncement,
                           TimePoint aNow) {
  // An overdue lease ends first, so that the callers are notified of the
  // interruption and a pause is detected.
  const bool expired = this->Expire(aNow);
  if (aNow < this->ignoreUntil) {
    return expired;
  }
  const TargetState before = this->State(aNow);
  // Another address means another target, whose ready time starts anew.
  const bool replaced =
      this->current && this->current->address != aAnnouncement.address;
  if (aAnnouncement.state == TargetState::Ready &&
      (before != TargetState::Ready || replaced)) {
    this->readySince = aNow;
  }
  this->renewedAt = aNow;
  if (aAnnouncement.state == TargetState::Gone) {
    this->current = std::nullopt;
  } else {
    this->current = aAnnouncement;
  }
  return expired || replaced || this->State(aNow) != before;
}

bool TargetLease::Expire(TimePoint aNow) {
  if (!this->current || !this->IsOverdue(aNow)) {
    return false;
  }
  this->current = std::nullopt;
  if (aNow - this->renewedAt >
      this->settings.length + this->settings.pauseThreshold) {
    this->ignoreUntil = aNow + this->settings.ignoreAfterPause;
  }
  return true;
}

TargetState TargetLease::State(TimePoint aNow) const {
  const TargetAnnouncement* announcement = this->Current(aNow);
  return announcement == nullptr ? TargetState::Gone : announcement->state;
}

const TargetAnnouncement* TargetLease::Current(TimePoint aNow) const {
  return this->current && !this->IsOverdue(aNow) ? &*this->current : nullptr;
}

std::optional<Duration> TargetLease::ReadyFor(TimePoint aNow) const {
  if (this->State(aNow) != TargetState::Ready) {
    return std::nullopt;
  }
  return aNow - this->readySince;
}

bool TargetLease::IsOverdue(TimePoint aNow) const {
  return aNow - this->renewedAt > this->settings.length;
}

}  // namespace fescueline
