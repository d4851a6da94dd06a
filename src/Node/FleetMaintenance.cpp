#include "Node/FleetMaintenance.h"

#include <xxhash.h>

#include <algorithm>

#include "Config/ConfigKeys.h"

namespace fescueline {

namespace {
/// Successors that each node watches. With three, the failure of two neighbours
/// does not leave the next member unwatched.
constexpr size_t kWatchedMembers = 3;
/// Members that may propose themselves as a voucher at the same time. More
/// than one, so that a dead candidate does not delay a replacement until its
/// member record is removed; few, as all but one of their writes conflict.
constexpr size_t kVoucherCandidates = 3;

/// Rendezvous weight of a node for a name.
uint64_t WeightOf(const std::string& aName, const std::string& aNode) {
  return XXH3_64bits_withSeed(aNode.data(), aNode.size(),
                              XXH3_64bits(aName.data(), aName.size()));
}
}  // namespace

Portion PortionOf(const OrganisationRecord& aRecord) {
  return {.rate = static_cast<MicroTokens>(aRecord.rate * kMicroTokensPerToken),
          .capacity =
              static_cast<MicroTokens>(aRecord.burst * kMicroTokensPerToken)};
}

Allocation AllocationOf(const AllocationRecord& aAllocation,
                        const OrganisationRecord& aOrganisation) {
  return {.version = aAllocation.version,
          .issuer = aAllocation.issuer,
          .issuerIncarnation = aAllocation.issuerIncarnation,
          .total = PortionOf(aOrganisation)};
}

FleetMaintenance::FleetMaintenance(Settings aSettings)
    : settings(std::move(aSettings)) {}

void FleetMaintenance::Run() {
  // Writes based on an empty replica would only conflict. Later, each write
  // checks the version that it is based on, so an outdated replica does no
  // harm.
  if (!this->settings.freshness.Age(SteadyClock().Now())) {
    return;
  }
  this->Register();
  this->MaintainVouchers();
  this->MaintainAllocations();
  this->RemoveDeadMembers();
}

void FleetMaintenance::SetService(std::string aService) {
  const std::lock_guard lock(this->mutex);
  this->service = std::move(aService);
}

bool FleetMaintenance::Write(const std::string& aKey, uint64_t aVersion,
                             std::optional<std::string> aValue,
                             uint64_t* aCommitted) {
  const TransactResult result = this->settings.table.Transact(
      {.token = Id128::Generate().ToString(),
       .checks = {{.key = aKey, .version = aVersion}},
       .writes = {{.key = aKey, .value = std::move(aValue)}}});
  if (aCommitted != nullptr) {
    *aCommitted = result.version;
  }
  this->settings.refresh();
  return result.status == TransactStatus::Committed;
}

void FleetMaintenance::Register() {
  MemberRecord record = this->settings.member;
  {
    const std::lock_guard lock(this->mutex);
    record.service = this->service;
  }
  const auto snapshot = this->settings.config.Snapshot();
  const auto* current = snapshot->Members().Find(this->settings.self.nodeId);
  if (current != nullptr && current->record == record) {
    this->registered = true;
    return;
  }
  this->Write(std::string(kMemberPrefix) + this->settings.self.nodeId,
              current == nullptr ? 0 : current->version, record.ToJson());
}

void FleetMaintenance::Leave() {
  const auto snapshot = this->settings.config.Snapshot();
  const auto* current = snapshot->Members().Find(this->settings.self.nodeId);
  // A new process on the same instance may have replaced the record already.
  if (current != nullptr &&
      current->record.incarnation == this->settings.self.incarnation) {
    this->Write(std::string(kMemberPrefix) + this->settings.self.nodeId,
                current->version, std::nullopt);
  }
}

void FleetMaintenance::MaintainVouchers() {
  const auto snapshot = this->settings.config.Snapshot();
  const VouchersRecord& vouchers = snapshot->Vouchers();
  const TimePoint now = SteadyClock().Now();
  if (!this->registered || !this->settings.freshness.IsFresh(now)) {
    return;
  }
  std::vector<std::string> next = vouchers.nodes;
  const bool included = std::find(next.begin(), next.end(),
                                  this->settings.self.nodeId) != next.end();
  // Only vouchers watch the other vouchers. Without a live majority the set
  // cannot change anyway.
  const auto dead = included
                        ? std::find_if(next.begin(), next.end(),
                                       [&](const std::string& aNode) {
                                         return this->IsUnreachable(aNode, now);
                                       })
                        : next.end();
  if (dead != next.end() && next.size() > 1) {
    next.erase(dead);
  } else if (!included && next.size() < this->settings.maxVouchers &&
             this->IsVoucherCandidate(*snapshot)) {
    next.push_back(this->settings.self.nodeId);
  } else if (!included || vouchers.previous.empty()) {
    return;
  }
  // Proposing the unchanged set clears the previous one, whose majority is no
  // longer needed. Otherwise one unresponsive member of a previous set of two
  // blocks the acceptance of every change until it is replaced.
  this->ProposeVouchers(std::move(next));
}

bool FleetMaintenance::IsVoucherCandidate(
    const ConfigSnapshot& aSnapshot) const {
  const std::vector<std::string>& vouchers = aSnapshot.Vouchers().nodes;
  const std::string name(kVouchersKey);
  const uint64_t own = WeightOf(name, this->settings.self.nodeId);
  const auto& members = aSnapshot.Members().Items();
  const auto ahead =
      std::count_if(members.begin(), members.end(), [&](const auto& aMember) {
        return WeightOf(name, aMember->name) > own &&
               std::find(vouchers.begin(), vouchers.end(), aMember->name) ==
                   vouchers.end();
      });
  return static_cast<size_t>(ahead) < kVoucherCandidates;
}

void FleetMaintenance::ProposeVouchers(std::vector<std::string> aNodes) {
  const auto snapshot = this->settings.config.Snapshot();
  const VouchersRecord& current = snapshot->Vouchers();
  // The next change must wait until the current set is in force on all nodes.
  if (!current.nodes.empty() && this->acceptedVouchers < current.version) {
    if (this->awaitedVouchers < current.version) {
      this->awaitedVouchers = current.version;
      this->settings.gossip.AwaitAcceptance(current.version,
                                            [this, version = current.version] {
                                              this->acceptedVouchers = version;
                                            });
    }
    return;
  }
  // The fleet has accepted the current set, so no fresh node asks the members
  // of an earlier set.
  VouchersRecord next{.nodes = std::move(aNodes), .previous = {}, .version = 0};
  if (next.nodes != current.nodes) {
    next.previous = current.nodes;
  }
  this->Write(std::string(kVouchersKey), current.version, next.ToJson());
}

void FleetMaintenance::MaintainAllocations() {
  const auto snapshot = this->settings.config.Snapshot();
  for (const auto& organisation : snapshot->Organisations().Items()) {
    this->MaintainAllocation(*organisation);
  }
}

void FleetMaintenance::MaintainAllocation(
    const NamedRecord<OrganisationRecord>& aOrganisation) {
  const auto snapshot = this->settings.config.Snapshot();
  const AllocationRecord* current =
      snapshot->FindAllocation(aOrganisation.name);
  const Portion total = PortionOf(aOrganisation.record);
  // This also finds a claim that was committed although its response was lost.
  this->BeginIssuing(aOrganisation.name);
  if (!this->MayClaim(aOrganisation.name, current, total)) {
    return;
  }
  const TimePoint now = SteadyClock().Now();
  const auto claimed = this->lastClaimAt.find(aOrganisation.name);
  if (claimed != this->lastClaimAt.end() &&
      now - claimed->second < this->settings.allocationSpacing) {
    return;
  }
  this->ClaimAllocation(aOrganisation.name);
}

bool FleetMaintenance::MayClaim(const std::string& aOrganisation,
                                const AllocationRecord* aCurrent,
                                const Portion& aTotal) const {
  const TimePoint now = SteadyClock().Now();
  const auto snapshot = this->settings.config.Snapshot();
  if (aCurrent == nullptr) {
    // One node claims the allocation of a new organisation, so that few writes
    // conflict.
    const auto& members = snapshot->Members().Items();
    const auto chosen =
        std::max_element(members.begin(), members.end(),
                         [&](const auto& aLeft, const auto& aRight) {
                           return WeightOf(aOrganisation, aLeft->name) <
                                  WeightOf(aOrganisation, aRight->name);
                         });
    return chosen != members.end() &&
           (*chosen)->name == this->settings.self.nodeId;
  }
  if (this->settings.shares.AllocationDue(aOrganisation, aTotal, now) !=
      AllocationCause::None) {
    return true;
  }
  const bool ownedBefore =
      aCurrent->issuer == this->settings.self.nodeId &&
      aCurrent->issuerIncarnation != this->settings.self.incarnation;
  const auto unresponsiveFor =
      this->settings.shares.IssuerUnresponsiveFor(aOrganisation, now);
  return ownedBefore ||
         (unresponsiveFor &&
          *unresponsiveFor >= this->settings.issuerUnresponsiveLimit);
}

void FleetMaintenance::ClaimAllocation(const std::string& aOrganisation) {
  const auto snapshot = this->settings.config.Snapshot();
  const auto* current = snapshot->Allocations().Find(aOrganisation);
  const AllocationRecord next{
      .version = current == nullptr ? 1 : current->record.version + 1,
      .issuer = this->settings.self.nodeId,
      .issuerIncarnation = this->settings.self.incarnation};
  this->lastClaimAt[aOrganisation] = SteadyClock().Now();
  this->Write(std::string(kAllocationPrefix) + aOrganisation,
              current == nullptr ? 0 : current->version, next.ToJson());
  this->BeginIssuing(aOrganisation);
}

void FleetMaintenance::BeginIssuing(const std::string& aOrganisation) {
  const auto snapshot = this->settings.config.Snapshot();
  const auto* record = snapshot->Allocations().Find(aOrganisation);
  const auto* organisation = snapshot->FindOrganisation(aOrganisation);
  if (record == nullptr || organisation == nullptr ||
      record->record.issuer != this->settings.self.nodeId ||
      record->record.issuerIncarnation != this->settings.self.incarnation ||
      this->issuing[aOrganisation] >= record->record.version) {
    return;
  }
  this->issuing[aOrganisation] = record->record.version;
  const Allocation allocation = AllocationOf(record->record, *organisation);
  // Shares of the previous version may be spent until the change is accepted.
  this->settings.gossip.AwaitAcceptance(
      record->version, [this, aOrganisation, allocation] {
        this->settings.shares.StartIssuing(aOrganisation, allocation,
                                           SteadyClock().Now());
      });
}

std::vector<std::string> FleetMaintenance::Watched() const {
  const auto snapshot = this->settings.config.Snapshot();
  const auto& members = snapshot->Members().Items();
  std::vector<std::string> watched;
  const auto self =
      std::find_if(members.begin(), members.end(), [this](const auto& aMember) {
        return aMember->name == this->settings.self.nodeId;
      });
  if (self == members.end()) {
    return watched;
  }
  // Successors on a ring of the members in name order.
  auto next = self;
  for (size_t i = 0; i < kWatchedMembers && i + 1 < members.size(); ++i) {
    ++next;
    if (next == members.end()) {
      next = members.begin();
    }
    watched.push_back((*next)->name);
  }
  const std::vector<std::string>& vouchers = snapshot->Vouchers().nodes;
  if (std::find(vouchers.begin(), vouchers.end(), this->settings.self.nodeId) ==
      vouchers.end()) {
    return watched;
  }
  for (const std::string& voucher : vouchers) {
    if (voucher != this->settings.self.nodeId &&
        std::find(watched.begin(), watched.end(), voucher) == watched.end()) {
      watched.push_back(voucher);
    }
  }
  return watched;
}

bool FleetMaintenance::IsUnreachable(const std::string& aNode, TimePoint aNow) {
  if (aNode == this->settings.self.nodeId) {
    return false;
  }
  const TimePoint since =
      this->watchedSince.try_emplace(aNode, aNow).first->second;
  const TimePoint lastContact =
      this->settings.gossip.LastContact(aNode).value_or(since);
  return aNow - std::max(lastContact, since) > this->settings.unreachableLimit;
}

void FleetMaintenance::RemoveDeadMembers() {
  const TimePoint now = SteadyClock().Now();
  const auto watched = this->Watched();
  std::erase_if(this->watchedSince, [&](const auto& aEntry) {
    return std::find(watched.begin(), watched.end(), aEntry.first) ==
           watched.end();
  });
  const auto unreachable = static_cast<size_t>(std::count_if(
      watched.begin(), watched.end(), [&](const std::string& aNode) {
        return this->IsUnreachable(aNode, now);
      }));
  // If most watched members do not answer, this node is more likely to be
  // partitioned than they are to be dead.
  if (watched.size() > kWatchedMembers && 2 * unreachable > watched.size()) {
    return;
  }
  const auto snapshot = this->settings.config.Snapshot();
  for (const std::string& node : watched) {
    const auto* member = snapshot->Members().Find(node);
    // Regions may lose their connection for an hour; members of other regions
    // are kept.
    if (member != nullptr &&
        member->record.region == this->settings.member.region &&
        this->IsUnreachable(node, now)) {
      this->Write(std::string(kMemberPrefix) + node, member->version,
                  std::nullopt);
    }
  }
}

}  // namespace fescueline
