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

/// This node's share of one organisation's limit: the holder's side of the
/// exchange with the issuer. Part of ShareLedger. Not thread-safe.
class HeldShare {
 public:
  HeldShare(std::string aOrganisation, const HolderIdentity& aSelf,
            const ShareSettings& aSettings);

  /// See ShareLedger::Install.
  void Install(const Allocation& aAllocation, TimePoint aOldUsableUntil,
               TimePoint aNow);
  /// Spends a token; returns false if there is none. aFirst is false for a
  /// request that was offered before and has been counted as demand.
  bool Admit(bool aFirst, TimePoint aNow);
  /// Requests more from the issuer if the share is exhausted and the time
  /// between requests has passed.
  void RequestMore(TimePoint aNow, std::vector<ShareMessage>& aOut);
  /// Sends reports that are due, returns an idle share and retries unanswered
  /// requests.
  void Tick(TimePoint aNow, std::vector<ShareMessage>& aOut);
  /// Credits a transfer if it is valid; returns whether it was credited.
  bool Receive(const ShareTransfer& aTransfer, TimePoint aNow,
               std::vector<ShareMessage>& aOut);
  /// Returns the whole share, for a planned stop.
  void ReturnAll(TimePoint aNow, std::vector<ShareMessage>& aOut);
  /// Rate and capacity that are valid at aNow.
  Portion Held(TimePoint aNow);
  MicroTokens Tokens(TimePoint aNow);
  /// Allocation version that the share belongs to.
  uint64_t Version() const { return this->allocation.version; }
  /// Allocation that is or will be in use.
  const Allocation& Newest() const {
    return this->next ? *this->next : this->allocation;
  }
  /// Time since the first request that the issuer of the newest allocation has
  /// not answered; nullopt if none is open or that allocation is not in use
  /// yet.
  std::optional<Duration> IssuerUnresponsiveFor(TimePoint aNow) const;

 private:
  void DropExpired(TimePoint aNow);
  void UpdateUsableUntil();
  void UpdateDemand(TimePoint aNow);
  /// Reduces the share to aKeep and builds the next statement.
  ShareStatement MakeStatement(const Portion& aKeep, TimePoint aNow);
  void SendRequest(MicroTokens aWanted, const Portion& aKeep, TimePoint aNow,
                   std::vector<ShareMessage>& aOut);
  void SendReturn(const Portion& aKeep, TimePoint aNow,
                  std::vector<ShareMessage>& aOut);
  Portion PortionToKeep() const;

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
  TimePoint statementSentAt{};
  /// Lowest transfer part that may still be credited, to reject duplicates.
  uint32_t nextPart = 0;
  /// Whether a request is unanswered.
  bool requestOpen = false;
  /// Time of the first request since the last transfer from the issuer; empty
  /// if there is none.
  std::optional<TimePoint> unansweredSince;
  /// Tokens wanted by the unanswered request.
  MicroTokens wantedTokens = 0;
  /// Earliest time of the next report and of the next request for more.
  TimePoint nextReportAt{};
  TimePoint nextRequestAt{};
  /// Spacing of reports and requests, as the issuer last stated it.
  Duration reportInterval;
  Duration minRequestInterval;
  /// Additional time between requests while the issuer has no tokens to give or
  /// does not answer.
  Duration backoff{};
  /// Requests offered since the demand was last updated.
  uint64_t arrivals = 0;
  /// Requests that found no token since the last request for more.
  uint64_t unserved = 0;
  /// Estimated demand in tokens per second.
  double demand = 0;
  /// Last update and start of the demand estimate.
  TimePoint demandAt{};
  TimePoint demandSince{};
};

}  // namespace fescueline
