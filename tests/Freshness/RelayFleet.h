#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "Core/RandomSource.h"
#include "Freshness/FreshnessLease.h"

namespace fescueline {

/// Simulation of the freshness leases of a fleet on a manual clock. In each
/// round, vouchers renew from the table and every other node pulls from one
/// random peer. Nodes have random phases within the round; messages take no
/// time.
class RelayFleet {
 public:
  static constexpr Duration kRound = std::chrono::milliseconds(250);

  RelayFleet(size_t aNodes, size_t aVouchers, Duration aLimit, uint64_t aSeed)
      : vouchers(aVouchers),
        random(aSeed),
        leases(aNodes, FreshnessLease(aLimit)),
        applied(aNodes, 1),
        order(aNodes),
        phases(aNodes) {
    for (size_t i = 0; i < aNodes; ++i) {
      this->order[i] = i;
      this->phases[i] = Duration(static_cast<int64_t>(
          this->random.NextBelow(static_cast<uint64_t>(kRound.count()))));
      this->leases[i].Renew(1, this->start, 1);
    }
    std::sort(this->order.begin(), this->order.end(), [&](size_t a, size_t b) {
      return this->phases[a] < this->phases[b];
    });
  }

  /// Commits a new version in the table.
  void Commit() { ++this->committed; }
  /// Lets every node pull or read once and records the greatest age before
  /// that.
  void RunRound() {
    for (size_t node : this->order) {
      const TimePoint now = this->start + this->phases[node];
      this->greatestAge =
          std::max(this->greatestAge, *this->leases[node].Age(now));
      if (node < this->vouchers) {
        this->applied[node] = this->committed;
        this->leases[node].Renew(this->committed, now, this->committed);
        continue;
      }
      const size_t peer = this->random.NextBelow(this->leases.size());
      // A pull brings the peer's changes before its as-of time is adopted.
      this->applied[node] = std::max(this->applied[node], this->applied[peer]);
      if (const auto response = this->leases[peer].Relay(now)) {
        this->leases[node].RenewByRelay(*response, now, this->applied[node]);
      }
    }
    this->start += kRound;
  }
  /// Number of nodes that have applied the committed version.
  size_t CountCurrent() const {
    return static_cast<size_t>(std::count(
        this->applied.begin(), this->applied.end(), this->committed));
  }
  /// Number of nodes that are not fresh at the end of the round.
  size_t CountStale() const {
    return static_cast<size_t>(std::count_if(
        this->leases.begin(), this->leases.end(),
        [&](const FreshnessLease& l) { return !l.IsFresh(this->start); }));
  }
  Duration GreatestAge() const { return this->greatestAge; }
  void ResetGreatestAge() { this->greatestAge = Duration::zero(); }

 private:
  /// Nodes 0 to vouchers - 1 read the table.
  size_t vouchers;
  /// Source of the phases and of the peers.
  RandomSource random;
  /// Start of the current round.
  TimePoint start{std::chrono::hours(1)};
  /// Version in the table.
  uint64_t committed = 1;
  std::vector<FreshnessLease> leases;
  std::vector<uint64_t> applied;
  /// Nodes in order of phase.
  std::vector<size_t> order;
  std::vector<Duration> phases;
  Duration greatestAge{};
};

}  // namespace fescueline
