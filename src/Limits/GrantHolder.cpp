#include "Limits/GrantHolder.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace fescueline {

namespace {
/// Time between two updates of the demand estimate.
constexpr Duration kDemandInterval = std::chrono::milliseconds(200);
/// Weight of a new sample in the estimate, which covers about the last second.
constexpr double kDemandGain = 0.25;
/// Requests of one organisation that may wait at once.
constexpr size_t kMaxWaiters = 512;

MicroTokens ToMicroTokens(double aTokens) {
  return static_cast<MicroTokens>(
      std::llround(aTokens * static_cast<double>(kMicroTokensPerToken)));
}
}  // namespace

void GrantHolder::SetLimit(const std::string& aOrganisation,
                           const OrganisationRate& aRate, size_t aNodes,
                           TimePoint aNow) {
  Share& share = this->shares[aOrganisation];
  const size_t nodes = std::max<size_t>(1, aNodes);
  if (share.rate == aRate && share.nodes == nodes) {
    return;
  }
  if (aRate.perSecond < share.rate.perSecond) {
    // Tokens of the higher limit, including grants under way, must not add to
    // the lower limit.
    share.granted.clear();
    share.spentUntil = TimePoint{};
    share.openRequests.clear();
    share.fixed.Clear(aNow);
  }
  const bool isNew = share.nodes == 0;
  share.rate = aRate;
  share.nodes = nodes;
  this->UpdateFixedShare(share, aNow);
  if (isNew) {
    share.demandAt = aNow;
  }
}

void GrantHolder::UpdateFixedShare(Share& aShare, TimePoint aNow) {
  const double part = this->settings.NodeShare(aShare.nodes, this->isolated);
  // Keeps the accrued tokens: the number of nodes changes with each restart,
  // and a token takes seconds to accrue.
  aShare.fixed.Resize({.rate = ToMicroTokens(aShare.rate.perSecond * part),
                       .capacity = kMicroTokensPerToken},
                      aNow);
}

void GrantHolder::SetIsolated(bool aIsolated, TimePoint aNow) {
  if (this->isolated == aIsolated) {
    return;
  }
  this->isolated = aIsolated;
  for (auto& [organisation, share] : this->shares) {
    this->UpdateFixedShare(share, aNow);
    if (aIsolated) {
      share.granted.clear();
    }
  }
}

void GrantHolder::Retain(const std::function<bool(const std::string&)>& aKeep) {
  for (auto entry = this->shares.begin(); entry != this->shares.end();) {
    if (aKeep(entry->first)) {
      ++entry;
      continue;
    }
    auto removed = std::move(entry->second.waiters);
    entry = this->shares.erase(entry);
    this->waiting -= removed.size();
    for (const Waiter& waiter : removed) {
      waiter.callback(false);
    }
  }
}

bool GrantHolder::TrySpend(Share& aShare, TimePoint aNow) {
  while (!aShare.granted.empty() && aNow >= aShare.granted.front().until) {
    aShare.granted.pop_front();
  }
  // The fixed share is spent first, as it accrues whether it is used or not.
  if (aShare.fixed.TrySpend(aNow)) {
    return true;
  }
  if (aShare.granted.empty()) {
    return false;
  }
  Granted& first = aShare.granted.front();
  aShare.spentUntil = first.until;
  if (--first.tokens == 0) {
    aShare.granted.pop_front();
  }
  return true;
}

void GrantHolder::UpdateDemand(Share& aShare, TimePoint aNow) {
  const Duration elapsed = aNow - aShare.demandAt;
  if (elapsed < kDemandInterval) {
    return;
  }
  const double rate = aShare.arrivals / ToSeconds(elapsed);
  const double gain =
      1 - std::pow(1 - kDemandGain,
                   ToSeconds(elapsed) / ToSeconds(kDemandInterval));
  aShare.demand += gain * (rate - aShare.demand);
  aShare.arrivals = 0;
  aShare.demandAt = aNow;
}

void GrantHolder::Admit(const std::string& aOrganisation, TimePoint aNow,
                        TimePoint aWaitUntil, Callback aCallback) {
  const auto found = this->shares.find(aOrganisation);
  if (found == this->shares.end() || found->second.rate.IsUnlimited()) {
    aCallback(true);
    return;
  }
  Share& share = found->second;
  ++share.arrivals;
  this->UpdateDemand(share, aNow);
  if (share.waiters.empty() && this->TrySpend(share, aNow)) {
    aCallback(true);
    return;
  }
  if (share.waiters.size() >= kMaxWaiters || aWaitUntil <= aNow) {
    aCallback(false);
    return;
  }
  share.waiters.push_back(
      {.until = aWaitUntil, .callback = std::move(aCallback)});
  ++this->waiting;
  this->onWaiting();
  this->RequestIfDue(aOrganisation, share, aNow);
}

