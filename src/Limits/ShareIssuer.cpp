#include "Limits/ShareIssuer.h"

#include <algorithm>
#include <utility>

#include "Freshness/ClockDrift.h"

namespace fescueline {

namespace {
// Share above the reported demand that a holder may keep.
constexpr double kHeadroom = 1.25;
// The same once holders are too many to ask the issuer at any time. Not more,
// as the first to report would take the whole rate.
constexpr double kHeadroomOfMany = 2;
// Part of the burst that is spread over the holders by their rate; the rest
// stays with the issuer for whoever runs dry.
constexpr double kSpreadBurst = 0.5;
// The same for many holders.
constexpr double kSpreadBurstOfMany = 0.9;
// Tokens given beyond those wanted at once, as time of the holder's demand.
constexpr double kAheadSeconds = 0.1;
// Holders looked at and served when a returned part is passed on.
constexpr size_t kPassOnLooks = 64;
constexpr size_t kPassOnTransfers = 8;
// Smallest part of the rate that is passed on unasked: 1/200.
constexpr MicroTokens kPassOnFraction = 200;
// Holders checked for lapsed shares in one Tick.
constexpr size_t kLapseLooks = 1024;
// A new allocation is due when more than a tenth of the rate is lost.
constexpr MicroTokens kLostFraction = 10;
// Lost shares that lapse within this time are not worth a new allocation,
// which costs the organisation one to two seconds of its rate.
constexpr Duration kReallocationTime = std::chrono::seconds(15);
constexpr int kLeaseIntervals = 3;
// Time over which exchanges are counted.
constexpr Duration kCountTime = std::chrono::milliseconds(250);

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
      askSpacing(aSettings.askSpacing) {
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

ShareIssuer::Holder* ShareIssuer::Accept(const ShareStatement& aStatement,
                                         TimePoint aNow) {
  if (aStatement.allocation != this->allocation.version ||
      aStatement.issuerIncarnation != this->allocation.issuerIncarnation) {
    return nullptr;
  }
  const auto known = this->positions.find(aStatement.holderIncarnation);
  if (known == this->positions.end()) {
    // A share without a record has lapsed; the holder will find that too.
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
  holder.gone = false;
  const Portion recovered = holder.held - aStatement.held;
  holder.held = aStatement.held;
  this->reserve.Add(
      recovered, std::min(recovered.capacity, aStatement.returnedTokens), aNow);
  const MicroTokens demand = std::max<MicroTokens>(0, aStatement.demand);
  this->totalDemand += demand - holder.demand;
  holder.demand = demand;
  return &holder;
}

Portion ShareIssuer::Target(const Holder& aHolder) const {
  const Portion& total = this->allocation.total;
  if (total.rate == 0) {
    return Portion{};
  }
  const double fairFactor = this->totalDemand == 0
                                ? kHeadroom
                                : static_cast<double>(total.rate) /
                                      static_cast<double>(this->totalDemand);
  // What the issuer keeps is of use only to holders that can ask for it.
  const bool many = this->ReportInterval() > this->settings.reportInterval;
  const MicroTokens rate =
      std::min(total.rate,
               Scale(aHolder.demand,
                     std::min(many ? kHeadroomOfMany : kHeadroom, fairFactor)));
  const double part =
      static_cast<double>(rate) / static_cast<double>(total.rate);
  return {.rate = rate,
          .capacity = std::max(
              kMicroTokensPerToken,
              Scale(total.capacity,
                    (many ? kSpreadBurstOfMany : kSpreadBurst) * part))};
}

ShareMessage ShareIssuer::Transfer(Id128 aIncarnation, Holder& aHolder,
                                   const Portion& aWanted, MicroTokens aTokens,
                                   TimePoint aNow) {
  const Portion available = this->reserve.Size();
  const MicroTokens tokens = std::min(aTokens, this->reserve.Tokens(aNow));
  // Tokens travel only in capacity of the same transfer. Capacity that is
  // already with the holder can fill by itself while the transfer is under way.
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
              .keep = this->Target(aHolder),
              .validFor = this->ShareLease(),
              .reportInterval = this->ReportInterval(),
              .askSpacing = this->askSpacing}};
}

void ShareIssuer::CountExchange(TimePoint aNow) {
  const Duration elapsed = aNow - this->exchangesSince;
  if (elapsed >= kCountTime) {
    const double perSecond = this->exchanges / ToSeconds(elapsed);
    if (perSecond > this->settings.exchangesPerSecond) {
      this->askSpacing = std::min(this->askSpacing * 2, this->ReportInterval());
    } else if (perSecond < this->settings.exchangesPerSecond / 2) {
      this->askSpacing =
          std::max(this->askSpacing / 2, this->settings.askSpacing);
    }
    this->exchanges = 0;
    this->exchangesSince = aNow;
  }
  this->exchanges += 1;
}

std::vector<ShareMessage> ShareIssuer::Receive(const ShareRequest& aRequest,
                                               TimePoint aNow) {
  this->CountExchange(aNow);
  Holder* holder = this->Accept(aRequest.statement, aNow);
  if (holder == nullptr) {
    return {};
  }
  const Portion target = this->Target(*holder);
  Portion wanted = target - holder->held;
  MicroTokens tokens = 0;
  if (aRequest.wanted > 0) {
    tokens = aRequest.wanted + Scale(holder->demand, kAheadSeconds);
  }
  // Whole tokens only: fractions in many places admit nothing.
  tokens -= tokens % kMicroTokensPerToken;
  holder->leaseEnd =
      std::max(holder->leaseEnd, aNow + WithClockDrift(this->ShareLease()));
  std::vector<ShareMessage> messages;
  messages.push_back(this->Transfer(aRequest.statement.holderIncarnation,
                                    *holder, wanted, tokens, aNow));
  this->PassOn(aNow, messages);
  return messages;
}

std::vector<ShareMessage> ShareIssuer::Receive(const ShareReturn& aReturn,
                                               TimePoint aNow) {
  std::vector<ShareMessage> messages;
  if (this->Accept(aReturn.statement, aNow) != nullptr) {
    this->PassOn(aNow, messages);
  }
  return messages;
}

void ShareIssuer::PassOn(TimePoint aNow, std::vector<ShareMessage>& aOut) {
  const MicroTokens smallest = this->allocation.total.rate / kPassOnFraction;
  const size_t looks = std::min(this->holders.size(), kPassOnLooks);
  size_t transfers = 0;
  for (size_t i = 0; i < looks && transfers < kPassOnTransfers; ++i) {
    if (this->reserve.Size().rate <= smallest) {
      return;
    }
    this->passOnCursor = (this->passOnCursor + 1) % this->holders.size();
    auto& [incarnation, holder] = this->holders[this->passOnCursor];
    // Part 0 is the answer to a request; a return has none.
    holder.parts = std::max<uint32_t>(holder.parts, 1);
    const Portion wanted = this->Target(holder) - holder.held;
    if (holder.gone || aNow >= holder.leaseEnd || wanted.rate <= smallest) {
      continue;
    }
    aOut.push_back(this->Transfer(incarnation, holder, wanted, 0, aNow));
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
  const size_t looks = std::min(this->holders.size(), kLapseLooks);
  for (size_t i = 0; i < looks && !this->holders.empty(); ++i) {
    this->lapseCursor = (this->lapseCursor + 1) % this->holders.size();
    Holder& holder = this->holders[this->lapseCursor].second;
    if (aNow >= holder.leaseEnd) {
      this->reserve.Add(holder.held, 0, aNow);
      this->totalDemand -= holder.demand;
      this->RemoveHolder(this->lapseCursor);
    }
  }
  std::vector<ShareMessage> messages;
  this->PassOn(aNow, messages);
  return messages;
}

void ShareIssuer::HolderGone(Id128 aIncarnation) {
  const auto known = this->positions.find(aIncarnation);
  if (known != this->positions.end()) {
    this->holders[known->second].second.gone = true;
  }
}

AllocationCause ShareIssuer::AllocationDue(const Portion& aConfigured,
                                           TimePoint aNow) const {
  if (aConfigured != this->allocation.total) {
    return AllocationCause::LimitChanged;
  }
  MicroTokens lost = 0;
  for (const auto& [incarnation, holder] : this->holders) {
    if (holder.gone && holder.leaseEnd - aNow > kReallocationTime) {
      lost += holder.held.rate;
    }
  }
  return lost > this->allocation.total.rate / kLostFraction
             ? AllocationCause::SharesLost
             : AllocationCause::None;
}

}  // namespace fescueline
