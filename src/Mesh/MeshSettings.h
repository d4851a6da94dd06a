#pragma once

#include <cstdint>
#include <string>

#include "Core/Time.h"
#include "Settings/SocketAddress.h"

namespace fescueline {

/// Settings of one mesh node, as loaded from its YAML file.
struct MeshSettings {
  /// `node`: name of the node, unique in the fleet.
  std::string node;
  /// `data_centre`
  std::string dataCentre;
  /// `region`
  std::string region;
  /// `service`: service of the target beside the node.
  std::string service;
  /// `target`: address of that target.
  SocketAddress target;
  /// `listen.callers`: requests of callers and of the local target.
  SocketAddress listenCallers;
  /// `listen.peers`: connections of other nodes.
  SocketAddress listenPeers;
  /// `listen.ready`: readiness and metrics.
  SocketAddress listenReady;
  /// `listen.reports`: the local target's reports.
  SocketAddress listenReports;
  /// `fleet_secret`: what all nodes of the fleet prove to each other. The
  /// platform gives none; its network keeps others out.
  std::string fleetSecret;
  /// `store`: address of the platform's store.
  SocketAddress store;
  /// `freshness_limit`: a withdrawn key works for at most this long.
  Duration freshnessLimit = std::chrono::milliseconds(4500);
  /// `drain_limit`: nothing is passed to a leaving target after this time.
  Duration drainLimit = std::chrono::milliseconds(2000);
  /// `stop_limit`: time from SIGTERM to the end of the process.
  Duration stopLimit = std::chrono::seconds(6);
  /// `report_interval`: time between two reports of a target.
  Duration reportInterval = std::chrono::milliseconds(1500);
  /// `retry.ratio`, `retry.floor`, `retry.window`: fleet-wide bound on repeats
  /// at one service.
  double retryRatio = 0.2;
  double retryFloor = 50;
  Duration retryWindow = std::chrono::seconds(10);
};

/// Loads a file; throws Error that names file, line and key of each mistake.
MeshSettings LoadMeshSettings(const std::string& aPath);

}  // namespace fescueline
