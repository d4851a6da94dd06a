#include "Limits/GrantHolder.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace fescueline {

namespace {
/// Time between two updates of the demand estimate.
constexpr Duration kDemandStep = std::chrono::milliseconds(200);
/// Weight of a new sample in the estimate; about a second of memory.
constexpr double kDemandGain = 0.25;
/// Requests of one organisation that may wait at once.
constexpr size_t kMaxWaiters = 512;

MicroTokens Micro(double aTokens) {
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
    // Tokens of the higher limit must not add to the lower one, nor those on
    // their way.
    share.granted.clear();
    share.spentUntil = TimePoint{};
    share.asked.clear();
    share.fixed.Clear(aNow);
  }
  const bool isNew = share.nodes == 0;
  share.rate = aRate;
  share.nodes = nodes;
  this->ApplyFixed(share, aNow);
  if (isNew) {
    share.demandAt = aNow;
  }
}

void GrantHolder::ApplyFixed(Share& aShare, TimePoint aNow) {
  const double part = this->settings.FixedPart(aShare.nodes, this->alone);
  // Keeps what has accrued: the number of nodes changes with each restart, and
  // a token takes seconds to accrue.
  aShare.fixed.Resize({.rate = Micro(aShare.rate.perSecond * part),
                       .capacity = kMicroTokensPerToken},
                      aNow);
}

