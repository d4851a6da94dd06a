#include "Node/NodeOptions.h"

namespace fescueline {

PeerIdentity IdentityOf(const NodeSettings& aSettings) {
  return {.nodeId = aSettings.node,
          .incarnation = Id128::Generate(),
          .fleetSecret = aSettings.fleetSecret.Reveal()};
}

AdmissionSettings AdmissionOf(const NodeSettings& aSettings) {
  AdmissionSettings admission;
  admission.maxQueued = static_cast<uint32_t>(aSettings.queueLength);
  return admission;
}

AttemptTableSettings AttemptsOf(const NodeSettings& aSettings) {
  AttemptTableSettings attempts;
  attempts.maxAttempts = aSettings.attempts;
  return attempts;
}

FleetView::Settings FleetOf(const NodeSettings& aSettings) {
  FleetView::Settings fleet;
  fleet.node = aSettings.node;
  fleet.table.dataCentre = aSettings.dataCentre;
  fleet.table.region = aSettings.region;
  fleet.retries.ratio = aSettings.retryRatio;
  return fleet;
}

SocketAddress Advertised(const SocketAddress& aSetting, uint16_t aBound) {
  SocketAddress address = aSetting;
  if (address.port == 0) {
    address.port = aBound;
  }
  return address;
}

}  // namespace fescueline
