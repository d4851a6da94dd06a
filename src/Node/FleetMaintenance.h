#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "Config/ConfigReplica.h"
#include "Node/Gossip.h"
#include "Node/ShareManager.h"
#include "Node/TableClient.h"

namespace fescueline {

/// Maintains the fleet's own records in the table service: registers this node
/// as a member, adds and replaces vouchers, claims allocations, and removes
/// records of dead members. Runs on the thread of the table client; only
/// methods marked "Thread-safe" may be called from other threads.
class FleetMaintenance {
 public:
  /// References must outlive the object.
  struct Settings {
    PeerIdentity self;
    /// This node's member record, without the service.
    MemberRecord member;
    ConfigReplica& config;
    ConfigFreshness& freshness;
    Gossip& gossip;
    ShareManager& shares;
    TableClient& table;
    /// Updates the replica from the table after a write.
    std::function<void()> refresh;
    /// Largest number of vouchers.
    size_t maxVouchers = 5;
    /// A member or voucher that has not answered for this long is removed.
    Duration unreachableLimit = std::chrono::seconds(30);
    /// An issuer that has not answered for this long is replaced.
    Duration issuerUnresponsiveLimit = std::chrono::seconds(5);
    /// Shortest time between two allocations of one organisation.
    Duration allocationSpacing = std::chrono::seconds(30);
  };

  explicit FleetMaintenance(Settings aSettings);

  /// Runs one round on the replica's configuration. Accesses the table only to
  /// write. Throws PlatformError when the table fails.
  void Run();
  /// Removes this node's member record; for a planned stop.
  void Leave();
  /// Sets the service that the local target announced. Thread-safe.
  void SetService(std::string aService);
  /// Whether this incarnation's member record is in the table. Thread-safe.
  bool IsRegistered() const { return this->registered.load(); }
  /// Members whose liveness this node checks by periodic pulls. Thread-safe.
  std::vector<std::string> Watched() const;

 private:
  void Register();
  void MaintainVouchers();
  /// Whether this node is among the few members that may join the voucher set
  /// next, by rendezvous hashing.
  bool IsVoucherCandidate(const ConfigSnapshot& aSnapshot) const;
  void ProposeVouchers(std::vector<std::string> aNodes);
  void MaintainAllocations();
  void MaintainAllocation(const NamedRecord<OrganisationRecord>& aOrganisation);
  bool MayClaim(const std::string& aOrganisation,
                const AllocationRecord* aCurrent, const Portion& aTotal) const;
  void ClaimAllocation(const std::string& aOrganisation);
  /// Starts to issue shares once an allocation that names this node as the
  /// issuer is accepted.
  void BeginIssuing(const std::string& aOrganisation);
  void RemoveDeadMembers();
  /// Whether a node has not answered for longer than the limit while watched.
  bool IsUnreachable(const std::string& aNode, TimePoint aNow);
  /// Compare-and-swap of one record; true if committed.
  bool Write(const std::string& aKey, uint64_t aVersion,
             std::optional<std::string> aValue, uint64_t* aCommitted = nullptr);

  Settings settings;
  /// Guards `service`.
  mutable std::mutex mutex;
  std::string service;
  std::atomic<bool> registered{false};
  /// Versions of the voucher record: the last one known to be accepted, and the
  /// one whose acceptance is awaited.
  std::atomic<uint64_t> acceptedVouchers{0};
  uint64_t awaitedVouchers = 0;
  /// When this node began to watch each member.
  std::map<std::string, TimePoint> watchedSince;
  /// Allocation version that this node issues or is about to issue, by
  /// organisation.
  std::map<std::string, uint64_t> issuing;
  /// When an allocation was last claimed, by organisation.
  std::map<std::string, TimePoint> lastClaimAt;
};

/// Rate and burst of an organisation as a portion.
Portion PortionOf(const OrganisationRecord& aRecord);

/// Combines an allocation record with the limits of its organisation.
Allocation AllocationOf(const AllocationRecord& aAllocation,
                        const OrganisationRecord& aOrganisation);

}  // namespace fescueline
