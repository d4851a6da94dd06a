#include "Admission/AdmissionCore.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fescueline {

namespace {
/// Weight of one request in the moving average of slot occupancy time.
constexpr double kMeanTimeGain = 0.05;
/// Retry-after time as a multiple of the expected time to drain the queue.
constexpr int kRetryAfterFactor = 4;
/// Queue capacity while starts are bounded. Another target is faster than a
/// longer queue for a few starts per second.
constexpr uint32_t kQueuedWhileBounded = 2;
}  // namespace

AdmissionCore::AdmissionCore(const AdmissionSettings& aSettings, uint64_t aSeed)
    : settings(aSettings),
      queue(this->shares),
      limit(aSettings.limit),
      control(aSettings.threshold, this->shares),
      random(aSeed) {}

OfferResult AdmissionCore::Offer(const AdmissionRequest& aRequest,
                                 TimePoint aNow) {
  this->Advance(aNow);
  ++this->counters.offered;
  ++this->offeredInPeriod;
  const uint32_t organisation = this->shares.IndexOf(aRequest.organisation);
  this->control.Arrived(organisation, aRequest.importance,
                        RootHash(aRequest.rootId));
  const auto refuse = [&](Cause aCause, uint64_t& aCounter) {
    ++aCounter;
    return OfferResult{
        .enqueued = false, .handle = {}, .refusal = this->MakeRefusal(aCause)};
  };
  if (aRequest.deadline <= aNow) {
    return refuse(Cause::DeadlineExpired, this->counters.expired);
  }
  QueuedItem item{.slot = 0,
                  .organisation = organisation,
                  .importance = aRequest.importance,
                  .depth = aRequest.depth,
                  .rootStart = aRequest.rootStart,
                  .deadline = aRequest.deadline,
                  .queuedAt = aNow};
  if (this->queue.Size() > 0 && this->meanTime > 0) {
    const double wait = this->queue.CountAhead(item) / this->DrainRate();
    if (wait > ToSeconds(aRequest.deadline - aNow)) {
      ++this->shedInPeriod;
      return refuse(Cause::DeadlineExpired, this->counters.wouldExpire);
    }
  }
  if (this->queue.Size() >= this->QueueCapacity(item.depth)) {
    ++this->shedInPeriod;
    const std::optional<QueuedItem> victim = this->queue.PopVictimFor(item);
    if (!victim) {
      return refuse(Cause::Overloaded, this->counters.refused);
    }
    ++this->counters.evicted;
    this->Drop(*victim, Cause::Overloaded);
  }
  item.slot = this->Allocate();
  Entry& entry = this->entries[item.slot];
  entry.item = item;
  entry.state = State::Queued;
  this->queue.Push(item);
  return OfferResult{
      .enqueued = true, .handle = this->HandleOf(item.slot), .refusal = {}};
}

void AdmissionCore::Dispatch(TimePoint aNow,
                             std::vector<AdmissionHandle>& aStarted,
                             std::vector<DroppedSlot>& aDropped) {
  this->Advance(aNow);
  this->expiredItems.clear();
  this->queue.PopExpired(aNow, aNow - this->settings.maxWait,
                         this->expiredItems);
  for (const QueuedItem& item : this->expiredItems) {
    const bool expired = item.deadline <= aNow;
    ++(expired ? this->counters.expired : this->counters.waitExceeded);
    this->Drop(item, expired ? Cause::DeadlineExpired : Cause::Overloaded);
  }
  while (this->MayStart(aNow)) {
    const std::optional<QueuedItem> item = this->queue.PopBest();
    if (!item) {
      break;
    }
    if (this->startRate > 0) {
      this->startTokens.TrySpend(aNow);
    }
    Entry& entry = this->entries[item->slot];
    entry.state = State::Running;
    entry.children = 0;
    entry.startedAt = aNow;
    entry.charged = this->shares.ChargeStart(item->organisation);
    ++this->inFlight;
    ++this->counters.started;
    aStarted.push_back(this->HandleOf(item->slot));
  }
  this->shortestQueue = std::min(this->shortestQueue, this->queue.Size());
  for (const DroppedSlot& drop : this->pendingDrops) {
    aDropped.push_back(drop);
    this->Release(drop.handle.slot);
  }
  this->pendingDrops.clear();
}

void AdmissionCore::Finished(AdmissionHandle aHandle,
                             const AdmissionCompletion& aCompletion,
                             TimePoint aNow) {
  Entry* entry = this->Find(aHandle, State::Running);
  assert(entry != nullptr);
  this->Advance(aNow);
  if (entry->children > 0) {
    --this->waiting;
  }
  const Duration total = aNow - entry->startedAt;
  if (aCompletion.complete) {
    this->limit.Finished(std::max(Duration(0), total - aCompletion.childTime),
                         this->Active(), entry->startedAt, aNow);
  }
  this->shares.ChargeEnd(entry->item.organisation, entry->charged,
                         ToSeconds(total));
  this->meanTime = this->meanTime == 0
                       ? ToSeconds(total)
                       : this->meanTime + kMeanTimeGain * (ToSeconds(total) -
                                                           this->meanTime);
  --this->inFlight;
  ++this->counters.finished;
  this->Release(aHandle.slot);
}

bool AdmissionCore::Cancel(AdmissionHandle aHandle) {
  Entry* entry = this->Find(aHandle, State::Queued);
  if (entry == nullptr) {
    return false;
  }
  const bool removed = this->queue.Remove(entry->item);
  assert(removed);
  static_cast<void>(removed);
  this->Release(aHandle.slot);
  return true;
}

void AdmissionCore::ChildStarted(AdmissionHandle aHandle) {
  Entry* entry = this->Find(aHandle, State::Running);
  if (entry != nullptr && entry->children++ == 0) {
    ++this->waiting;
  }
}