void GrantHolder::RequestIfDue(const std::string& aOrganisation, Share& aShare,
                               TimePoint aNow) {
  this->DropLapsedRequests(aShare, aNow);
  const bool responseDue =
      !aShare.openRequests.empty() &&
      aNow - aShare.openRequests.back().at < this->settings.responseTimeout;
  if (responseDue || aNow < aShare.nextRequestAt) {
    return;
  }
  const auto ahead = static_cast<uint32_t>(
      std::lround(aShare.demand * ToSeconds(this->settings.requestAhead)));
  const auto wanted = static_cast<uint32_t>(aShare.waiters.size()) + ahead;
  aShare.nextRequestAt = aNow + this->settings.minRequestInterval;
  const uint64_t requestId = ++this->lastRequestId;
  if (this->sendRequest(aOrganisation,
                        {.requestId = requestId, .tokens = wanted})) {
    aShare.openRequests.push_back({.requestId = requestId, .at = aNow});
  }
}

void GrantHolder::DropLapsedRequests(Share& aShare, TimePoint aNow) const {
  while (!aShare.openRequests.empty() &&
         aNow - aShare.openRequests.front().at >=
             this->settings.grantLifetime) {
    aShare.openRequests.pop_front();
  }
}

std::optional<GrantHolder::OpenRequest> GrantHolder::TakeOpenRequest(
    Share& aShare, uint64_t aRequestId) {
  const auto found =
      aRequestId == 0 && !aShare.openRequests.empty()
          ? std::prev(aShare.openRequests.end())
          : std::find_if(aShare.openRequests.begin(), aShare.openRequests.end(),
                         [aRequestId](const OpenRequest& aRequest) {
                           return aRequest.requestId == aRequestId;
                         });
  if (found == aShare.openRequests.end()) {
    return std::nullopt;
  }
  const OpenRequest request = *found;
  aShare.openRequests.erase(found);
  return request;
}

void GrantHolder::Return(const std::string& aOrganisation, TimePoint aNow) {
  const auto found = this->shares.find(aOrganisation);
  if (found == this->shares.end() || found->second.rate.IsUnlimited()) {
    return;
  }
  Share& share = found->second;
  // A returned token keeps its lapse time, so that it cannot add to a later
  // rate window.
  if (aNow < share.spentUntil) {
    share.granted.push_front({.tokens = 1, .until = share.spentUntil});
  }
}

void GrantHolder::OnGrant(const std::string& aOrganisation,
                          const Response& aResponse, TimePoint aNow) {
  const auto found = this->shares.find(aOrganisation);
  if (found == this->shares.end()) {
    return;
  }
  Share& share = found->second;
  this->DropLapsedRequests(share, aNow);
  const auto request = TakeOpenRequest(share, aResponse.requestId);
  if (!request) {
    return;
  }
  if (aResponse.tokens > 0) {
    // Counted from when the request was sent, which is never later than the
    // grant.
    share.granted.push_back(
        {.tokens = aResponse.tokens,
         .until = request->at + this->settings.grantLifetime});
    share.nextRequestAt = aNow;
  }
  // A later request may still bring tokens.
  const bool isLatest =
      share.openRequests.empty() ||
      share.openRequests.back().requestId < request->requestId;
  this->DecideWaiters(share, aNow,
                      isLatest && aResponse.mayRefuse && aResponse.tokens == 0);
  if (!share.waiters.empty()) {
    this->RequestIfDue(aOrganisation, share, aNow);
  }
}

void GrantHolder::DecideWaiters(Share& aShare, TimePoint aNow,
                                bool aRefuseRest) {
  std::vector<std::pair<Callback, bool>> decisions;
  while (!aShare.waiters.empty()) {
    const bool admitted = this->TrySpend(aShare, aNow);
    if (!admitted && !aRefuseRest && aShare.waiters.front().until > aNow) {
      break;
    }
    decisions.emplace_back(std::move(aShare.waiters.front().callback),
                           admitted);
    aShare.waiters.pop_front();
    --this->waiting;
  }
  for (auto& [callback, admitted] : decisions) {
    callback(admitted);
  }
}

void GrantHolder::Tick(TimePoint aNow) {
  if (this->waiting == 0) {
    return;
  }
  std::vector<std::string> organisations;
  for (const auto& [organisation, share] : this->shares) {
    if (!share.waiters.empty()) {
      organisations.push_back(organisation);
    }
  }
  for (const std::string& organisation : organisations) {
    const auto found = this->shares.find(organisation);
    if (found == this->shares.end()) {
      continue;
    }
    this->DecideWaiters(found->second, aNow, false);
    if (!found->second.waiters.empty()) {
      this->RequestIfDue(organisation, found->second, aNow);
    }
  }
}

}  // namespace fescueline
