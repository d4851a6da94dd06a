#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include "Mesh/ConfigHolder.h"
#include "Mesh/MeshFleet.h"
#include "Transport/Frames.h"

namespace fescueline {

/// Passes the configuration and the member rows between peers, for nodes that
/// the store does not answer. Runs on the loop.
class KnowledgeExchange {
 public:
  /// Construction parameters.
  struct Settings {
    ConfigHolder& config;
    MeshFleet& fleet;
    /// Puts a stored configuration in force if it is newer; with the peer.
    std::function<void(const std::string& aStored, const std::string& aNode)>
        onConfig;
    /// Rows of members, with the peer's table.
    std::function<void(const std::vector<FleetRowWire>&)> onRows;
  };

  explicit KnowledgeExchange(Settings aSettings)
      : settings(std::move(aSettings)) {}

  /// Takes the age of the peer's configuration over, or sends or asks for the
  /// newer one.
  void OnPong(const std::string& aNode, const StateWire& aState,
              TimePoint aPingSentAt);
  void Apply(const KnowledgeFrame& aFrame, const std::string& aNode);
  /// All that this node knows, or a request for what the peer knows.
  KnowledgeFrame Frame(bool aWanted) const;

 private:
  Settings settings;
  /// When knowledge was last sent to each node.
  std::unordered_map<std::string, TimePoint> sentAt;
};

}  // namespace fescueline