void AdmissionCore::ChildEnded(AdmissionHandle aHandle) {
  Entry* entry = this->Find(aHandle, State::Running);
  if (entry != nullptr && entry->children > 0 && --entry->children == 0) {
    --this->waiting;
  }
}

void AdmissionCore::SetDeclaredLimits(std::optional<uint32_t> aSlots,
                                      std::optional<uint32_t> aConnections) {
  this->limit.SetDeclaredLimits(aSlots, aConnections);
}

void AdmissionCore::SetStartRate(double aPerSecond, TimePoint aNow) {
  if (aPerSecond == this->startRate) {
    return;
  }
  this->startRate = aPerSecond;
  this->startTokens.Clear(aNow);
  if (aPerSecond > 0) {
    const auto tokens = [](double aCount) {
      return static_cast<MicroTokens>(aCount * kMicroTokensPerToken);
    };
    this->startTokens.Add(
        {.rate = tokens(aPerSecond), .capacity = tokens(kStartBurst)},
        kMicroTokensPerToken, aNow);
  }
}

uint32_t AdmissionCore::UsableSlots() const {
  const uint32_t ceiling = this->limit.Ceiling();
  if (this->startRate == 0) {
    return ceiling;
  }
  const double busy = std::ceil(this->startRate * this->meanTime);
  return std::clamp(static_cast<uint32_t>(busy), 1U, std::max(1U, ceiling));
}

void AdmissionCore::SetWeight(std::string_view aOrganisation, double aWeight) {
  this->shares.SetWeight(this->shares.IndexOf(aOrganisation), aWeight);
}

AdmissionThreshold AdmissionCore::ThresholdFor(std::string_view aOrganisation) {
  return this->control.ThresholdOf(this->shares.IndexOf(aOrganisation));
}

uint32_t AdmissionCore::Allocate() {
  if (this->freeSlots.empty()) {
    this->entries.emplace_back();
    return static_cast<uint32_t>(this->entries.size() - 1);
  }
  const uint32_t slot = this->freeSlots.back();
  this->freeSlots.pop_back();
  return slot;
}

void AdmissionCore::Release(uint32_t aSlot) {
  Entry& entry = this->entries[aSlot];
  entry.state = State::Free;
  ++entry.generation;
  this->freeSlots.push_back(aSlot);
}

AdmissionCore::Entry* AdmissionCore::Find(AdmissionHandle aHandle,
                                          State aState) {
  if (aHandle.slot >= this->entries.size()) {
    return nullptr;
  }
  Entry& entry = this->entries[aHandle.slot];
  const bool found =
      entry.generation == aHandle.generation && entry.state == aState;
  return found ? &entry : nullptr;
}

bool AdmissionCore::MayStart(TimePoint aNow) {
  const bool hasSlot = this->inFlight < this->limit.Ceiling() &&
                       this->Active() < this->limit.Limit();
  return hasSlot && (this->startRate == 0 ||
                     this->startTokens.Tokens(aNow) >= kMicroTokensPerToken);
}

void AdmissionCore::Drop(const QueuedItem& aItem, Cause aCause) {
  this->entries[aItem.slot].state = State::Dropped;
  this->pendingDrops.push_back(
      {this->HandleOf(aItem.slot), this->MakeRefusal(aCause)});
}

double AdmissionCore::DrainRate() const {
  const double parallelism = std::max(1.0, static_cast<double>(this->inFlight));
  const double rate = this->meanTime > 0 ? parallelism / this->meanTime : 1e9;
  return this->startRate > 0 ? std::min(rate, this->startRate) : rate;
}

uint32_t AdmissionCore::QueueCapacity(uint32_t aDepth) const {
  if (this->startRate > 0) {
    return kQueuedWhileBounded;
  }
  if (this->meanTime == 0) {
    return this->settings.maxQueued;
  }
  const Duration time =
      aDepth > 0 ? this->settings.callQueueTime : this->settings.queueTime;
  const double items = this->DrainRate() * ToSeconds(time);
  return static_cast<uint32_t>(
      std::clamp(items, static_cast<double>(this->settings.minQueued),
                 static_cast<double>(this->settings.maxQueued)));
}

AdmissionRefusal AdmissionCore::MakeRefusal(Cause aCause) {
  const double drain =
      static_cast<double>(this->queue.Size()) / this->DrainRate();
  const Duration base =
      std::clamp(FromSeconds(drain) * kRetryAfterFactor,
                 this->settings.minRetryAfter, this->settings.maxRetryAfter);
  const double jitter = 0.5 + this->random.NextDouble();
  return {.cause = aCause, .retryAfter = FromSeconds(ToSeconds(base) * jitter)};
}

void AdmissionCore::Advance(TimePoint aNow) {
  if (this->periodStart == TimePoint{}) {
    this->periodStart = aNow;
    this->integratedUntil = aNow;
  }
  this->inFlightSeconds +=
      this->inFlight * ToSeconds(aNow - this->integratedUntil);
  this->integratedUntil = aNow;
  const Duration elapsed = aNow - this->periodStart;
  if (elapsed < this->settings.threshold.period) {
    return;
  }
  const double wait =
      static_cast<double>(this->shortestQueue) / this->DrainRate();
  this->control.Adjust(
      {.meanInFlight = this->inFlightSeconds / ToSeconds(elapsed),
       .standingWait = FromSeconds(wait),
       .shedShare = this->shedInPeriod / std::max(1.0, this->offeredInPeriod)},
      elapsed);
  this->periodStart = aNow;
  this->inFlightSeconds = 0;
  this->shortestQueue = this->queue.Size();
  this->shedInPeriod = 0;
  this->offeredInPeriod = 0;
}

}  // namespace fescueline
