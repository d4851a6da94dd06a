#include "Node/LocalTarget.h"

#include <mutex>

namespace fescueline {

LocalTarget::LocalTarget(const AdmissionSettings& aSettings, uint64_t aSeed)
    : lease(TargetLeaseSettings{}), admission(aSettings, aSeed) {}

bool LocalTarget::Announce(const TargetAnnouncement& aAnnouncement,
                           TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  const TargetState before = this->StateLocked(aNow);
  const bool serviceChanged = this->service != aAnnouncement.service;
  this->service = aAnnouncement.service;
  this->url = "http://" + aAnnouncement.address;
  this->lease.Announce(aAnnouncement, aNow);
  this->admission.Core().SetDeclaredLimits(aAnnouncement.slots,
                                           aAnnouncement.connections);
  return serviceChanged || this->StateLocked(aNow) != before;
}

bool LocalTarget::Expire(TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  return this->lease.Expire(aNow);
}

TargetState LocalTarget::State(TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  return this->StateLocked(aNow);
}

TargetState LocalTarget::StateLocked(TimePoint aNow) {
  const TargetState state = this->lease.State(aNow);
  return this->stopping && state == TargetState::Ready ? TargetState::Draining
                                                       : state;
}

void LocalTarget::SetStopping() {
  const std::lock_guard lock(this->mutex);
  this->stopping = true;
}

std::string LocalTarget::Service() {
  const std::lock_guard lock(this->mutex);
  return this->service;
}

std::string LocalTarget::Url() {
  const std::lock_guard lock(this->mutex);
  return this->url;
}

StateWire LocalTarget::ToWire(TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  return {.service = this->service,
          .state = static_cast<uint8_t>(this->StateLocked(aNow)),
          .load = this->admission.Core().InFlight() +
                  static_cast<uint32_t>(this->admission.Core().Queued()),
          .limit = this->admission.Core().Limit().Limit(),
          .thresholds = {}};
}

OfferResult LocalTarget::Offer(const AdmissionRequest& aRequest,
                               InboundAttemptPtr aAttempt, TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  return this->admission.Offer(aRequest, std::move(aAttempt), aNow);
}

void LocalTarget::Dispatch(TimePoint aNow, Controller::Batch& aBatch) {
  const std::lock_guard lock(this->mutex);
  this->admission.Dispatch(aNow, aBatch);
}

void LocalTarget::Finished(AdmissionHandle aHandle,
                           const AdmissionCompletion& aCompletion,
                           TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  this->admission.Finished(aHandle, aCompletion, aNow);
}

void LocalTarget::Cancel(AdmissionHandle aHandle) {
  const std::lock_guard lock(this->mutex);
  this->admission.Cancel(aHandle);
}

void LocalTarget::CallStarted(AdmissionHandle aHandle) {
  const std::lock_guard lock(this->mutex);
  this->admission.Core().ChildStarted(aHandle);
}

void LocalTarget::CallEnded(AdmissionHandle aHandle) {
  const std::lock_guard lock(this->mutex);
  this->admission.Core().ChildEnded(aHandle);
}

void LocalTarget::SetWeight(const std::string& aOrganisation, double aWeight) {
  const std::lock_guard lock(this->mutex);
  this->admission.Core().SetWeight(aOrganisation, aWeight);
}

AdmissionThreshold LocalTarget::ThresholdFor(const std::string& aOrganisation) {
  const std::lock_guard lock(this->mutex);
  return this->admission.Core().ThresholdFor(aOrganisation);
}

AdmissionCounters LocalTarget::Counters() {
  const std::lock_guard lock(this->mutex);
  return this->admission.Core().Counters();
}

uint32_t LocalTarget::InFlight() {
  const std::lock_guard lock(this->mutex);
  return this->admission.Core().InFlight();
}

uint32_t LocalTarget::Limit() {
  const std::lock_guard lock(this->mutex);
  return this->admission.Core().Limit().Limit();
}

size_t LocalTarget::Queued() {
  const std::lock_guard lock(this->mutex);
  return this->admission.Core().Queued();
}

}  // namespace fescueline
