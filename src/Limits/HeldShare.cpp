#include "Limits/HeldShare.h"

#include <algorithm>
#include <cmath>

namespace fescueline {

namespace {
constexpr Duration kDemandInterval = std::chrono::milliseconds(50);
// Share kept relative to the demand. Above 1, so that random variation does not
// exhaust it.
constexpr double kHeadroom = 1.25;
// A share counts as idle, and is returned at once, when less than half of it is
// in demand.
constexpr double kIdleFraction = 0.5;
// Averaging windows of the demand estimate in a report interval.
constexpr double kDemandWindowsPerReport = 4;
// Below this demand, in tokens per second, a share is not worth keeping.
constexpr double kNegligibleDemand = 0.01;
// Capacity kept when more is requested, as the time in which the held rate
// fills it.
constexpr double kMinimumCapacitySeconds = 0.25;

MicroTokens ToMicroTokens(double aTokens) {
  return static_cast<MicroTokens>(
      std::llround(aTokens * static_cast<double>(kMicroTokensPerToken)));
}
}  // namespace

HeldShare::HeldShare(std::string aOrganisation, const HolderIdentity& aSelf,
                     const ShareSettings& aSettings)
    : organisation(std::move(aOrganisation)),
      self(aSelf),
      settings(aSettings),
      reportInterval(aSettings.reportInterval),
      minRequestInterval(aSettings.minRequestInterval) {}

void HeldShare::Install(const Allocation& aAllocation,
                        TimePoint aOldUsableUntil, TimePoint aNow) {
  if (aAllocation.version <= this->Newest().version) {
    return;
  }
  if (this->Newest().version == 0) {
    this->demandAt = aNow;
    this->demandSince = aNow;
  }
  this->next = aAllocation;
  this->switchAt = this->allocation.version == 0
                       ? aNow
                       : std::min(this->switchAt, aOldUsableUntil);
  this->unansweredSince.reset();
  this->UpdateUsableUntil();
  this->DropExpired(aNow);
}

void HeldShare::UpdateUsableUntil() {
  this->usableUntil = std::min(this->leaseEnd, this->switchAt);
}

void HeldShare::DropExpired(TimePoint aNow) {
  if (this->next && aNow >= this->switchAt) {
    this->allocation = *this->next;
    this->next.reset();
    this->switchAt = TimePoint::max();
    this->leaseEnd = TimePoint{};
    this->requestOpen = false;
    this->backoff = Duration::zero();
    this->nextRequestAt = aNow;
    this->nextReportAt = aNow;
    this->bucket.Clear(aNow);
    this->UpdateUsableUntil();
  }
  if (aNow >= this->usableUntil && !this->bucket.Size().IsZero()) {
    this->bucket.Clear(aNow);
  }
}

bool HeldShare::Admit(bool aFirst, TimePoint aNow) {
  this->arrivals += aFirst ? 1 : 0;
  if (aNow >= this->usableUntil) {
    this->DropExpired(aNow);
  }
  if (this->bucket.TrySpend(aNow)) {
    return true;
  }
  ++this->unserved;
  return false;
}

void HeldShare::UpdateDemand(TimePoint aNow) {
  const Duration elapsed = aNow - this->demandAt;
  if (elapsed < kDemandInterval) {
    return;
  }
  const double seconds = ToSeconds(elapsed);
  // A share is kept for a report interval, so the estimate must not follow
  // random variation much faster. A recently started estimate is a plain
  // average.
  const double window =
      std::max(ToSeconds(this->settings.demandWindow),
               ToSeconds(this->reportInterval) / kDemandWindowsPerReport);
  const double age = ToSeconds(aNow - this->demandSince);
  const double weight =
      std::max(1 - std::exp(-seconds / window), std::min(1.0, seconds / age));
  this->demand +=
      (static_cast<double>(this->arrivals) / seconds - this->demand) * weight;
  this->arrivals = 0;
  this->demandAt = aNow;
}

ShareStatement HeldShare::MakeStatement(const Portion& aKeep, TimePoint aNow) {
  const Portion held = this->bucket.Size();
  const Portion surplus{
      .rate = std::max<MicroTokens>(0, held.rate - aKeep.rate),
      .capacity = std::max<MicroTokens>(0, held.capacity - aKeep.capacity)};
  const MicroTokens tokens = this->bucket.Remove(surplus, 0, aNow);
  ++this->statement;
  this->statementSentAt = aNow;
  this->nextPart = 0;
  return ShareStatement{.organisation = this->organisation,
                        .allocation = this->allocation.version,
                        .holder = this->self.node,
                        .holderIncarnation = this->self.incarnation,
                        .issuerIncarnation = this->allocation.issuerIncarnation,
                        .number = this->statement,
                        .held = this->bucket.Size(),
                        .returnedTokens = tokens,
                        .demand = ToMicroTokens(this->demand)};
}

void HeldShare::SendRequest(MicroTokens aWanted, const Portion& aKeep,
                            TimePoint aNow, std::vector<ShareMessage>& aOut) {
  this->wantedTokens = aWanted;
  this->requestOpen = true;
  this->unansweredSince = this->unansweredSince.value_or(aNow);
  this->nextReportAt = aNow + this->reportInterval;
  aOut.push_back(
      {.to = this->allocation.issuer,
       .body = ShareRequest{.statement = this->MakeStatement(aKeep, aNow),
                            .wanted = aWanted}});
}

void HeldShare::SendReturn(const Portion& aKeep, TimePoint aNow,
                           std::vector<ShareMessage>& aOut) {
  // The new statement invalidates the answer to the open request.
  this->requestOpen = false;
  aOut.push_back(
      {.to = this->allocation.issuer,
       .body = ShareReturn{.statement = this->MakeStatement(aKeep, aNow)}});
}

void HeldShare::RequestMore(TimePoint aNow, std::vector<ShareMessage>& aOut) {
  this->DropExpired(aNow);
  if (this->unserved == 0 || this->allocation.version == 0 ||
      aNow < this->nextRequestAt) {
    return;
  }
  if (this->requestOpen) {
    if (aNow - this->statementSentAt < this->settings.responseTimeout) {
      return;
    }
    // A message was lost or the issuer has stopped: back off exponentially.
    this->backoff =
        std::min(this->reportInterval,
                 std::max(this->settings.responseTimeout, this->backoff * 2));
  }
  this->UpdateDemand(aNow);
  // Empty capacity is returned with the request, as tokens are transferred only
  // together with the capacity that holds them.
  const Portion held = this->bucket.Size();
  const MicroTokens capacity =
      std::max({this->bucket.Tokens(aNow), kMicroTokensPerToken,
                static_cast<MicroTokens>(static_cast<double>(held.rate) *
                                         kMinimumCapacitySeconds)});
  const auto wanted =
      static_cast<MicroTokens>(this->unserved) * kMicroTokensPerToken;
  this->unserved = 0;
  this->nextRequestAt =
      aNow + std::max(this->minRequestInterval, this->backoff);
  this->SendRequest(wanted, {.rate = held.rate, .capacity = capacity}, aNow,
                    aOut);
}

Portion HeldShare::PortionToKeep() const {
  const Portion held = this->bucket.Size();
  if (this->demand < kNegligibleDemand) {
    return Portion{};
  }
  const MicroTokens rate =
      std::min(held.rate, ToMicroTokens(this->demand * kHeadroom));
  const double kept = held.rate == 0 ? 1.0
                                     : static_cast<double>(rate) /
                                           static_cast<double>(held.rate);
  return {.rate = rate,
          .capacity = std::max(kMicroTokensPerToken,
                               static_cast<MicroTokens>(
                                   static_cast<double>(held.capacity) * kept))};
}

void HeldShare::Tick(TimePoint aNow, std::vector<ShareMessage>& aOut) {
  this->DropExpired(aNow);
  if (this->allocation.version == 0) {
    return;
  }
  this->UpdateDemand(aNow);
  this->RequestMore(aNow, aOut);
  const Portion held = this->bucket.Size();
  const bool waiting = this->requestOpen && aNow - this->statementSentAt <
                                                this->settings.responseTimeout;
  const bool full = this->bucket.Tokens(aNow) == held.capacity;
  const bool idle =
      !held.IsZero() && full &&
      this->demand * kHeadroom * static_cast<double>(kMicroTokensPerToken) <
          static_cast<double>(held.rate) * kIdleFraction;
  if (idle && !waiting) {
    this->SendReturn(this->PortionToKeep(), aNow, aOut);
  } else if (aNow >= this->nextReportAt &&
             (!held.IsZero() || this->demand >= kNegligibleDemand)) {
    this->SendRequest(0, held, aNow, aOut);
  }
  if (held.IsZero() && this->demand < kNegligibleDemand &&
      this->unserved == 0) {
    // No answer of the issuer is needed any more.
    this->unansweredSince.reset();
    this->requestOpen = false;
  }
}

bool HeldShare::Receive(const ShareTransfer& aTransfer, TimePoint aNow,
                        std::vector<ShareMessage>& aOut) {
  this->DropExpired(aNow);
  const bool isAnswer = aTransfer.id.part == 0;
  const TimePoint validUntil =
      isAnswer ? this->statementSentAt + aTransfer.validFor : this->leaseEnd;
  if (aTransfer.allocation != this->allocation.version ||
      aTransfer.issuerIncarnation != this->allocation.issuerIncarnation ||
      aTransfer.holderIncarnation != this->self.incarnation ||
      aTransfer.id.statement != this->statement ||
      aTransfer.id.part < this->nextPart || aNow >= validUntil) {
    return false;
  }
  this->nextPart = aTransfer.id.part + 1;
  this->bucket.Add(aTransfer.portion, aTransfer.tokens, aNow);
  this->unansweredSince.reset();
  if (!isAnswer) {
    return true;
  }
  this->requestOpen = false;
  this->leaseEnd = std::max(this->leaseEnd, validUntil);
  this->UpdateUsableUntil();
  this->reportInterval = aTransfer.reportInterval;
  this->minRequestInterval = aTransfer.minRequestInterval;
  if (aTransfer.tokens > 0) {
    this->backoff = Duration::zero();
  } else if (this->wantedTokens > 0) {
    this->backoff =
        std::min(this->reportInterval,
                 std::max(this->minRequestInterval, this->backoff * 2));
    this->nextRequestAt = std::max(this->nextRequestAt, aNow + this->backoff);
  }
  const Portion held = this->bucket.Size();
  // A tolerance of a tenth prevents shares from moving back and forth.
  if (held.rate > aTransfer.keep.rate + aTransfer.keep.rate / 10) {
    this->SendReturn(
        {.rate = aTransfer.keep.rate,
         .capacity = std::max(aTransfer.keep.capacity, kMicroTokensPerToken)},
        aNow, aOut);
  }
  return true;
}

void HeldShare::ReturnAll(TimePoint aNow, std::vector<ShareMessage>& aOut) {
  this->DropExpired(aNow);
  if (!this->bucket.Size().IsZero()) {
    this->SendReturn(Portion{}, aNow, aOut);
  }
}

Portion HeldShare::Held(TimePoint aNow) {
  this->DropExpired(aNow);
  return this->bucket.Size();
}

MicroTokens HeldShare::Tokens(TimePoint aNow) {
  this->DropExpired(aNow);
  return this->bucket.Tokens(aNow);
}

std::optional<Duration> HeldShare::IssuerUnresponsiveFor(TimePoint aNow) const {
  if (!this->unansweredSince || this->next) {
    return std::nullopt;
  }
  return aNow - *this->unansweredSince;
}

}  // namespace fescueline
