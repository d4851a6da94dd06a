#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Admission/AdmissionRequest.h"
#include "Admission/ConcurrencyLimit.h"
#include "Admission/FairQueue.h"
#include "Admission/OrganisationShares.h"
#include "Admission/ThresholdControl.h"
#include "Core/RandomSource.h"
#include "Limits/TokenBucket.h"

namespace fescueline {

/// Settings of admission control for one target.
struct AdmissionSettings {
  /// Maximum number of queued requests.
  uint32_t maxQueued = 256;
  /// Queue capacity that remains however slow the target is.
  uint32_t minQueued = 8;
  /// Queue capacity for new requests, as the expected time to drain the queue.
  Duration queueTime = std::chrono::milliseconds(50);
  /// Queue capacity for child calls of running requests, as the expected time
  /// to drain the queue. Refusing a child call wastes the work already done for
  /// its request, while a new request can be retried later.
  Duration callQueueTime = std::chrono::milliseconds(50);
  /// Maximum time in the queue. Applies to the least important queued class.
  Duration maxWait = std::chrono::milliseconds(500);
  /// Bounds of the retry-after time of refusals, before jitter of plus or minus
  /// 50%.
  Duration minRetryAfter = std::chrono::milliseconds(200);
  Duration maxRetryAfter = std::chrono::seconds(2);
  ConcurrencyLimitSettings limit;
  ThresholdControlSettings threshold;
};

/// Result of AdmissionCore::Offer().
struct OfferResult {
  bool enqueued = false;
  /// Valid when enqueued.
  AdmissionHandle handle;
  /// Valid when not enqueued.
  AdmissionRefusal refusal;
};

/// A queued request that will not start.
struct DroppedSlot {
  AdmissionHandle handle;
  AdmissionRefusal refusal;
};

/// Counters of a controller since its start.
struct AdmissionCounters {
  uint64_t offered = 0;
  uint64_t started = 0;
  uint64_t finished = 0;
  /// Requests past their deadline on arrival or in the queue.
  uint64_t expired = 0;
  /// Requests refused because their expected wait exceeds the remaining time.
  uint64_t wouldExpire = 0;
  /// Requests refused because the queue was full.
  uint64_t refused = 0;
  /// Queued requests dropped from a full queue for a request that goes first.
  uint64_t evicted = 0;
  /// Requests dropped after the maximum time in the queue.
  uint64_t waitExceeded = 0;
};

/// The part of AdmissionController that does not depend on the ticket type.
/// Not thread-safe.
class AdmissionCore {
 public:
  /// Starts that may exceed the rate of SetStartRate within a second.
  static constexpr double kStartBurst = 2;

  AdmissionCore(const AdmissionSettings& aSettings, uint64_t aSeed);
  AdmissionCore(const AdmissionCore&) = delete;
  AdmissionCore& operator=(const AdmissionCore&) = delete;

  /// Queues or refuses a request.
  OfferResult Offer(const AdmissionRequest& aRequest, TimePoint aNow);
  /// Appends the requests to start now and those that are dropped.
  void Dispatch(TimePoint aNow, std::vector<AdmissionHandle>& aStarted,
                std::vector<DroppedSlot>& aDropped);
  /// Ends a running request.
  void Finished(AdmissionHandle aHandle, const AdmissionCompletion& aCompletion,
                TimePoint aNow);
  /// Removes a queued request whose caller cancelled it; false if it is no
  /// longer queued.
  bool Cancel(AdmissionHandle aHandle);
  /// Notifies that a running request starts or ends a child call.
  void ChildStarted(AdmissionHandle aHandle);
  void ChildEnded(AdmissionHandle aHandle);

  /// Sets the limits that the target declares.
  void SetDeclaredLimits(std::optional<uint32_t> aSlots,
                         std::optional<uint32_t> aConnections);
  /// Bounds the starts per second, for a target that has just started and
  /// cannot take its usual load yet; 0 ends the bound. Within any second at
  /// most kStartBurst more requests start than the rate allows.
  void SetStartRate(double aPerSecond, TimePoint aNow);
  /// Number of requests that the target can run now: the ceiling of the limit,
  /// or what the bound on starts keeps busy.
  uint32_t UsableSlots() const;
  void SetWeight(std::string_view aOrganisation, double aWeight);

  /// Threshold of one organisation.
  AdmissionThreshold ThresholdFor(std::string_view aOrganisation);
  const ThresholdControl& Control() const { return this->control; }
  const OrganisationShares& Shares() const { return this->shares; }
  const ConcurrencyLimit& Limit() const { return this->limit; }
  const AdmissionCounters& Counters() const { return this->counters; }
  size_t Queued() const { return this->queue.Size(); }
  size_t Queued(Importance aImportance) const {
    return this->queue.SizeOf(aImportance);
  }
  uint32_t InFlight() const { return this->inFlight; }

 private:
  enum class State : uint8_t { Free, Queued, Dropped, Running };
  /// A queued or running request.
  struct Entry {
    QueuedItem item;
    uint32_t generation = 0;
    State state = State::Free;
    /// Child calls in progress.
    uint32_t children = 0;
    TimePoint startedAt;
    /// Cost charged at the start, in seconds.
    double charged = 0;
  };

  uint32_t Allocate();
  void Release(uint32_t aSlot);
  Entry* Find(AdmissionHandle aHandle, State aState);
  AdmissionHandle HandleOf(uint32_t aSlot) const {
    return {aSlot, this->entries[aSlot].generation};
  }
  /// Running requests that are not waiting for child calls.
  uint32_t Active() const { return this->inFlight - this->waiting; }
  bool MayStart(TimePoint aNow);
  /// Marks a dequeued request as dropped, to be reported by Dispatch().
  void Drop(const QueuedItem& aItem, Cause aCause);
  /// Expected completions per second while the target is busy.
  double DrainRate() const;
  /// Queue length from which requests of the given depth are refused.
  uint32_t QueueCapacity(uint32_t aDepth) const;
  AdmissionRefusal MakeRefusal(Cause aCause);
  /// Integrates the in-flight count up to the given time, and adjusts the
  /// thresholds at the end of each period.
  void Advance(TimePoint aNow);

  AdmissionSettings settings;
  OrganisationShares shares;
  FairQueue queue;
  ConcurrencyLimit limit;
  ThresholdControl control;
  RandomSource random;
  std::vector<Entry> entries;
  std::vector<uint32_t> freeSlots;
  std::vector<DroppedSlot> pendingDrops;
  std::vector<QueuedItem> expiredItems;
  AdmissionCounters counters;

  /// Bound on the starts per second; 0 if there is none.
  double startRate = 0;
  TokenBucket startTokens;

  uint32_t inFlight = 0;
  /// Running requests that are waiting for child calls.
  uint32_t waiting = 0;
  /// Moving average of the time a request occupies a slot, in seconds.
  double meanTime = 0;

  /// Start of the current period; the epoch until the first call.
  TimePoint periodStart{};
  /// End of the time that inFlightSeconds covers.
  TimePoint integratedUntil{};
  /// Integral of the in-flight count over the period.
  double inFlightSeconds = 0;
  /// Shortest queue length in the period.
  size_t shortestQueue = 0;
  double shedInPeriod = 0;
  double offeredInPeriod = 0;
};

}  // namespace fescueline
