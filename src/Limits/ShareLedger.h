#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Limits/HeldShare.h"
#include "Limits/ShareMessages.h"
#include "Limits/ShareSettings.h"

namespace fescueline {

/// Result of offering a request to the ledger.
enum class ShareAdmission : uint8_t {
  /// A token was spent.
  Admitted,
  /// The share is exhausted; call RequestMore and, within the time that a
  /// request may wait, AdmitWaiting after each transfer.
  Exhausted,
  /// The organisation has no allocation on this node.
  Unknown
};

/// This node's shares of all organisations' limits. Not thread-safe.
///
/// Contract:
/// - The caller offers a request only while the node's configuration is fresh
///   (`FreshnessLease`), and reads aNow after the freshness check and after the
///   arrival of the message that it passes. A share also ends on its own: with
///   its lease, which only the issuer renews, and when a newer allocation
///   replaces it.
/// - Over all nodes the admissions in any window of length t are at most
///   rate * t + burst of the allocation, whatever messages are lost, repeated,
///   reordered or delayed, provided that a new allocation's issuer starts only
///   after the allocation is accepted.
/// - Each message goes to `ShareMessage::to`; the transport may lose it. The
///   issuer's own node uses the same messages.
class ShareLedger {
 public:
  ShareLedger(HolderIdentity aSelf, const ShareSettings& aSettings);

  /// Installs an allocation after its record has been applied. The old share
  /// may be spent until aOldUsableUntil: `FreshnessLease::ExpiresAt` as it was
  /// before the lease was renewed under the version with the record. Until then
  /// neither this allocation nor one that the node has missed in between can
  /// have been accepted. An older version is ignored.
  void Install(std::string_view aOrganisation, const Allocation& aAllocation,
               TimePoint aOldUsableUntil, TimePoint aNow);
  void Remove(std::string_view aOrganisation);

  /// Offers a request. Allocates no memory.
  ShareAdmission Admit(std::string_view aOrganisation, TimePoint aNow);
  /// Offers a request again that found the share exhausted; it does not count
  /// as demand again.
  ShareAdmission AdmitWaiting(std::string_view aOrganisation, TimePoint aNow);

  /// Request for more after Exhausted; empty if one is open or the time between
  /// requests has not passed.
  std::vector<ShareMessage> RequestMore(std::string_view aOrganisation,
                                        TimePoint aNow);
  /// Messages that are due: reports, returns and retried requests. Call every
  /// 10 to 50 ms.
  std::vector<ShareMessage> Tick(TimePoint aNow);
  /// Credits a transfer at most once; returns the messages to send.
  std::vector<ShareMessage> Receive(const ShareTransfer& aTransfer,
                                    TimePoint aNow);
  /// Returns all shares to their issuers, for a planned stop.
  std::vector<ShareMessage> ReturnAll(TimePoint aNow);

  /// What the node holds, for metrics and tests.
  Portion Held(std::string_view aOrganisation, TimePoint aNow);
  /// Allocation version under which requests are admitted, for the request
  /// context; nullopt without an allocation.
  std::optional<uint64_t> Version(std::string_view aOrganisation,
                                  TimePoint aNow);
  /// How long the organisation's issuer has left requests unanswered; nullopt
  /// if none is open. From 5 s on, a node whose share is exhausted claims the
  /// allocation: it commits a new version with itself as the issuer.
  std::optional<Duration> IssuerUnresponsiveFor(std::string_view aOrganisation,
                                                TimePoint aNow) const;

 private:
  /// Hash that accepts a string_view, so that a look-up builds no string.
  struct NameHash {
    using is_transparent = void;
    size_t operator()(std::string_view aName) const noexcept {
      return std::hash<std::string_view>()(aName);
    }
  };

  HeldShare* Find(std::string_view aOrganisation);
  const HeldShare* Find(std::string_view aOrganisation) const;

  HolderIdentity self;
  ShareSettings settings;
  /// Shares by organisation.
  std::unordered_map<std::string, HeldShare, NameHash, std::equal_to<>> shares;
};

}  // namespace fescueline
