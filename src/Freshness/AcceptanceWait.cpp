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

void AcceptanceWait::OnAnswer(std::string_view aNode, Id128 aIncarnation,
                              uint64_t aKnownVersion, TimePoint aAskedAt,
                              TimePoint aNow) {
  if (this->majorityAt) {
    return;
  }
  auto known = std::find_if(
      this->acknowledgements.begin(), this->acknowledgements.end(),
      [&](const Acknowledgement& aEntry) { return aEntry.node == aNode; });
  if (known != this->acknowledgements.end() &&
      (known->incarnation == aIncarnation || aAskedAt < known->askedAt)) {
    if (aKnownVersion >= this->version) {
      known->askedAt = std::max(known->askedAt, aAskedAt);
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
                          .askedAt = aAskedAt});
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
  const auto count = std::count_if(this->acknowledgements.begin(),
                                   this->acknowledgements.end(),
                                   [&](const Acknowledgement& aEntry) {
                                     return aSet.Contains(aEntry.node) &&
                                            aNow - aEntry.askedAt < this->limit;
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
