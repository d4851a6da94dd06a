#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "LoadClient.h"

namespace fescueline {

/// Compares requests sent directly to a target with requests sent through an
/// entry node and the target's node, in alternating slices. One thread.
class PathMeasurement {
 public:
  /// Construction parameters.
  struct Settings {
    asio::ip::tcp::endpoint direct;
    asio::ip::tcp::endpoint node;
    std::string path;
    std::string key;
    /// Processes of the nodes: entry node, then target's node.
    std::vector<uint64_t> nodePids;
    /// Time of load at each rate on each way.
    Duration length = std::chrono::seconds(5);
    /// Slices that the time is divided into.
    int slices = 5;
  };

  explicit PathMeasurement(const Settings& aSettings);

  /// Measures one rate and returns the figures, times in milliseconds.
  nlohmann::json Measure(double aRate);

 private:
  std::vector<Duration> NodeTimes() const;

  Settings settings;
  asio::io_context io;
  LoadClient direct;
  LoadClient through;
  uint64_t nextSeed = 1;
};

}  // namespace fescueline
