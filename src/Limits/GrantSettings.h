#pragma once

#include <cstddef>
#include <cstdint>

#include "Core/Time.h"

namespace fescueline {

/// Rate limit of an organisation over the whole fleet.
struct OrganisationRate {
  /// Requests per second; 0 for no limit.
  double perSecond = 0;
  /// Requests that may come at once after a rest.
  double burst = 0;

  bool IsUnlimited() const { return this->perSecond <= 0; }
  bool operator==(const OrganisationRate&) const = default;
};

/// Settings of grants, equal on all nodes.
struct GrantSettings {
  /// What is given out in all over the rate. Tokens are lost where they are
  /// not needed; users tolerate a tenth more than the rate.
  double total = 1.08;
  /// Share of a rate that is divided evenly among the nodes of a small fleet,
  /// who may use it without the issuer. The rest still covers demand of three
  /// fifths of a rate that enters at one node.
  double fixedShare = 0.4;
  /// Nodes up to which a fixed share is worth dividing. Beyond that most nodes
  /// would hold fractions of a token.
  size_t fixedNodes = 24;
  /// Share of a rate that is divided evenly among nodes without an issuer.
  double alone = 0.9;
  /// Share of the burst that the issuer can save up.
  double burstShare = 0.95;
  /// Time after which a granted token lapses. A rate window sees at most this
  /// much of an earlier one's tokens.
  Duration grantLifetime = std::chrono::milliseconds(500);
  /// Demand that a request for tokens covers ahead: several round trips, so
  /// that few requests wait, and much less than the lifetime.
  Duration askAhead = std::chrono::milliseconds(100);
  /// Time between two requests for tokens while the issuer has none.
  Duration askSpacing = std::chrono::milliseconds(25);
  /// Time after which a request for tokens counts as lost.
  Duration answerTimeout = std::chrono::milliseconds(150);

  /// Time in which a new issuer refuses nothing; requests wait instead. Longer
  /// than they wait, so that those from before its start are not refused.
  Duration issuerWarmUp = std::chrono::milliseconds(300);

  /// Share that each of that many nodes may use by itself.
  double FixedPart(size_t aNodes, bool aAlone) const {
    const double share =
        aAlone ? this->alone
               : (aNodes <= this->fixedNodes ? this->fixedShare : 0.0);
    return share / static_cast<double>(aNodes);
  }
  /// Share that the issuer gives out among that many nodes.
  double IssuedShare(size_t aNodes) const {
    return this->total - (aNodes <= this->fixedNodes ? this->fixedShare : 0.0);
  }
};

}  // namespace fescueline
