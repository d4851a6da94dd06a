#pragma once

#include <asio.hpp>
#include <string>

#include "Admission/ThresholdTable.h"
#include "Mesh/ConfigHolder.h"
#include "Mesh/HeaderVocabulary.h"
#include "Mesh/MeshSettings.h"
#include "Mesh/RunningRequests.h"
#include "Node/Metrics.h"

namespace fescueline {

/// What the parts of a mesh node share. Outlives them; one thread.
struct MeshContext {
  asio::io_context& io;
  const MeshSettings& settings;
  const HeaderVocabulary& headers;
  ConfigHolder& config;
  Metrics& metrics;
  /// Thresholds of the services that requests reach, for early refusal.
  ThresholdTable& thresholds;
  /// Requests that the local target is running.
  RunningRequests& running;

  /// Whether the configuration is recent enough to run a request with a key.
  bool IsFresh() const {
    return this->config.Age(BootClock::now()) <= this->settings.freshnessLimit;
  }
};

}  // namespace fescueline
