#include "Node/ShareManager.h"

#include <mutex>

namespace fescueline {

namespace {
/// Maximum number of waiting requests per organisation.
constexpr size_t kMaxWaiters = 1024;

void Append(std::vector<ShareMessage>& aAll, std::vector<ShareMessage> aMore) {
  aAll.insert(aAll.end(), std::make_move_iterator(aMore.begin()),
              std::make_move_iterator(aMore.end()));
}
}  // namespace

ShareManager::ShareManager(HolderIdentity aSelf, const ShareSettings& aSettings,
                           Sender aSender)
    : sender(std::move(aSender)),
      settings(aSettings),
      ledger(std::move(aSelf), aSettings) {}

void ShareManager::Admit(
    const std::string& aOrganisation, TimePoint aNow, TimePoint aWaitUntil,
    const std::function<void(std::optional<uint64_t>)>& aDecided) {
  std::vector<ShareMessage> messages;
  std::optional<uint64_t> version;
  bool waits = false;
  {
    const std::lock_guard lock(this->mutex);
    std::deque<Waiter>& queue = this->waiters[aOrganisation];
    const ShareAdmission admission = this->ledger.Admit(aOrganisation, aNow);
    if (admission == ShareAdmission::Admitted) {
      version = this->ledger.Version(aOrganisation, aNow);
    } else if (admission == ShareAdmission::Exhausted &&
               queue.size() < kMaxWaiters && aWaitUntil > aNow) {
      waits = true;
      queue.push_back({.until = aWaitUntil, .decided = aDecided});
      messages = this->ledger.RequestMore(aOrganisation, aNow);
    }
  }
  this->Send(messages);
  if (!waits) {
    aDecided(version);
  }
}

void ShareManager::Install(const std::string& aOrganisation,
                           const Allocation& aAllocation,
                           TimePoint aOldUsableUntil, TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  Fence& fence = this->fences[aOrganisation];
  if (fence.version < aAllocation.version) {
    fence = {.version = aAllocation.version,
             .olderUsableUntil = aOldUsableUntil};
  }
  this->ledger.Install(aOrganisation, aAllocation, aOldUsableUntil, aNow);
  const auto issuer = this->issuers.find(aOrganisation);
  if (issuer != this->issuers.end() &&
      issuer->second.CurrentAllocation().version < aAllocation.version) {
    this->issuers.erase(issuer);
  }
}

void ShareManager::Retain(const ConfigSnapshot& aSnapshot) {
  const std::lock_guard lock(this->mutex);
  std::erase_if(this->fences, [&](const auto& aEntry) {
    if (aSnapshot.FindOrganisation(aEntry.first) != nullptr) {
      return false;
    }
    this->ledger.Remove(aEntry.first);
    this->issuers.erase(aEntry.first);
    return true;
  });
}

bool ShareManager::IsSuperseded(const std::string& aOrganisation,
                                uint64_t aVersion, TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  const auto fence = this->fences.find(aOrganisation);
  return fence != this->fences.end() && aVersion < fence->second.version &&
         aNow >= fence->second.olderUsableUntil;
}

void ShareManager::StartIssuing(const std::string& aOrganisation,
                                const Allocation& aAllocation, TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  this->issuers.erase(aOrganisation);
  this->issuers.emplace(aOrganisation, ShareIssuer(aOrganisation, aAllocation,
                                                   this->settings, aNow));
}

void ShareManager::OnHolderEnded(Id128 aIncarnation) {
  const std::lock_guard lock(this->mutex);
  for (auto& [organisation, issuer] : this->issuers) {
    issuer.OnHolderEnded(aIncarnation);
  }
}

void ShareManager::Receive(const ShareMessage& aMessage, TimePoint aNow) {
  std::vector<ShareMessage> messages;
  std::vector<Decision> decisions;
  {
    const std::lock_guard lock(this->mutex);
    if (const auto* request = std::get_if<ShareRequest>(&aMessage.body)) {
      const auto issuer = this->issuers.find(request->statement.organisation);
      if (issuer != this->issuers.end()) {
        messages = issuer->second.Receive(*request, aNow);
      }
    } else if (const auto* returned =
                   std::get_if<ShareReturn>(&aMessage.body)) {
      const auto issuer = this->issuers.find(returned->statement.organisation);
      if (issuer != this->issuers.end()) {
        messages = issuer->second.Receive(*returned, aNow);
      }
    } else {
      const auto& transfer = std::get<ShareTransfer>(aMessage.body);
      messages = this->ledger.Receive(transfer, aNow);
      this->AdmitWaiters(transfer.organisation, aNow, decisions);
    }
  }
  this->Send(messages);
  Report(decisions);
}

void ShareManager::AdmitWaiters(const std::string& aOrganisation,
                                TimePoint aNow,
                                std::vector<Decision>& aDecisions) {
  const auto found = this->waiters.find(aOrganisation);
  if (found == this->waiters.end()) {
    return;
  }
  std::deque<Waiter>& queue = found->second;
  while (!queue.empty() && this->ledger.AdmitWaiting(aOrganisation, aNow) ==
                               ShareAdmission::Admitted) {
    aDecisions.push_back(
        {.decided = std::move(queue.front().decided),
         .version = this->ledger.Version(aOrganisation, aNow)});
    queue.pop_front();
  }
}

void ShareManager::ExpireWaiters(TimePoint aNow,
                                 std::vector<Decision>& aDecisions) {
  for (auto& [organisation, queue] : this->waiters) {
    while (!queue.empty() && queue.front().until <= aNow) {
      aDecisions.push_back({.decided = std::move(queue.front().decided),
                            .version = std::nullopt});
      queue.pop_front();
    }
  }
}

void ShareManager::Tick(TimePoint aNow) {
  std::vector<ShareMessage> messages;
  std::vector<Decision> decisions;
  {
    const std::lock_guard lock(this->mutex);
    for (auto& [organisation, queue] : this->waiters) {
      if (!queue.empty()) {
        this->AdmitWaiters(organisation, aNow, decisions);
      }
      if (!queue.empty()) {
        Append(messages, this->ledger.RequestMore(organisation, aNow));
      }
    }
    this->ExpireWaiters(aNow, decisions);
    Append(messages, this->ledger.Tick(aNow));
    for (auto& [organisation, issuer] : this->issuers) {
      Append(messages, issuer.Tick(aNow));
    }
  }
  this->Send(messages);
  Report(decisions);
}

void ShareManager::ReturnAll(TimePoint aNow) {
  std::vector<ShareMessage> messages;
  {
    const std::lock_guard lock(this->mutex);
    messages = this->ledger.ReturnAll(aNow);
  }
  this->Send(messages);
}

AllocationCause ShareManager::AllocationDue(const std::string& aOrganisation,
                                            const Portion& aConfigured,
                                            TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  const auto issuer = this->issuers.find(aOrganisation);
  return issuer == this->issuers.end()
             ? AllocationCause::None
             : issuer->second.AllocationDue(aConfigured, aNow);
}

std::optional<Duration> ShareManager::IssuerUnresponsiveFor(
    const std::string& aOrganisation, TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  return this->ledger.IssuerUnresponsiveFor(aOrganisation, aNow);
}

void ShareManager::Send(const std::vector<ShareMessage>& aMessages) {
  for (const ShareMessage& message : aMessages) {
    this->sender(message);
  }
}

void ShareManager::Report(std::vector<Decision>& aDecisions) {
  for (Decision& decision : aDecisions) {
    decision.decided(decision.version);
  }
}

}  // namespace fescueline
