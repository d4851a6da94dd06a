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
  /// It is not.
  None,
  /// Rate or burst of the organisation was changed.
  LimitChanged,
  /// Holders that are gone keep too much of the rate for too long.
  SharesLost
};

template <>
struct EnumNames<AllocationCause> {
  static constexpr std::array<EnumName<AllocationCause>, 3> kNames{
      {{AllocationCause::None, "none"},
       {AllocationCause::LimitChanged, "limit-changed"},
       {AllocationCause::SharesLost, "shares-lost"}}};
};

/// Issues the shares of one organisation under one allocation. No locking.
///
/// Contract:
/// - The owner creates the issuer when the allocation that names this node and
///   incarnation has been accepted (`AcceptanceWait`), not when it is
///   committed. It starts with the whole rate and burst and no tokens.
/// - aNow is read after the arrival of the message that is passed.
/// - What the issuer keeps, what it has recorded for holders, and nothing else,
///   adds up to the allocation. A holder never holds more than its record: the
///   issuer deducts before it sends; the holder states its share in numbered,
///   absolute statements and credits only transfers for its latest one, so a
///   statement below the record proves the rest lost, and it is issued again.
/// - A share lapses when its holder has had no answer for the share's lease.
///   The holder counts from when it sent its statement, the issuer from when it
///   answered, with an allowance for clock drift; so the holder stops first.
class ShareIssuer {
 public:
  ShareIssuer(std::string aOrganisation, const Allocation& aAllocation,
              const ShareSettings& aSettings, TimePoint aNow);

  /// Answers a request; nothing if it is outdated or not for this allocation.
  std::vector<ShareMessage> Receive(const ShareRequest& aRequest,
                                    TimePoint aNow);
  /// Takes a returned part back and passes it on to holders in need.
  std::vector<ShareMessage> Receive(const ShareReturn& aReturn, TimePoint aNow);
  /// Takes back lapsed shares and passes them on. Call every second or so.
  std::vector<ShareMessage> Tick(TimePoint aNow);
  /// Tells that a holder's incarnation has ended. Its share is not touched
  /// before it lapses; it only counts for AllocationDue.
  void HolderGone(Id128 aIncarnation);
  /// Whether the owner should commit a new allocation version; aConfigured is
  /// the organisation's present rate and burst.
  AllocationCause AllocationDue(const Portion& aConfigured,
                                TimePoint aNow) const;

  /// What is not issued.
  const Portion& Reserve() const { return this->reserve.Size(); }
  /// What holders may hold at most, by the records.
  Portion Issued() const;
  /// Holders on record.
  size_t HolderCount() const { return this->holders.size(); }
  /// The allocation that is issued.
  const Allocation& Issue() const { return this->allocation; }
  /// Time between a holder's reports; grows with the number of holders so that
  /// reports take at most half of the exchanges allowed.
  Duration ReportInterval() const;
  /// Validity of a share after each answer.
  Duration ShareLease() const;

 private:
  /// Record of one holder's incarnation.
  struct Holder {
    std::string node;
    /// Latest statement that was received.
    uint64_t statement = 0;
    /// Parts of transfers sent after it.
    uint32_t parts = 0;
    /// What the holder may hold at most.
    Portion held;
    /// Reported demand in micro-tokens per second.
    MicroTokens demand = 0;
    /// When the share has lapsed.
    TimePoint leaseEnd{};
    /// Whether the incarnation is known to have ended.
    bool gone = false;
  };

  Holder* Accept(const ShareStatement& aStatement, TimePoint aNow);
  Portion Target(const Holder& aHolder) const;
  ShareMessage Transfer(Id128 aIncarnation, Holder& aHolder,
                        const Portion& aWanted, MicroTokens aTokens,
                        TimePoint aNow);
  void PassOn(TimePoint aNow, std::vector<ShareMessage>& aOut);
  void CountExchange(TimePoint aNow);
  void RemoveHolder(size_t aIndex);

  std::string organisation;
  Allocation allocation;
  ShareSettings settings;
  /// The part that is not issued.
  TokenBucket reserve;
  /// Incarnation and record, in arrival order with gaps filled from the end.
  std::vector<std::pair<Id128, Holder>> holders;
  /// Position of each incarnation in holders.
  std::unordered_map<Id128, size_t> positions;
  /// Sum of the reported demand.
  MicroTokens totalDemand = 0;
  /// Where PassOn and Tick continue.
  size_t passOnCursor = 0;
  size_t lapseCursor = 0;
  /// Exchanges counted, and since when.
  double exchanges = 0;
  TimePoint exchangesSince{};
  /// Spacing that holders are told; grows while there are too many requests.
  Duration askSpacing;
};

}  // namespace fescueline
