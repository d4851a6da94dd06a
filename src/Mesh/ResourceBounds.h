#pragma once

#include <algorithm>
#include <cstddef>

#include "Http1/LoopHttpServer.h"
#include "Mesh/MeshSettings.h"

namespace fescueline {

/// Memory and connections that each listener of a node may use, derived from
/// the limits of its machine. A caller inside the limits of the configuration
/// meets none of them alone.
class ResourceBounds {
 public:
  explicit ResourceBounds(const MeshSettings& aSettings);

  /// Bytes held for callers of requests, and as many on the way to the target.
  size_t CallerBytes() const { return this->memory / kCallerPart; }
  size_t TargetBytes() const { return this->memory / kTargetPart; }
  /// Connections of callers. Those without a request use at most half of
  /// CallerBytes.
  size_t CallerConnections() const {
    return std::min(this->descriptors / 2,
                    this->CallerBytes() / 2 / LoopHttpServer::kConnectionBytes);
  }
  /// Connections to the listeners for readiness and reports, for each. The
  /// platform and the target need one each.
  size_t ControlConnections() const;
  /// Connections of other nodes whose handshake is not done. After a restart of
  /// the fleet, each node connects at the same moment.
  size_t PeerHandshakes() const { return this->descriptors / 4; }
  /// Bytes held for each of the listeners for readiness and reports.
  static constexpr size_t kControlBytes = size_t{2} << 20;
  /// Limits of requests to these listeners: a health check has no body, a
  /// report is short.
  static CallerLimits ControlLimits();

 private:
  static constexpr size_t kCallerPart = 4;
  static constexpr size_t kTargetPart = 4;

  size_t memory;
  size_t descriptors;
};

}  // namespace fescueline
