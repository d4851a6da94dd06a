#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "Core/EnumNames.h"
#include "Limits/ShareMessages.h"
#include "Limits/ShareSettings.h"

namespace fescueline {

/// Why a new allocation version is due.
enum class AllocationCause : uint8_t {
  /// No new version is due.
  None,
  /// Rate or burst of the organisation was changed.
  LimitChanged,
  /// Holders that have ended keep too much of the rate for too long.
  SharesLost
};

template <>
struct EnumNames<AllocationCause> {
  static constexpr std::array<EnumName<AllocationCause>, 3> kNames{
      {{AllocationCause::None, "none"},
       {AllocationCause::LimitChanged, "limit-changed"},
       {AllocationCause::SharesLost, "shares-lost"}}};
};

/// Issues the shares of one organisation under one allocation. Not thread-safe.
///
/// Contract:
/// - The owner creates the issuer when the allocation that names this node and
///   incarnation has been accepted (`AcceptanceWait`), not when it is
///   committed. It starts with the whole rate and burst and no tokens.
/// - aNow is read after the arrival of the message that is passed.
/// - The issuer's reserve and the recorded shares of all holders add up to
///   exactly the allocation. A holder never holds more than its record: the
///   issuer deducts before it sends; the holder states its share in numbered,
///   absolute statements and credits only transfers for its latest one. A
///   statement below the record therefore proves that the rest was lost, and
///   the rest is issued again.
/// - A share lapses when its holder has had no answer for the length of the
///   share's lease. The holder counts from when it sent its statement, the
///   issuer from when it answered, with an allowance for clock drift, so the
///   holder stops first.
class ShareIssuer {
 public:
  ShareIssuer(std::string aOrganisation, const Allocation& aAllocation,
              const ShareSettings& aSettings, TimePoint aNow);

  /// Answers a request; returns no messages if it is outdated or for another
  /// allocation.
  std::vector<ShareMessage> Receive(const ShareRequest& aRequest,
                                    TimePoint aNow);
  /// Takes back a returned part and redistributes it to holders whose share is
  /// below their demand.
  std::vector<ShareMessage> Receive(const ShareReturn& aReturn, TimePoint aNow);
  /// Takes back lapsed shares and redistributes them. Call about once a second.
  std::vector<ShareMessage> Tick(TimePoint aNow);
  /// Records that a holder's incarnation has ended. Its share is not taken back
  /// before it lapses; until then it counts as lost in AllocationDue.
  void OnHolderEnded(Id128 aIncarnation);
  /// Why the owner should commit a new allocation version, or None. aConfigured
  /// is the organisation's current rate and burst.
  AllocationCause AllocationDue(const Portion& aConfigured,
                                TimePoint aNow) const;

  /// Portion that is not issued.
  const Portion& Reserve() const { return this->reserve.Size(); }
  /// Upper bound of what all holders hold, from their records.
  Portion Issued() const;
  size_t HolderCount() const { return this->holders.size(); }
  /// The allocation that is issued.
  const Allocation& CurrentAllocation() const { return this->allocation; }
  /// Time between a holder's reports; grows with the number of holders so that
  /// reports take at most half of the exchanges allowed.
  Duration ReportInterval() const;
  /// Validity of a share after each answer.
  Duration ShareLease() const;

 private:
  /// Record of one holder's incarnation.
  struct Holder {
    std::string node;
    /// Number of the latest statement that was received.
    uint64_t statement = 0;
    /// Number of transfer parts sent after that statement.
    uint32_t parts = 0;
    /// Upper bound of what the holder holds.
    Portion held;
    /// Reported demand in micro-tokens per second.
    MicroTokens demand = 0;
    /// When the share lapses.
    TimePoint leaseEnd{};
    /// Whether the incarnation is known to have ended.
    bool ended = false;
  };

  Holder* AcceptStatement(const ShareStatement& aStatement, TimePoint aNow);
  Portion FairPortion(const Holder& aHolder) const;
  ShareMessage MakeTransfer(Id128 aIncarnation, Holder& aHolder,
                            const Portion& aWanted, MicroTokens aTokens,
                            TimePoint aNow);
  void Redistribute(TimePoint aNow, std::vector<ShareMessage>& aOut);
  void CountExchange(TimePoint aNow);
  void RemoveHolder(size_t aIndex);

  std::string organisation;
  Allocation allocation;
  ShareSettings settings;
  /// Portion and tokens that are not issued.
  TokenBucket reserve;
  /// Incarnation and record of each holder in order of arrival; the last one
  /// fills the gap of a removed one.
  std::vector<std::pair<Id128, Holder>> holders;
  /// Position of each incarnation in holders.
  std::unordered_map<Id128, size_t> positions;
  /// Sum of the reported demand.
  MicroTokens totalDemand = 0;
  /// Positions at which Redistribute and Tick continue.
  size_t redistributeCursor = 0;
  size_t lapseCursor = 0;
  /// Exchanges counted since exchangesSince.
  double exchanges = 0;
  TimePoint exchangesSince{};
  /// Time between requests that is sent to holders; grows while there are too
  /// many requests.
  Duration minRequestInterval;
};

}  // namespace fescueline
