#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Limits/ShareMessages.h"
#include "Limits/ShareSettings.h"

namespace fescueline {

/// Identity of the holding node.
struct HolderIdentity {
  /// Node id.
  std::string node;
  /// Incarnation of the process.
  Id128 incarnation;
};

/// This node's share of one organisation's limit, the holder's side of the
/// exchange with the issuer. Part of ShareLedger; no locking.
class HeldShare {
 public:
  HeldShare(std::string aOrganisation, const HolderIdentity& aSelf,
            const ShareSettings& aSettings);

  /// See ShareLedger::Install.
  void Install(const Allocation& aAllocation, TimePoint aOldUsableUntil,
               TimePoint aNow);
  /// Spends a token. aFirst: the request was not offered before.
  bool Admit(bool aFirst, TimePoint aNow);
  /// Asks the issuer for more if the share has run out and the spacing allows.
  void Ask(TimePoint aNow, std::vector<ShareMessage>& aOut);
  /// Reports, returns what is idle, repeats unanswered requests.
  void Tick(TimePoint aNow, std::vector<ShareMessage>& aOut);
  /// Credits a transfer if it is valid; returns whether it was credited.
  bool Receive(const ShareTransfer& aTransfer, TimePoint aNow,
               std::vector<ShareMessage>& aOut);
  /// Gives everything back, for a planned stop.
  void ReturnAll(TimePoint aNow, std::vector<ShareMessage>& aOut);
  /// What can be spent at aNow.
  Portion Held(TimePoint aNow);
  /// Tokens at aNow.
  MicroTokens Tokens(TimePoint aNow);
  /// Allocation version that the share belongs to.
  uint64_t Version() const { return this->allocation.version; }
  /// Allocation that is or will be in use.
  const Allocation& Newest() const {
    return this->next ? *this->next : this->allocation;
  }
  /// Time since the issuer of the newest allocation last answered or, if it
  /// never did, since the first unanswered request; nothing if none is open.
  std::optional<Duration> IssuerSilence(TimePoint aNow) const;

 private:
  void DropExpired(TimePoint aNow);
  void UpdateUsableUntil();
  void UpdateDemand(TimePoint aNow);
  /// Deducts down to aKeep and builds the next statement.
  ShareStatement State(const Portion& aKeep, TimePoint aNow);
  void SendRequest(MicroTokens aWanted, const Portion& aKeep, TimePoint aNow,
                   std::vector<ShareMessage>& aOut);
  void SendReturn(const Portion& aKeep, TimePoint aNow,
                  std::vector<ShareMessage>& aOut);
  Portion IdleKeep() const;

  std::string organisation;
  HolderIdentity self;
  ShareSettings settings;
  /// Allocation that the share belongs to.
  Allocation allocation;
  /// Newer allocation that replaces it at switchAt.
  std::optional<Allocation> next;
  TimePoint switchAt = TimePoint::max();
  /// Rate, capacity and tokens of the share.
  TokenBucket bucket;
  /// End of the share's validity.
  TimePoint leaseEnd{};
  /// The earlier of leaseEnd and switchAt.
  TimePoint usableUntil{};
  /// Number and time of the latest statement.
  uint64_t statement = 0;
  TimePoint statedAt{};
  /// Lowest part of a transfer that may still be credited.
  uint32_t nextPart = 0;
  /// Whether a request is unanswered, and since when there is one.
  bool awaiting = false;
  std::optional<TimePoint> silentSince;
  /// Tokens wanted by the request that is unanswered.
  MicroTokens wantedTokens = 0;
  /// Earliest time of the next report and of the next request for more.
  TimePoint nextReportAt{};
  TimePoint nextAskAt{};
  /// Spacing of reports and requests, as the issuer last stated it.
  Duration reportInterval;
  Duration askSpacing;
  /// Additional spacing while the issuer has nothing to give.
  Duration backoff{};
  /// Requests offered since the demand was last updated.
  uint64_t arrivals = 0;
  /// Requests that found no token since the last request for more.
  uint64_t dry = 0;
  /// Estimated demand in tokens per second.
  double demand = 0;
  /// Last update and beginning of the estimate.
  TimePoint demandAt{};
  TimePoint demandSince{};
};

}  // namespace fescueline
