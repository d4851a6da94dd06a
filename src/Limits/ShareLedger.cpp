#include "Limits/ShareLedger.h"

#include <utility>

namespace fescueline {

ShareLedger::ShareLedger(HolderIdentity aSelf, const ShareSettings& aSettings)
    : self(std::move(aSelf)), settings(aSettings) {}

HeldShare* ShareLedger::Find(std::string_view aOrganisation) {
  const auto found = this->shares.find(aOrganisation);
  return found == this->shares.end() ? nullptr : &found->second;
}

const HeldShare* ShareLedger::Find(std::string_view aOrganisation) const {
  const auto found = this->shares.find(aOrganisation);
  return found == this->shares.end() ? nullptr : &found->second;
}

void ShareLedger::Install(std::string_view aOrganisation,
                          const Allocation& aAllocation,
                          TimePoint aOldUsableUntil, TimePoint aNow) {
  HeldShare* share = this->Find(aOrganisation);
  if (share == nullptr) {
    const std::string name(aOrganisation);
    share =
        &this->shares.emplace(name, HeldShare(name, this->self, this->settings))
             .first->second;
  }
  share->Install(aAllocation, aOldUsableUntil, aNow);
}

void ShareLedger::Remove(std::string_view aOrganisation) {
  const auto found = this->shares.find(aOrganisation);
  if (found != this->shares.end()) {
    this->shares.erase(found);
  }
}

ShareAdmission ShareLedger::Admit(std::string_view aOrganisation,
                                  TimePoint aNow) {
  HeldShare* share = this->Find(aOrganisation);
  if (share == nullptr) {
    return ShareAdmission::Unknown;
  }
  return share->Admit(true, aNow) ? ShareAdmission::Admitted
                                  : ShareAdmission::Exhausted;
}

ShareAdmission ShareLedger::AdmitWaiting(std::string_view aOrganisation,
                                         TimePoint aNow) {
  HeldShare* share = this->Find(aOrganisation);
  if (share == nullptr) {
    return ShareAdmission::Unknown;
  }
  return share->Admit(false, aNow) ? ShareAdmission::Admitted
                                   : ShareAdmission::Exhausted;
}

std::vector<ShareMessage> ShareLedger::RequestMore(
    std::string_view aOrganisation, TimePoint aNow) {
  std::vector<ShareMessage> messages;
  if (HeldShare* share = this->Find(aOrganisation)) {
    share->RequestMore(aNow, messages);
  }
  return messages;
}

std::vector<ShareMessage> ShareLedger::Tick(TimePoint aNow) {
  std::vector<ShareMessage> messages;
  for (auto& [name, share] : this->shares) {
    share.Tick(aNow, messages);
  }
  return messages;
}

std::vector<ShareMessage> ShareLedger::Receive(const ShareTransfer& aTransfer,
                                               TimePoint aNow) {
  std::vector<ShareMessage> messages;
  if (HeldShare* share = this->Find(aTransfer.organisation)) {
    share->Receive(aTransfer, aNow, messages);
  }
  return messages;
}

std::vector<ShareMessage> ShareLedger::ReturnAll(TimePoint aNow) {
  std::vector<ShareMessage> messages;
  for (auto& [name, share] : this->shares) {
    share.ReturnAll(aNow, messages);
  }
  return messages;
}

Portion ShareLedger::Held(std::string_view aOrganisation, TimePoint aNow) {
  HeldShare* share = this->Find(aOrganisation);
  return share == nullptr ? Portion{} : share->Held(aNow);
}

std::optional<uint64_t> ShareLedger::Version(std::string_view aOrganisation,
                                             TimePoint aNow) {
  HeldShare* share = this->Find(aOrganisation);
  if (share == nullptr) {
    return std::nullopt;
  }
  share->Held(aNow);  // Switches to the newer allocation if it is due.
  return share->Version();
}

std::optional<Duration> ShareLedger::IssuerUnresponsiveFor(
    std::string_view aOrganisation, TimePoint aNow) const {
  const HeldShare* share = this->Find(aOrganisation);
  return share == nullptr ? std::nullopt : share->IssuerUnresponsiveFor(aNow);
}

}  // namespace fescueline