void GrantHolder::SetAlone(bool aAlone, TimePoint aNow) {
  if (this->alone == aAlone) {
    return;
  }
  this->alone = aAlone;
  for (auto& [organisation, share] : this->shares) {
    this->ApplyFixed(share, aNow);
    if (aAlone) {
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
    auto gone = std::move(entry->second.waiters);
    entry = this->shares.erase(entry);
    this->waiting -= gone.size();
    for (const Waiter& waiter : gone) {
      waiter.decided(false);
    }
  }
}

bool GrantHolder::TrySpend(Share& aShare, TimePoint aNow) {
  while (!aShare.granted.empty() && aNow >= aShare.granted.front().until) {
    aShare.granted.pop_front();
  }
  // The fixed share accrues here whether it is used or not.
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
  if (elapsed < kDemandStep) {
    return;
  }
  const double rate = aShare.arrivals / ToSeconds(elapsed);
  const double gain = 1 - std::pow(1 - kDemandGain,
                                   ToSeconds(elapsed) / ToSeconds(kDemandStep));
  aShare.demand += gain * (rate - aShare.demand);
  aShare.arrivals = 0;
  aShare.demandAt = aNow;
}

void GrantHolder::Admit(const std::string& aOrganisation, TimePoint aNow,
                        TimePoint aWaitUntil, Decided aDecided) {
  const auto found = this->shares.find(aOrganisation);
  if (found == this->shares.end() || found->second.rate.IsUnlimited()) {
    aDecided(true);
    return;
  }
  Share& share = found->second;
  ++share.arrivals;
  this->UpdateDemand(share, aNow);
  if (share.waiters.empty() && this->TrySpend(share, aNow)) {
    aDecided(true);
    return;
  }
  if (share.waiters.size() >= kMaxWaiters || aWaitUntil <= aNow) {
    aDecided(false);
    return;
  }
  share.waiters.push_back(
      {.until = aWaitUntil, .decided = std::move(aDecided)});
  ++this->waiting;
  this->onWaiting();
  this->MaybeAsk(aOrganisation, share, aNow);
}

void GrantHolder::MaybeAsk(const std::string& aOrganisation, Share& aShare,
                           TimePoint aNow) {
  this->ForgetLapsed(aShare, aNow);
  const bool answerDue =
      !aShare.asked.empty() &&
      aNow - aShare.asked.back().at < this->settings.answerTimeout;
  if (answerDue || aNow < aShare.nextAskAt) {
    return;
  }
  const auto ahead = static_cast<uint32_t>(
      std::lround(aShare.demand * ToSeconds(this->settings.askAhead)));
  const auto wanted = static_cast<uint32_t>(aShare.waiters.size()) + ahead;
  aShare.nextAskAt = aNow + this->settings.askSpacing;
  const uint64_t number = ++this->lastQuestion;
  if (this->ask(aOrganisation, {.number = number, .wanted = wanted})) {
    aShare.asked.push_back({.number = number, .at = aNow});
  }
}

void GrantHolder::ForgetLapsed(Share& aShare, TimePoint aNow) const {
  while (!aShare.asked.empty() &&
         aNow - aShare.asked.front().at >= this->settings.grantLifetime) {
    aShare.asked.pop_front();
  }
}

std::optional<GrantHolder::Asked> GrantHolder::TakeAsked(Share& aShare,
                                                         uint64_t aNumber) {
  const auto found =
      aNumber == 0 && !aShare.asked.empty()
          ? std::prev(aShare.asked.end())
          : std::find_if(aShare.asked.begin(), aShare.asked.end(),
                         [aNumber](const Asked& aAsked) {
                           return aAsked.number == aNumber;
                         });
  if (found == aShare.asked.end()) {
    return std::nullopt;
  }
  const Asked asked = *found;
  aShare.asked.erase(found);
  return asked;
}

void GrantHolder::Return(const std::string& aOrganisation, TimePoint aNow) {
  const auto found = this->shares.find(aOrganisation);
  if (found == this->shares.end() || found->second.rate.IsUnlimited()) {
    return;
  }
  Share& share = found->second;
  // A token does not outlive its grant: a later window may not have it.
  if (aNow < share.spentUntil) {
    share.granted.push_front({.tokens = 1, .until = share.spentUntil});
  }
}

void GrantHolder::OnGrant(const std::string& aOrganisation,
                          const Answer& aAnswer, TimePoint aNow) {
  const auto found = this->shares.find(aOrganisation);
  if (found == this->shares.end()) {
    return;
  }
  Share& share = found->second;
  this->ForgetLapsed(share, aNow);
  const auto asked = TakeAsked(share, aAnswer.number);
  if (!asked) {
    return;
  }
  if (aAnswer.tokens > 0) {
    // Counted from the question, so that the grant is older than it seems, not
    // younger.
    share.granted.push_back(
        {.tokens = aAnswer.tokens,
         .until = asked->at + this->settings.grantLifetime});
    share.nextAskAt = aNow;
  }
  // A later question may still be answered with tokens.
  const bool isLatest =
      share.asked.empty() || share.asked.back().number < asked->number;
  this->Serve(share, aNow,
              isLatest && aAnswer.mayRefuse && aAnswer.tokens == 0);
  if (!share.waiters.empty()) {
    this->MaybeAsk(aOrganisation, share, aNow);
  }
}

void GrantHolder::Serve(Share& aShare, TimePoint aNow, bool aRefuseRest) {
  std::vector<std::pair<Decided, bool>> decisions;
  while (!aShare.waiters.empty()) {
    const bool admitted = this->TrySpend(aShare, aNow);
    if (!admitted && !aRefuseRest && aShare.waiters.front().until > aNow) {
      break;
    }
    decisions.emplace_back(std::move(aShare.waiters.front().decided), admitted);
    aShare.waiters.pop_front();
    --this->waiting;
  }
  for (auto& [decided, admitted] : decisions) {
    decided(admitted);
  }
}

void GrantHolder::Tick(TimePoint aNow) {
  if (this->waiting == 0) {
    return;
  }
  std::vector<std::string> busy;
  for (const auto& [organisation, share] : this->shares) {
    if (!share.waiters.empty()) {
      busy.push_back(organisation);
    }
  }
  for (const std::string& organisation : busy) {
    const auto found = this->shares.find(organisation);
    if (found == this->shares.end()) {
      continue;
    }
    this->Serve(found->second, aNow, false);
    if (!found->second.waiters.empty()) {
      this->MaybeAsk(organisation, found->second, aNow);
    }
  }
}

}  // namespace fescueline
