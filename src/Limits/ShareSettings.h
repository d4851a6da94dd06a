#pragma once

#include "Core/Time.h"

namespace fescueline {

/// Settings of the shares, equal on all nodes of a fleet.
struct ShareSettings {
  /// Exchanges (a request and its transfer, about 200 bytes) that one issuer
  /// handles in a second per organisation. 16 at the design scale, where all
  /// control traffic may use 4 KB/s; small fleets can afford more.
  double exchangesPerSecond = 256;
  /// Shortest time between reports of a holder.
  Duration reportInterval = std::chrono::milliseconds(500);
  /// Shortest validity of a share after its last renewal. It covers a
  /// replacement of the issuer: 5 s until it counts as unresponsive, the
  /// freshness limit of 4 s until the new allocation is accepted, and 1 s for
  /// the messages.
  Duration shareLease = std::chrono::seconds(10);
  /// Shortest time between requests of a holder whose share is exhausted.
  Duration minRequestInterval = std::chrono::milliseconds(5);
  /// Time after which a request counts as lost.
  Duration responseTimeout = std::chrono::milliseconds(40);
  /// Time constant of the demand estimate.
  Duration demandWindow = std::chrono::milliseconds(500);
};

}  // namespace fescueline
