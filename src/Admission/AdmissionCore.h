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

namespace fescueline {

/// Settings of the admission to one target.
struct AdmissionSettings {
  /// Queued requests, at most.
  uint32_t maxQueued = 256;
  /// Queued requests that are allowed however slow the target is.
  uint32_t minQueued = 8;
  /// Length of the queue as expected time to serve it.
  Duration queueTime = std::chrono::milliseconds(50);
  /// The same for calls of requests that are under way. Refusing one wastes
  /// what has been done for its request, while new work can come back later.
  Duration callQueueTime = std::chrono::milliseconds(50);
  /// Longest time in the queue.
  Duration maxWait = std::chrono::milliseconds(500);
  /// Bounds of the time after which a refused caller may try again, before
  /// jitter of plus or minus one half.
  Duration minRetryAfter = std::chrono::milliseconds(200);
  Duration maxRetryAfter = std::chrono::seconds(2);
  ConcurrencyLimitSettings limit;
  ThresholdControlSettings threshold;
};

/// Answer to an offered request.
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
  uint64_t expired = 0;
  uint64_t wouldExpire = 0;
  uint64_t refused = 0;
  uint64_t evicted = 0;
  uint64_t waitExceeded = 0;
};

/// The part of AdmissionController that does not depend on the ticket type.
/// Not thread-safe.
class AdmissionCore {
 public:
  AdmissionCore(const AdmissionSettings& aSettings, uint64_t aSeed);
  AdmissionCore(const AdmissionCore&) = delete;
  AdmissionCore& operator=(const AdmissionCore&) = delete;

  /// Queues or refuses a request.
  OfferResult Offer(const AdmissionRequest& aRequest, TimePoint aNow);
  /// Appends the requests to start now and those that are dropped.
  void Next(TimePoint aNow, std::vector<AdmissionHandle>& aStarted,
            std::vector<DroppedSlot>& aDropped);
  /// Ends a running request.
  void Finished(AdmissionHandle aHandle, const AdmissionCompletion& aCompletion,
                TimePoint aNow);
  /// Removes a queued request whose caller cancelled it; false if it is not
  /// queued any more.
  bool Cancel(AdmissionHandle aHandle);
  /// A running request begins or ends waiting for a call of its own.
  void ChildStarted(AdmissionHandle aHandle);
  void ChildEnded(AdmissionHandle aHandle);

  void SetStated(std::optional<uint32_t> aSlots,
                 std::optional<uint32_t> aConnections);
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
    /// Calls of its own in progress.
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
  /// Running requests that do not wait for calls of their own.
  uint32_t Active() const { return this->inFlight - this->waiting; }
  bool MayStart() const;
  /// Marks a dequeued request as dropped, to be reported by Next().
  void Drop(const QueuedItem& aItem, Cause aCause);
  /// Completions per second if the target stays busy.
  double DrainRate() const;
  /// Length of the queue from which an item of that depth is refused.
  uint32_t QueueCapacity(uint32_t aDepth) const;
  AdmissionRefusal MakeRefusal(Cause aCause);
  /// Accounts time and adjusts the thresholds when a period has passed.
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

  uint32_t inFlight = 0;
  /// Running requests that wait for calls of their own.
  uint32_t waiting = 0;
  /// Moving average of the time that a request occupies a slot, in seconds.
  double meanTime = 0;

  /// Start of the period; the epoch before the first call.
  TimePoint periodStart{};
  TimePoint lastChange{};
  /// Integral of the in-flight count over the period.
  double inFlightSeconds = 0;
  size_t shortestQueue = 0;
  double shedInPeriod = 0;
  double offeredInPeriod = 0;
};

}  // namespace fescueline
