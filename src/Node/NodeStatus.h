#pragma once

#include <atomic>
#include <nlohmann/json.hpp>
#include <string>

#include "Config/ConfigReplica.h"
#include "Node/FleetMaintenance.h"
#include "Node/FleetView.h"
#include "Node/LocalTarget.h"
#include "Node/Metrics.h"
#include "Node/NodeKnowledge.h"
#include "Transport/ControlSocket.h"

namespace fescueline {

/// What a node tells of itself: readiness, status for operators, gauges.
/// Thread-safe.
class NodeStatus {
 public:
  /// Tables that it reads; all outlive it.
  struct Dependencies {
    PeerIdentity self;
    ConfigReplica& config;
    NodeKnowledge& knowledge;
    FleetMaintenance& maintenance;
    LocalTarget& target;
    FleetView& fleet;
    ControlSocket& control;
    Metrics& metrics;
    /// Whether the node stops.
    const std::atomic<bool>& stopping;
  };

  explicit NodeStatus(Dependencies aDependencies);

  /// Whether callers' requests to closed routes are served.
  bool IsReady();
  /// Why the node is not ready.
  std::string WhyNotReady();
  /// State for `GET /v1/status`.
  nlohmann::json ToJson();
  /// Sets the gauges of the metrics page.
  void PublishGauges();

 private:
  Dependencies dependencies;
};

}  // namespace fescueline
