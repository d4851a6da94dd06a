#pragma once

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
  /// Share of a rate that is divided evenly among the nodes. They may use it
  /// without the issuer, so this much is served while there is none.
  double fixedShare = 0.25;
  /// Share of a rate that the issuer gives out. The two shares add up to one
  /// less a margin for what nodes may use late.
  double issuedShare = 0.75;
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
};

}  // namespace fescueline
