#pragma once

#include <asio.hpp>
#include <string>

#include "Admission/ThresholdTable.h"
#include "Mesh/ConfigHolder.h"
#include "Mesh/HeaderNames.h"
#include "Mesh/MeshSettings.h"
#include "Mesh/RunningRequests.h"
#include "Node/Metrics.h"

namespace fescueline {

/// State that the components of a mesh node share. Outlives them. Not
/// thread-safe.
struct MeshContext {
  asio::io_context& io;
  const MeshSettings& settings;
  const HeaderNames& headers;
  ConfigHolder& config;
  Metrics& metrics;
  /// Admission thresholds of downstream services, for early refusal.
  ThresholdTable& thresholds;
  /// Requests that the local target is running.
  RunningRequests& running;

  /// Whether the configuration is recent enough to authenticate requests.
  bool IsFresh() const {
    return this->config.Age(BootClock::now()) <= this->settings.freshnessLimit;
  }
};

}  // namespace fescueline
