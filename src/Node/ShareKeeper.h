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

/// This node's shares of the organisations' limits, the allocations that it
/// issues, and the requests that wait for a transfer. Thread-safe (lock rank
/// Limits); callbacks and messages go out without the lock.
class ShareKeeper {
 public:
  /// Sends a message to another node or to this one.
  using Sender = std::function<void(const ShareMessage&)>;

  ShareKeeper(HolderIdentity aSelf, const ShareSettings& aSettings,
              Sender aSender);

  /// Offers a request. If the share is dry, the request waits for a transfer
  /// until aWaitUntil. aDecided runs once, possibly before the return, with
  /// the allocation version or nothing.
  void Admit(const std::string& aOrganisation, TimePoint aNow,
             TimePoint aWaitUntil,
             const std::function<void(std::optional<uint64_t>)>& aDecided);

  /// See ShareLedger.
  void Install(const std::string& aOrganisation, const Allocation& aAllocation,
               TimePoint aOldUsableUntil, TimePoint aNow);
  /// Drops the organisations that the configuration does not have any more.
  void Retain(const ConfigSnapshot& aSnapshot);
  /// Whether a request that was admitted under an allocation version must not
  /// run any more, since a newer allocation is about to be accepted.
  bool IsVoid(const std::string& aOrganisation, uint64_t aVersion,
              TimePoint aNow);
  /// Begins to issue an allocation that has been accepted.
  void StartIssuing(const std::string& aOrganisation,
                    const Allocation& aAllocation, TimePoint aNow);
  /// A node's incarnation has ended.
  void HolderGone(Id128 aIncarnation);
  /// A message arrived.
  void Receive(const ShareMessage& aMessage, TimePoint aNow);
  /// Sends what is due and ends waits; call every 10 ms.
  void Tick(TimePoint aNow);
  /// Returns all shares to their issuers.
  void ReturnAll(TimePoint aNow);

  /// Why a new allocation of the organisation is due, as its issuer sees it.
  AllocationCause AllocationDue(const std::string& aOrganisation,
                                const Portion& aConfigured, TimePoint aNow);
  /// How long the issuer has been silent; nothing if no request is open.
  std::optional<Duration> IssuerSilence(const std::string& aOrganisation,
                                        TimePoint aNow);

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
    /// be accepted before.
    TimePoint olderUsableUntil;
  };
  /// A decision to report without the lock.
  struct Decision {
    std::function<void(std::optional<uint64_t>)> decided;
    std::optional<uint64_t> version;
  };

  /// Admits waiting requests of an organisation as far as the share allows.
  void Serve(const std::string& aOrganisation, TimePoint aNow,
             std::vector<Decision>& aDecisions);
  void ExpireWaiters(TimePoint aNow, std::vector<Decision>& aDecisions);
  void Send(const std::vector<ShareMessage>& aMessages);
  static void Report(std::vector<Decision>& aDecisions);

  /// Guards everything below but `sender`.
  OrderedMutex mutex{LockRank::Limits};
  /// Sends messages.
  Sender sender;
  ShareSettings settings;
  ShareLedger ledger;
  /// Allocations in the ledger by organisation.
  std::unordered_map<std::string, Fence> fences;
  /// Allocations that this node issues, by organisation.
  std::map<std::string, ShareIssuer> issuers;
  /// Waiting requests by organisation.
  std::unordered_map<std::string, std::deque<Waiter>> waiters;
};

}  // namespace fescueline
