#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "Mesh/ConfigHolder.h"
#include "Mesh/MemberTable.h"
#include "Mesh/RelayTree.h"
#include "Transport/Frames.h"

namespace fescueline {

/// Exchanges the configuration and the member rows between peers, so that few
/// nodes have to read the store. Nodes compare versions and request what they
/// lack from one peer at a time: from their parent in the relay tree, or from
/// any peer if the parent does not have it in time. Runs on the event loop.
class PeerSync {
 public:
  struct Settings {
    ConfigHolder& config;
    MemberTable& members;
    const RelayTree& tree;
    /// Name of this node.
    std::string node;
    /// Sends a frame to a connected node; returns false if there is none.
    std::function<bool(const std::string& aNode, const PeerSyncFrame&)> send;
    /// Receives the stored configuration of the peer aNode, to apply it if it
    /// is newer.
    std::function<void(const std::string& aStored, const std::string& aNode)>
        onConfig;
    /// Receives changes that this node's table has taken from a peer.
    std::function<void(const MemberChanges&)> onMembers;
    /// Called when a peer has confirmed that the member rows were current at
    /// that time.
    std::function<void(BootTime)> onMembersConfirmed;
  };

  explicit PeerSync(Settings aSettings) : settings(std::move(aSettings)) {}

  /// Handles a connection from a node, of which no state is known yet.
  void OnConnected(const std::string& aNode, TimePoint aNow);
  /// Requests what the peer knows and this node does not.
  void OnState(const std::string& aNode, const StateWire& aState,
               TimePoint aNow);
  /// Adopts the ages of the peer's copies if they are the same as this node's.
  void OnPong(const StateWire& aState, TimePoint aPingSentAt, TimePoint aNow);
  /// Handles a request or the reply to one.
  void OnFrame(const std::string& aNode, const PeerSyncFrame& aFrame);

 private:
  /// A request that has not been answered.
  struct Pending {
    std::string node;
    TimePoint sentAt;
    BootTime bootSentAt;
    /// Whether the peer is known to have a configuration.
    bool hasConfig = false;
    /// Rows of a reply in several frames.
    MemberChanges changes;
  };

  bool IsNewer(const StateWire& aState, TimePoint aNow) const;
  /// Whether another complete table may be sent now.
  bool MaySendComplete(TimePoint aNow);
  /// Whether this node may send a request to aNode now.
  bool MayRequest(const std::string& aNode, TimePoint aNow);
  void Request(const std::string& aNode, TimePoint aNow, bool aHasConfig);
  void Reply(const std::string& aNode, const PeerSyncFrame& aRequest);
  void OnRows(const PeerSyncFrame& aFrame);
  /// Adopts the ages of the copies in the reply.
  void Confirm(const PeerSyncFrame& aFrame);

  Settings settings;
  std::optional<Pending> pending;
  /// When a peer first showed something that this node still lacks.
  std::optional<TimePoint> lackingSince;
  /// When the last rows arrived.
  std::optional<TimePoint> rowsAt;
  /// Start of the current period of replies, and complete tables sent in it.
  TimePoint repliesSince{};
  size_t completeReplies = 0;
};

}  // namespace fescueline
