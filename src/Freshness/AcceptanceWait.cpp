#include "Freshness/AcceptanceWait.h"

#include <algorithm>
#include <cassert>

#include "Freshness/ClockDrift.h"

namespace fescueline {

AcceptanceWait::AcceptanceWait(uint64_t aVersion, std::vector<VoucherSet> aSets,
                               Duration aLimit)
    : version(aVersion), sets(std::move(aSets)), limit(aLimit) {
  assert(!this->sets.empty());
}

void AcceptanceWait::OnResponse(std::string_view aNode, Id128 aIncarnation,
                                uint64_t aKnownVersion, TimePoint aSentAt,
                                TimePoint aNow) {
  if (this->majorityAt) {
    return;
  }
  auto known = std::find_if(
      this->acknowledgements.begin(), this->acknowledgements.end(),
      [&](const Acknowledgement& aEntry) { return aEntry.node == aNode; });
  if (known != this->acknowledgements.end() &&
      (known->incarnation == aIncarnation || aSentAt < known->sentAt)) {
    if (aKnownVersion >= this->version) {
      known->sentAt = std::max(known->sentAt, aSentAt);
    }
  } else {
    // A new incarnation has lost what the former one acknowledged.
    if (known != this->acknowledgements.end()) {
      this->acknowledgements.erase(known);
    }
    if (aKnownVersion >= this->version) {
      this->acknowledgements.push_back(
          Acknowledgement{.node = std::string(aNode),
                          .incarnation = aIncarnation,
                          .sentAt = aSentAt});
    }
  }
  if (std::all_of(this->sets.begin(), this->sets.end(),
                  [&](const VoucherSet& aSet) {
                    return this->HasMajority(aSet, aNow);
                  })) {
    this->majorityAt = aNow;
  }
}

bool AcceptanceWait::HasMajority(const VoucherSet& aSet, TimePoint aNow) const {
  const auto count = std::count_if(
      this->acknowledgements.begin(), this->acknowledgements.end(),
      [&](const Acknowledgement& aEntry) {
        return aSet.Contains(aEntry.node) && aNow - aEntry.sentAt < this->limit;
      });
  return static_cast<size_t>(count) >= aSet.MajoritySize();
}

bool AcceptanceWait::IsAccepted(TimePoint aNow) const {
  return this->majorityAt &&
         aNow >= *this->majorityAt + WithClockDrift(this->limit);
}

std::optional<TimePoint> AcceptanceWait::AcceptedAt() const {
  if (!this->majorityAt) {
    return std::nullopt;
  }
  return *this->majorityAt + WithClockDrift(this->limit);
}

}  // namespace fescueline
