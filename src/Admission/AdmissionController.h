#pragma once

#include <utility>
#include <vector>

#include "Admission/AdmissionCore.h"

namespace fescueline {

/// Queue and concurrency limit of the target beside the node. `Ticket` holds
/// the caller's state that is needed to continue a request (default
/// constructible, movable). Call Dispatch() after each Offer(), Finished() and
/// ChildStarted(), and at least every 10 ms while requests are queued. Not
/// thread-safe; deterministic for given times and seed.
template <typename Ticket>
class AdmissionController {
 public:
  /// A request to forward to the target now.
  struct Started {
    AdmissionHandle handle;
    Ticket ticket;
  };
  /// A queued request that will not run.
  struct Dropped {
    AdmissionRefusal refusal;
    Ticket ticket;
  };
  /// Result of Dispatch(); reuse it to avoid allocations.
  struct Batch {
    std::vector<Started> started;
    std::vector<Dropped> dropped;
  };

  AdmissionController(const AdmissionSettings& aSettings, uint64_t aSeed)
      : core(aSettings, aSeed) {}

  /// Queues or refuses a request. The ticket is moved from only when the
  /// request is queued.
  OfferResult Offer(const AdmissionRequest& aRequest, Ticket&& aTicket,
                    TimePoint aNow) {
    const OfferResult result = this->core.Offer(aRequest, aNow);
    if (result.enqueued) {
      if (this->tickets.size() <= result.handle.slot) {
        this->tickets.resize(result.handle.slot + 1);
      }
      this->tickets[result.handle.slot] = std::move(aTicket);
    }
    return result;
  }

  /// Replaces the contents of the batch with the requests to start and the
  /// requests that were dropped.
  void Dispatch(TimePoint aNow, Batch& aBatch) {
    aBatch.started.clear();
    aBatch.dropped.clear();
    this->started.clear();
    this->dropped.clear();
    this->core.Dispatch(aNow, this->started, this->dropped);
    for (const AdmissionHandle& handle : this->started) {
      aBatch.started.push_back({handle, this->TakeTicket(handle)});
    }
    for (const DroppedSlot& drop : this->dropped) {
      aBatch.dropped.push_back({drop.refusal, this->TakeTicket(drop.handle)});
    }
  }

  /// Ends a running request.
  void Finished(AdmissionHandle aHandle, const AdmissionCompletion& aCompletion,
                TimePoint aNow) {
    this->core.Finished(aHandle, aCompletion, aNow);
  }

  /// Removes a queued request whose caller cancelled it and returns its
  /// ticket; nullopt if the request is no longer queued.
  std::optional<Ticket> Cancel(AdmissionHandle aHandle) {
    if (!this->core.Cancel(aHandle)) {
      return std::nullopt;
    }
    return this->TakeTicket(aHandle);
  }

  /// Access to limits, weights, thresholds, counters and child calls.
  AdmissionCore& Core() { return this->core; }
  const AdmissionCore& Core() const { return this->core; }

 private:
  Ticket TakeTicket(AdmissionHandle aHandle) {
    return std::exchange(this->tickets[aHandle.slot], Ticket());
  }

  AdmissionCore core;
  /// Tickets of queued requests, by slot.
  std::vector<Ticket> tickets;
  std::vector<AdmissionHandle> started;
  std::vector<DroppedSlot> dropped;
};

}  // namespace fescueline
