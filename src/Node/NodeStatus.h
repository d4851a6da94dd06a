#pragma once

#include <atomic>
#include <nlohmann/json.hpp>
#include <string>

#include "Config/ConfigReplica.h"
#include "Node/ConfigFreshness.h"
#include "Node/FleetMaintenance.h"
#include "Node/FleetView.h"
#include "Node/LocalTarget.h"
#include "Node/Metrics.h"
#include "Transport/ControlSocket.h"

namespace fescueline {

/// Readiness, operator status and gauges of a node. Thread-safe.
class NodeStatus {
 public:
  /// References must outlive the object.
  struct Dependencies {
    PeerIdentity self;
    ConfigReplica& config;
    ConfigFreshness& freshness;
    FleetMaintenance& maintenance;
    LocalTarget& target;
    FleetView& fleet;
    ControlSocket& control;
    Metrics& metrics;
    /// Whether the node is stopping.
    const std::atomic<bool>& stopping;
  };

  explicit NodeStatus(Dependencies aDependencies);

  /// Whether callers' requests to routes that require a key are served.
  bool IsReady();
  std::string NotReadyReason();
  /// State for `GET /v1/status`.
  nlohmann::json ToJson();
  /// Sets the gauges of the metrics page.
  void PublishGauges();

 private:
  Dependencies dependencies;
};

}  // namespace fescueline
