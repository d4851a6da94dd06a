#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "LoadClient.h"

namespace fescueline {

/// Compares the latency of requests sent directly to a target with that of
/// requests sent through an entry node and the target's node, in alternating
/// time slices. Not thread-safe.
class PathMeasurement {
 public:
  struct Settings {
    asio::ip::tcp::endpoint direct;
    asio::ip::tcp::endpoint node;
    std::string path;
    std::string key;
    /// Process ids of the nodes: the entry node, then the target's node.
    std::vector<uint64_t> nodePids;
    /// Duration of the load per rate and path (direct, through the nodes).
    Duration length = std::chrono::seconds(5);
    /// Number of slices that the duration is divided into.
    int slices = 5;
  };

  explicit PathMeasurement(const Settings& aSettings);

  /// Measures one rate and returns the results, with times in milliseconds.
  nlohmann::json Measure(double aRate);

 private:
  /// Processor times of the nodes.
  std::vector<Duration> NodeTimes() const;

  Settings settings;
  asio::io_context io;
  LoadClient direct;
  LoadClient through;
  uint64_t nextSeed = 1;
};

}  // namespace fescueline
