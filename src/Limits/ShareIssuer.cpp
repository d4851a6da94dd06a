#include "Limits/ShareIssuer.h"

#include <algorithm>
#include <utility>

#include "Freshness/ClockDrift.h"

namespace fescueline {

namespace {
// Share that a holder may keep, relative to its reported demand.
constexpr double kHeadroom = 1.25;
// Share that a holder may keep, relative to its reported demand, when there are
// too many holders for each to send a request at any time. With a higher value
// the first holders to report would get the whole rate.
constexpr double kHeadroomManyHolders = 2;
// Part of the burst that is distributed to the holders in proportion to their
// rate; the rest stays with the issuer for holders whose share is exhausted.
constexpr double kDistributedBurst = 0.5;
// Part of the burst that is distributed to the holders when there are many.
constexpr double kDistributedBurstManyHolders = 0.9;
// Tokens given in addition to those wanted, as time of the holder's demand.
constexpr double kAheadSeconds = 0.1;
// Most holders checked and most transfers sent when a returned part is
// redistributed.
constexpr size_t kMaxRedistributeChecks = 64;
constexpr size_t kMaxRedistributeTransfers = 8;
// Smallest part of the rate that is sent without a request: 1/200.
constexpr MicroTokens kMinRedistributeDivisor = 200;
// Holders checked for lapsed shares in one Tick.
constexpr size_t kMaxLapseChecks = 1024;
// A new allocation is due when more than a tenth of the rate is lost.
constexpr MicroTokens kLostDivisor = 10;
// Lost shares that lapse within this time are not worth a new allocation,
// which costs the organisation one to two seconds of its rate.
constexpr Duration kReallocationTime = std::chrono::seconds(15);
// Shortest lease of a share, in report intervals.
constexpr int kLeaseIntervals = 3;
// Time over which exchanges are counted.
constexpr Duration kCountInterval = std::chrono::milliseconds(250);

MicroTokens Scale(MicroTokens aValue, double aFactor) {
  return static_cast<MicroTokens>(static_cast<double>(aValue) * aFactor);
}
}  // namespace

ShareIssuer::ShareIssuer(std::string aOrganisation,
                         const Allocation& aAllocation,
                         const ShareSettings& aSettings, TimePoint aNow)
    : organisation(std::move(aOrganisation)),
      allocation(aAllocation),
      settings(aSettings),
      exchangesSince(aNow),
      minRequestInterval(aSettings.minRequestInterval) {
  this->reserve.Add(aAllocation.total, 0, aNow);
}

Duration ShareIssuer::ReportInterval() const {
  const double seconds = static_cast<double>(this->holders.size()) /
                         (this->settings.exchangesPerSecond / 2);
  return std::max(this->settings.reportInterval, FromSeconds(seconds));
}

Duration ShareIssuer::ShareLease() const {
  return std::max(this->settings.shareLease,
                  this->ReportInterval() * kLeaseIntervals);
}

Portion ShareIssuer::Issued() const {
  Portion issued;
  for (const auto& [incarnation, holder] : this->holders) {
    issued += holder.held;
  }
  return issued;
}

ShareIssuer::Holder* ShareIssuer::AcceptStatement(
    const ShareStatement& aStatement, TimePoint aNow) {
  if (aStatement.allocation != this->allocation.version ||
      aStatement.issuerIncarnation != this->allocation.issuerIncarnation) {
    return nullptr;
  }
  const auto known = this->positions.find(aStatement.holderIncarnation);
  if (known == this->positions.end()) {
    // A share without a record has lapsed at the issuer; the holder finds that
    // by its own lease.
    if (!aStatement.held.IsZero() || aStatement.number == 0) {
      return nullptr;
    }
    this->positions.emplace(aStatement.holderIncarnation, this->holders.size());
    Holder holder;
    holder.node = aStatement.holder;
    holder.leaseEnd = aNow + this->ShareLease();
    this->holders.emplace_back(aStatement.holderIncarnation, std::move(holder));
  }
  Holder& holder =
      this->holders[this->positions.at(aStatement.holderIncarnation)].second;
  if (aStatement.number <= holder.statement ||
      !aStatement.held.FitsIn(holder.held)) {
    return nullptr;
  }
  holder.statement = aStatement.number;
  holder.parts = 0;
  holder.ended = false;
  const Portion recovered = holder.held - aStatement.held;
  holder.held = aStatement.held;
  this->reserve.Add(
      recovered, std::min(recovered.capacity, aStatement.returnedTokens), aNow);
  const MicroTokens demand = std::max<MicroTokens>(0, aStatement.demand);
  this->totalDemand += demand - holder.demand;
  holder.demand = demand;
  return &holder;
}

Portion ShareIssuer::FairPortion(const Holder& aHolder) const {
  const Portion& total = this->allocation.total;
  if (total.rate == 0) {
    return Portion{};
  }
  const double fairFactor = this->totalDemand == 0
                                ? kHeadroom
                                : static_cast<double>(total.rate) /
                                      static_cast<double>(this->totalDemand);
  // The issuer's reserve is useful only to holders that can send a request at
  // any time.
  const bool manyHolders =
      this->ReportInterval() > this->settings.reportInterval;
  const MicroTokens rate = std::min(
      total.rate, Scale(aHolder.demand,
                        std::min(manyHolders ? kHeadroomManyHolders : kHeadroom,
                                 fairFactor)));
  const double part =
      static_cast<double>(rate) / static_cast<double>(total.rate);
  return {.rate = rate,
          .capacity = std::max(
              kMicroTokensPerToken,
              Scale(total.capacity, (manyHolders ? kDistributedBurstManyHolders
                                                 : kDistributedBurst) *
                                        part))};
}

ShareMessage ShareIssuer::MakeTransfer(Id128 aIncarnation, Holder& aHolder,
                                       const Portion& aWanted,
                                       MicroTokens aTokens, TimePoint aNow) {
  const Portion available = this->reserve.Size();
  const MicroTokens tokens = std::min(aTokens, this->reserve.Tokens(aNow));
  // Tokens are sent only together with the capacity that holds them. Capacity
  // that the holder already has may fill while the transfer is under way.
  const Portion portion{
      .rate = std::clamp<MicroTokens>(aWanted.rate, 0, available.rate),
      .capacity = std::clamp<MicroTokens>(std::max(aWanted.capacity, tokens), 0,
                                          available.capacity)};
  const MicroTokens moved =
      this->reserve.Remove(portion, std::min(tokens, portion.capacity), aNow);
  aHolder.held += portion;
  return {.to = aHolder.node,
          .body = ShareTransfer{
              .organisation = this->organisation,
              .allocation = this->allocation.version,
              .issuerIncarnation = this->allocation.issuerIncarnation,
              .holderIncarnation = aIncarnation,
              .id = {.statement = aHolder.statement, .part = aHolder.parts++},
              .portion = portion,
              .tokens = moved,
              .keep = this->FairPortion(aHolder),
              .validFor = this->ShareLease(),
              .reportInterval = this->ReportInterval(),
              .minRequestInterval = this->minRequestInterval}};
}

void ShareIssuer::CountExchange(TimePoint aNow) {
  const Duration elapsed = aNow - this->exchangesSince;
  if (elapsed >= kCountInterval) {
    const double perSecond = this->exchanges / ToSeconds(elapsed);
    if (perSecond > this->settings.exchangesPerSecond) {
      this->minRequestInterval =
          std::min(this->minRequestInterval * 2, this->ReportInterval());
    } else if (perSecond < this->settings.exchangesPerSecond / 2) {
      this->minRequestInterval = std::max(this->minRequestInterval / 2,
                                          this->settings.minRequestInterval);
    }
    this->exchanges = 0;
    this->exchangesSince = aNow;
  }
  this->exchanges += 1;
}

std::vector<ShareMessage> ShareIssuer::Receive(const ShareRequest& aRequest,
                                               TimePoint aNow) {
  this->CountExchange(aNow);
  Holder* holder = this->AcceptStatement(aRequest.statement, aNow);
  if (holder == nullptr) {
    return {};
  }
  const Portion fairPortion = this->FairPortion(*holder);
  Portion wanted = fairPortion - holder->held;
  MicroTokens tokens = 0;
  if (aRequest.wanted > 0) {
    tokens = aRequest.wanted + Scale(holder->demand, kAheadSeconds);
  }
  // Whole tokens only, as fractions at many holders admit no request.
  tokens -= tokens % kMicroTokensPerToken;
  holder->leaseEnd =
      std::max(holder->leaseEnd, aNow + WithClockDrift(this->ShareLease()));
  std::vector<ShareMessage> messages;
  messages.push_back(this->MakeTransfer(aRequest.statement.holderIncarnation,
                                        *holder, wanted, tokens, aNow));
  this->Redistribute(aNow, messages);
  return messages;
}

std::vector<ShareMessage> ShareIssuer::Receive(const ShareReturn& aReturn,
                                               TimePoint aNow) {
  std::vector<ShareMessage> messages;
  if (this->AcceptStatement(aReturn.statement, aNow) != nullptr) {
    this->Redistribute(aNow, messages);
  }
  return messages;
}

void ShareIssuer::Redistribute(TimePoint aNow,
                               std::vector<ShareMessage>& aOut) {
  const MicroTokens smallest =
      this->allocation.total.rate / kMinRedistributeDivisor;
  const size_t checks = std::min(this->holders.size(), kMaxRedistributeChecks);
  size_t transfers = 0;
  for (size_t i = 0; i < checks && transfers < kMaxRedistributeTransfers; ++i) {
    if (this->reserve.Size().rate <= smallest) {
      return;
    }
    this->redistributeCursor =
        (this->redistributeCursor + 1) % this->holders.size();
    auto& [incarnation, holder] = this->holders[this->redistributeCursor];
    // Part 0 is the answer to a request; a return gets no answer.
    holder.parts = std::max<uint32_t>(holder.parts, 1);
    const Portion wanted = this->FairPortion(holder) - holder.held;
    if (holder.ended || aNow >= holder.leaseEnd || wanted.rate <= smallest) {
      continue;
    }
    aOut.push_back(this->MakeTransfer(incarnation, holder, wanted, 0, aNow));
    ++transfers;
  }
}

void ShareIssuer::RemoveHolder(size_t aIndex) {
  this->positions.erase(this->holders[aIndex].first);
  if (aIndex + 1 != this->holders.size()) {
    this->holders[aIndex] = std::move(this->holders.back());
    this->positions[this->holders[aIndex].first] = aIndex;
  }
  this->holders.pop_back();
}

std::vector<ShareMessage> ShareIssuer::Tick(TimePoint aNow) {
  const size_t checks = std::min(this->holders.size(), kMaxLapseChecks);
  for (size_t i = 0; i < checks && !this->holders.empty(); ++i) {
    this->lapseCursor = (this->lapseCursor + 1) % this->holders.size();
    Holder& holder = this->holders[this->lapseCursor].second;
    if (aNow >= holder.leaseEnd) {
      this->reserve.Add(holder.held, 0, aNow);
      this->totalDemand -= holder.demand;
      this->RemoveHolder(this->lapseCursor);
    }
  }
  std::vector<ShareMessage> messages;
  this->Redistribute(aNow, messages);
  return messages;
}

void ShareIssuer::OnHolderEnded(Id128 aIncarnation) {
  const auto known = this->positions.find(aIncarnation);
  if (known != this->positions.end()) {
    this->holders[known->second].second.ended = true;
  }
}

AllocationCause ShareIssuer::AllocationDue(const Portion& aConfigured,
                                           TimePoint aNow) const {
  if (aConfigured != this->allocation.total) {
    return AllocationCause::LimitChanged;
  }
  MicroTokens lost = 0;
  for (const auto& [incarnation, holder] : this->holders) {
    if (holder.ended && holder.leaseEnd - aNow > kReallocationTime) {
      lost += holder.held.rate;
    }
  }
  return lost > this->allocation.total.rate / kLostDivisor
             ? AllocationCause::SharesLost
             : AllocationCause::None;
}

}  // namespace fescueline
