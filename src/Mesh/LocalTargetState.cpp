#include "Mesh/LocalTargetState.h"

namespace fescueline {

namespace {
/// Part of the drain limit reserved for requests in transit to the target.
constexpr Duration kDrainMargin = std::chrono::milliseconds(300);
}  // namespace

ReportResult LocalTargetState::OnReport(const TargetReportMessage& aReport,
                                        TimePoint aNow) {
  if (aReport.service != this->settings.service) {
    return ReportResult::Outdated;
  }
  const bool sameProcess =
      aReport.id == this->id && aReport.startedAt == this->startedAt;
  if (sameProcess) {
    if (aReport.sequence <= this->sequence || this->left) {
      return ReportResult::Outdated;
    }
  } else if (!this->id.empty() && aReport.startedAt <= this->startedAt) {
    return ReportResult::Outdated;
  }
  if (!sameProcess && this->NeedsConfirmation(aReport)) {
    return this->KeepUnconfirmed(aReport, aNow);
  }
  return this->Apply(aReport, aNow);
}

bool LocalTargetState::NeedsConfirmation(
    const TargetReportMessage& aReport) const {
  if (aReport.draining) {
    return false;
  }
  // A probe tells the target's identifier but not when its process started.
  const bool onlyProbed = this->startedAt == 0 && aReport.id != this->id;
  return !this->confirmed || onlyProbed;
}

ReportResult LocalTargetState::KeepUnconfirmed(
    const TargetReportMessage& aReport, TimePoint aNow) {
  if (this->unconfirmed) {
    UnconfirmedProcess& known = *this->unconfirmed;
    const bool sameProcess = aReport.id == known.lastReport.id &&
                             aReport.startedAt == known.lastReport.startedAt;
    const bool outdated = sameProcess
                              ? aReport.sequence <= known.lastReport.sequence
                              : aReport.startedAt <= known.lastReport.startedAt;
    if (outdated) {
      return ReportResult::Outdated;
    }
    const bool continues =
        sameProcess && aNow - known.lastAt <= this->settings.reportTimeout;
    if (continues) {
      known.lastReport = aReport;
      known.lastAt = aNow;
      return aNow - known.firstAt >= this->settings.reportTimeout
                 ? this->Apply(aReport, aNow)
                 : ReportResult::Unconfirmed;
    }
  }
  this->unconfirmed = UnconfirmedProcess{
      .lastReport = aReport, .firstAt = aNow, .lastAt = aNow};
  return ReportResult::Unconfirmed;
}

ReportResult LocalTargetState::Apply(const TargetReportMessage& aReport,
                                     TimePoint aNow) {
  const bool sameProcess =
      aReport.id == this->id && aReport.startedAt == this->startedAt;
  const bool turnsCold =
      aReport.coldFor > Duration::zero() && !this->IsCold(aNow);
  const bool changed =
      !sameProcess || this->slots != aReport.slots || turnsCold;
  if (!sameProcess) {
    this->id = aReport.id;
    this->startedAt = aReport.startedAt;
    this->left = false;
    this->draining = false;
    this->state = TargetState::Starting;
  }
  this->sequence = aReport.sequence;
  this->slots = aReport.slots;
  this->lastReport = aNow;
  this->coldUntil = aNow + aReport.coldFor;

  const TargetState before = this->state;
  this->draining = this->draining || aReport.draining;
  if (this->draining) {
    this->Leave(TargetState::Draining, aNow);
  } else {
    this->state = TargetState::Ready;
    this->confirmed = true;
  }
  this->unconfirmed.reset();
  return changed || before != this->state ? ReportResult::Changed
                                          : ReportResult::Unchanged;
}

ReportResult LocalTargetState::OnLeave(const std::string& aId,
                                       std::optional<uint64_t> aStartedAt,
                                       TimePoint aNow) {
  if (this->unconfirmed && this->unconfirmed->lastReport.id == aId) {
    const uint64_t reported = this->unconfirmed->lastReport.startedAt;
    if (aStartedAt.value_or(reported) >= reported) {
      aStartedAt = aStartedAt.value_or(reported);
      this->unconfirmed.reset();
    }
  }
  const bool known = aId == this->id &&
                     aStartedAt.value_or(this->startedAt) == this->startedAt;
  if (!known) {
    if (aStartedAt && *aStartedAt > this->startedAt) {
      // A process that has not reported yet: its late reports must be ignored.
      this->id = aId;
      this->startedAt = *aStartedAt;
      this->left = true;
      this->Leave(TargetState::Gone, aNow);
      return ReportResult::Changed;
    }
    return ReportResult::Outdated;
  }
  const bool changed = !this->left;
  this->left = true;
  this->Leave(TargetState::Gone, aNow);
  return changed ? ReportResult::Changed : ReportResult::Unchanged;
}

void LocalTargetState::Leave(TargetState aState, TimePoint aNow) {
  const bool leaving =
      this->state == TargetState::Draining || this->state == TargetState::Gone;
  if (!leaving) {
    this->leavingSince = aNow;
  }
  this->state = aState;
}

bool LocalTargetState::OnProbe(const std::string& aId,
                               std::optional<uint32_t> aSlots,
                               Duration aColdFor, TimePoint aNow) {
  if (this->unconfirmed && this->unconfirmed->lastReport.id == aId) {
    const TargetReportMessage report = this->unconfirmed->lastReport;
    this->Apply(report, aNow);
    return true;
  }
  if (!this->id.empty() || !aSlots) {
    return false;
  }
  // With start time 0, any report counts as one of a later process.
  this->id = aId;
  this->startedAt = 0;
  this->slots = *aSlots;
  this->lastReport = aNow;
  this->coldUntil = aNow + aColdFor;
  this->state = TargetState::Ready;
  this->confirmed = true;
  return true;
}

bool LocalTargetState::Expire(TimePoint aNow) {
  const bool timedOut = aNow - this->lastReport > this->settings.reportTimeout;
  if (!timedOut || this->id.empty() || this->state == TargetState::Gone) {
    return false;
  }
  this->Leave(TargetState::Gone, aNow);
  // A later report of the same process remains valid: only its reports were
  // late.
  return true;
}

bool LocalTargetState::AcceptsRequests(TimePoint aNow) const {
  switch (this->state) {
    case TargetState::Ready:
      return true;
    case TargetState::Draining:
    case TargetState::Gone:
      return !this->id.empty() && aNow - this->leavingSince <
                                      this->settings.drainLimit - kDrainMargin;
    default:
      return false;
  }
}

}  // namespace fescueline
