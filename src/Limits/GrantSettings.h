#pragma once

#include <cstddef>
#include <cstdint>

#include "Core/Time.h"

namespace fescueline {

/// Rate limit of an organisation over the whole fleet.
struct OrganisationRate {
  /// Requests per second; 0 for no limit.
  double perSecond = 0;
  /// Requests admitted at once after an idle period.
  double burst = 0;

  bool IsUnlimited() const { return this->perSecond <= 0; }
  bool operator==(const OrganisationRate&) const = default;
};

/// Settings of token grants; must be equal on all nodes.
struct GrantSettings {
  /// Tokens given out in total, as fixed shares and grants, relative to the
  /// rate. Above 1 because tokens at nodes that do not need them are lost;
  /// users tolerate a tenth more than the rate.
  double overcommit = 1.08;
  /// Share of a rate that is divided evenly among the nodes of a small fleet,
  /// which may use it without the issuer. The rest still covers a demand of
  /// three fifths of the rate at a single node.
  double fixedShare = 0.4;
  /// Largest number of nodes with a fixed share. In larger fleets most nodes
  /// would hold only fractions of a token.
  size_t maxFixedNodes = 24;
  /// Share of a rate that is divided evenly among nodes without an issuer.
  double isolatedShare = 0.9;
  /// Share of the burst that the issuer's bucket can hold.
  double burstShare = 0.95;
  /// Time after which a granted token lapses. The admissions in a rate window
  /// can use tokens granted at most this long before it.
  Duration grantLifetime = std::chrono::milliseconds(500);
  /// Time ahead for which a request for tokens covers the expected demand:
  /// several round trips, so that few requests wait, but much less than
  /// grantLifetime.
  Duration requestAhead = std::chrono::milliseconds(100);
  /// Time between two requests for tokens while the issuer has none.
  Duration minRequestInterval = std::chrono::milliseconds(25);
  /// Time after which a request for tokens counts as lost.
  Duration responseTimeout = std::chrono::milliseconds(150);

  /// Time in which a new issuer refuses no request and requests wait instead.
  /// Longer than a request waits, so that requests from before its start are
  /// not refused.
  Duration issuerWarmUp = std::chrono::milliseconds(300);

  /// Share of a rate that each of aNodes nodes may use without the issuer.
  double NodeShare(size_t aNodes, bool aIsolated) const {
    const double share =
        aIsolated ? this->isolatedShare
                  : (aNodes <= this->maxFixedNodes ? this->fixedShare : 0.0);
    return share / static_cast<double>(aNodes);
  }
  /// Share of a rate that the issuer grants to a fleet of aNodes nodes.
  double IssuedShare(size_t aNodes) const {
    return this->overcommit -
           (aNodes <= this->maxFixedNodes ? this->fixedShare : 0.0);
  }
};

}  // namespace fescueline
