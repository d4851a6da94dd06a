#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include "Mesh/ConfigHolder.h"
#include "Mesh/MeshFleet.h"
#include "Transport/Frames.h"

namespace fescueline {

/// Synchronises the configuration and the member rows between peers, for nodes
/// that cannot reach the store. Runs on the event loop.
class PeerSync {
 public:
  struct Settings {
    ConfigHolder& config;
    MeshFleet& fleet;
    /// Receives the stored configuration of the peer aNode, to apply it if it
    /// is newer.
    std::function<void(const std::string& aStored, const std::string& aNode)>
        onConfig;
    /// Receives the peer's member rows.
    std::function<void(const std::vector<FleetRowWire>&)> onRows;
  };

  explicit PeerSync(Settings aSettings) : settings(std::move(aSettings)) {}

  /// Adopts the age of the peer's configuration if the versions are equal.
  /// Otherwise sends or requests the newer version.
  void OnPong(const std::string& aNode, const StateWire& aState,
              TimePoint aPingSentAt);
  void Apply(const PeerSyncFrame& aFrame, const std::string& aNode);
  /// Frame with this node's configuration and member rows, or a request for
  /// those of the peer if aWantsReply.
  PeerSyncFrame Frame(bool aWantsReply) const;

 private:
  Settings settings;
  /// When the last frame was sent to each node.
  std::unordered_map<std::string, TimePoint> sentAt;
};

}  // namespace fescueline
