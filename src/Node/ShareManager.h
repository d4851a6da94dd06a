#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "Config/ConfigSnapshot.h"
#include "Core/OrderedMutex.h"
#include "Limits/ShareIssuer.h"
#include "Limits/ShareLedger.h"

namespace fescueline {

/// Manages this node's shares of the organisations' limits, the allocations
/// that it issues, and the requests that wait for a transfer. Thread-safe (lock
/// rank Limits); callbacks run and messages are sent without the lock.
class ShareManager {
 public:
  /// Sends a message to another node or to this one.
  using Sender = std::function<void(const ShareMessage&)>;

  ShareManager(HolderIdentity aSelf, const ShareSettings& aSettings,
               Sender aSender);

  /// Admits a request under the organisation's share. If the share is
  /// exhausted, the request waits for a transfer until aWaitUntil. aDecided
  /// runs once, possibly before Admit returns, with the allocation version, or
  /// with nothing if the request is refused.
  void Admit(const std::string& aOrganisation, TimePoint aNow,
             TimePoint aWaitUntil,
             const std::function<void(std::optional<uint64_t>)>& aDecided);

  /// See ShareLedger.
  void Install(const std::string& aOrganisation, const Allocation& aAllocation,
               TimePoint aOldUsableUntil, TimePoint aNow);
  /// Removes the organisations that the configuration no longer has.
  void Retain(const ConfigSnapshot& aSnapshot);
  /// Whether a request that was admitted under an allocation version must no
  /// longer run, because a newer allocation is about to be accepted.
  bool IsSuperseded(const std::string& aOrganisation, uint64_t aVersion,
                    TimePoint aNow);
  /// Starts to issue shares of an accepted allocation.
  void StartIssuing(const std::string& aOrganisation,
                    const Allocation& aAllocation, TimePoint aNow);
  /// Handles the end of a node's incarnation.
  void OnHolderEnded(Id128 aIncarnation);
  /// Handles a message of another node or of this one.
  void Receive(const ShareMessage& aMessage, TimePoint aNow);
  /// Sends due messages and expires waiting requests; call every 10 ms.
  void Tick(TimePoint aNow);
  /// Returns all shares to their issuers.
  void ReturnAll(TimePoint aNow);

  /// Why a new allocation of the organisation is due; None if this node does
  /// not issue it.
  AllocationCause AllocationDue(const std::string& aOrganisation,
                                const Portion& aConfigured, TimePoint aNow);
  /// How long the issuer has not answered; nothing if no request is open.
  std::optional<Duration> IssuerUnresponsiveFor(
      const std::string& aOrganisation, TimePoint aNow);

 private:
  /// A request that waits for a transfer.
  struct Waiter {
    TimePoint until;
    std::function<void(std::optional<uint64_t>)> decided;
  };
  /// Latest allocation of an organisation.
  struct Fence {
    /// Allocation version.
    uint64_t version = 0;
    /// Until then shares of older versions may be spent: the allocation cannot
    /// be accepted before that time.
    TimePoint olderUsableUntil;
  };
  /// A decision whose callback is to run without the lock.
  struct Decision {
    std::function<void(std::optional<uint64_t>)> decided;
    std::optional<uint64_t> version;
  };

  /// Admits waiting requests of an organisation as far as the share allows.
  void AdmitWaiters(const std::string& aOrganisation, TimePoint aNow,
                    std::vector<Decision>& aDecisions);
  void ExpireWaiters(TimePoint aNow, std::vector<Decision>& aDecisions);
  void Send(const std::vector<ShareMessage>& aMessages);
  static void Report(std::vector<Decision>& aDecisions);

  /// Guards everything below but `sender`.
  OrderedMutex mutex{LockRank::Limits};
  Sender sender;
  ShareSettings settings;
  ShareLedger ledger;
  /// Latest allocations by organisation.
  std::unordered_map<std::string, Fence> fences;
  /// Allocations that this node issues, by organisation.
  std::map<std::string, ShareIssuer> issuers;
  /// Waiting requests by organisation.
  std::unordered_map<std::string, std::deque<Waiter>> waiters;
};

}  // namespace fescueline
