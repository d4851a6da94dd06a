#pragma once

#include <cstdint>

#include "Admission/AdmissionCore.h"
#include "Node/FleetView.h"
#include "Outcome/AttemptTable.h"
#include "Settings/NodeSettings.h"
#include "Transport/PeerIdentity.h"

/// Options of a node's parts, taken from its settings.

namespace fescueline {

/// Identity with a new incarnation.
PeerIdentity IdentityOf(const NodeSettings& aSettings);
AdmissionSettings AdmissionOf(const NodeSettings& aSettings);
AttemptTableSettings AttemptsOf(const NodeSettings& aSettings);
FleetView::Settings FleetOf(const NodeSettings& aSettings);

/// The advertised address, with the bound port if none was given.
SocketAddress Advertised(const SocketAddress& aSetting, uint16_t aBound);

}  // namespace fescueline
