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
  /// `service`: service of the local target.
  std::string service;
  /// `target`: address of the local target.
  SocketAddress target;
  /// `listen.callers`: listener for requests of callers and of the local
  /// target.
  SocketAddress listenCallers;
  /// `listen.peers`: listener for connections from other nodes.
  SocketAddress listenPeers;
  /// `listen.ready`: listener for readiness and metrics.
  SocketAddress listenReady;
  /// `listen.reports`: listener for reports of the local target.
  SocketAddress listenReports;
  /// `fleet_secret`: shared secret with which nodes of the fleet authenticate
  /// each other. The platform supplies none; its network keeps outsiders out.
  std::string fleetSecret;
  /// `store`: address of the platform's store.
  SocketAddress store;
  /// `freshness_limit`: longest time for which a withdrawn key is still
  /// accepted.
  Duration freshnessLimit = std::chrono::milliseconds(4500);
  /// `drain_limit`: no request is sent to a leaving target after this time.
  Duration drainLimit = std::chrono::milliseconds(2000);
  /// `stop_limit`: longest time from SIGTERM to the end of the process.
  Duration stopLimit = std::chrono::seconds(6);
  /// `report_interval`: time between two reports of a target.
  Duration reportInterval = std::chrono::milliseconds(1500);
  /// `retry.ratio`, `retry.floor`, `retry.window`: fleet-wide limit on retries
  /// at one service.
  double retryRatio = 0.2;
  double retryFloor = 50;
  Duration retryWindow = std::chrono::seconds(10);
  /// `memory_limit`: memory of the machine, bytes. A quarter may be held for
  /// callers, and as much for requests on their way to the local target.
  uint64_t memoryLimit = uint64_t{160} << 20;
  /// `descriptor_limit`: file descriptors that the process may use. Half of
  /// them may be connections of callers. 0: the limit of the process.
  uint64_t descriptorLimit = 0;
};

/// Loads the settings from a file. Throws Error with the file, line and key of
/// each invalid entry.
MeshSettings LoadMeshSettings(const std::string& aPath);

}  // namespace fescueline
