#pragma once

#include <optional>
#include <string>

#include "Admission/AdmissionController.h"
#include "Core/OrderedMutex.h"
#include "Membership/TargetLease.h"
#include "Node/InboundAttempt.h"
#include "Transport/Frames.h"

namespace fescueline {

/// The target beside this node: its announcements, queue and concurrency
/// limit. Thread-safe (lock rank Admission).
class LocalTarget {
 public:
  using Controller = AdmissionController<InboundAttemptPtr>;

  LocalTarget(const AdmissionSettings& aSettings, uint64_t aSeed);

  /// Records an announcement. Returns whether the state changed.
  bool Announce(const TargetAnnouncement& aAnnouncement, TimePoint aNow);
  /// Expires an overdue lease; returns whether it expired now. Call at least
  /// once a second.
  bool Expire(TimePoint aNow);
  /// State, with "draining" while the node itself stops.
  TargetState State(TimePoint aNow);
  /// Reports the target as draining, because the node is stopping.
  void SetStopping();
  /// Service of the last announcement; empty before the first.
  std::string Service();
  /// Base URL of the target; empty before the first announcement.
  std::string Url();
  /// State as sent to peers.
  StateWire ToWire(TimePoint aNow);

  /// See AdmissionController.
  OfferResult Offer(const AdmissionRequest& aRequest,
                    InboundAttemptPtr aAttempt, TimePoint aNow);
  void Dispatch(TimePoint aNow, Controller::Batch& aBatch);
  void Finished(AdmissionHandle aHandle, const AdmissionCompletion& aCompletion,
                TimePoint aNow);
  void Cancel(AdmissionHandle aHandle);
  void CallStarted(AdmissionHandle aHandle);
  void CallEnded(AdmissionHandle aHandle);
  void SetWeight(const std::string& aOrganisation, double aWeight);
  AdmissionThreshold ThresholdFor(const std::string& aOrganisation);
  /// Counters and gauges for the metrics page.
  AdmissionCounters Counters();
  uint32_t InFlight();
  uint32_t Limit();
  size_t Queued();

 private:
  TargetState StateLocked(TimePoint aNow);

  /// Guards everything below.
  OrderedMutex mutex{LockRank::Admission};
  /// Service of the last announcement.
  std::string service;
  /// Lease of the announcements.
  TargetLease lease;
  /// Base URL of the target.
  std::string url;
  /// Whether the node is stopping.
  bool stopping = false;
  /// Queue and concurrency limit.
  Controller admission;
};

}  // namespace fescueline
