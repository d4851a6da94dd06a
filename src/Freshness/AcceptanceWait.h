#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Identifiers.h"
#include "Core/Time.h"
#include "Freshness/VoucherSet.h"

namespace fescueline {

/// Decides when a committed change may be reported as accepted: a majority of
/// the vouchers knows it, and the freshness limit has passed after that. From
/// then on no node serves without the change. One object per change. Not
/// thread-safe.
///
/// Contract:
/// - The caller creates the object after the commit and asks vouchers for the
///   version that they know. A response with this version or a later one is an
///   acknowledgement. A voucher that is not eligible to vouch may acknowledge:
///   it remembers the version from now on.
/// - Until a majority is complete, an acknowledgement counts for the freshness
///   limit from when the request was sent. `VoucherEligibility` relies on that.
///   The caller retries the request while there is no majority.
/// - A change of the voucher set needs a majority of the old and of the new
///   set; pass both.
/// - Once a majority is complete, only the freshness limit must pass; a caller
///   that is paused then only reports later.
class AcceptanceWait {
 public:
  /// aSets: the set in force, and the next one if this change or an earlier
  /// change that is not yet accepted replaces it.
  AcceptanceWait(uint64_t aVersion, std::vector<VoucherSet> aSets,
                 Duration aLimit);

  /// Records that aNode knows aKnownVersion, by its response to a request sent
  /// at aSentAt.
  void OnResponse(std::string_view aNode, Id128 aIncarnation,
                  uint64_t aKnownVersion, TimePoint aSentAt, TimePoint aNow);
  /// When a majority of each set had acknowledged; nullopt before.
  std::optional<TimePoint> MajorityAt() const { return this->majorityAt; }
  /// Whether the change may be reported as accepted.
  bool IsAccepted(TimePoint aNow) const;
  /// When the change may be reported as accepted; nullopt before a majority is
  /// complete.
  std::optional<TimePoint> AcceptedAt() const;
  uint64_t Version() const { return this->version; }

 private:
  /// The latest acknowledgement of one voucher.
  struct Acknowledgement {
    std::string node;
    Id128 incarnation;
    TimePoint sentAt;
  };

  bool HasMajority(const VoucherSet& aSet, TimePoint aNow) const;

  uint64_t version;
  /// Sets of which a majority is needed.
  std::vector<VoucherSet> sets;
  /// Freshness limit of the fleet.
  Duration limit;
  /// One entry per voucher that acknowledged.
  std::vector<Acknowledgement> acknowledgements;
  /// When all majorities were complete.
  std::optional<TimePoint> majorityAt;
};

}  // namespace fescueline
