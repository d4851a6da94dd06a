#pragma once

#include <asio.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Mesh/ConfigHolder.h"
#include "Mesh/FollowSchedule.h"
#include "Mesh/MemberTable.h"
#include "Mesh/MeshFleet.h"
#include "Mesh/PeerSync.h"
#include "Mesh/RelayTree.h"
#include "Mesh/RowStore.h"
#include "Mesh/TableFollower.h"

namespace fescueline {

/// A node's copies of the store's tables: the operator's configuration and the
/// member rows. Few nodes of a fleet read the store; the others learn changes
/// from their peers. Runs on the event loop.
class StoreReplica {
 public:
  struct Settings {
    asio::io_context& io;
    RowStore& store;
    ConfigHolder& config;
    MeshFleet& fleet;
    /// Name of this node.
    std::string node;
    /// Table and key of the operator's configuration.
    std::string configTable;
    std::string configKey;
    /// Nodes with a connection to this one.
    std::function<std::set<std::string>()> connectedNodes;
    /// Sends a frame to a connected node; returns false if there is none.
    std::function<bool(const std::string& aNode, const PeerSyncFrame&)> send;
    /// Whether this node's own row is in the store.
    std::function<bool()> isPublished;
    /// Receives a stored configuration and where it came from.
    std::function<void(const std::string& aStored, std::string_view aSource)>
        onConfig;
    /// Receives changed member rows, or all rows if aSnapshot.
    std::function<void(const std::vector<StoredRow>&, bool aSnapshot)>
        onMembers;
  };

  explicit StoreReplica(Settings aSettings);
  StoreReplica(const StoreReplica&) = delete;
  StoreReplica& operator=(const StoreReplica&) = delete;

  void Start();
  /// Starts calls to the store that have become due. Call every 300 ms.
  void Maintain();

  void OnPeerConnected(const std::string& aNode);
  void OnPeerState(const std::string& aNode, const StateWire& aState);
  void OnPong(const StateWire& aState, TimePoint aPingSentAt);
  void OnFrame(const std::string& aNode, const PeerSyncFrame& aFrame) {
    this->peerSync.OnFrame(aNode, aFrame);
  }

  /// Adds the version of the member rows to a state for a node that may learn
  /// them from this one.
  void Describe(const std::string& aReceiver, StateWire& aState) const;
  /// Whether a node waits for this one to announce changes.
  bool Announces(const std::string& aReceiver) const;
  /// Whether the member rows are known to be current.
  bool MembersAreCurrent() const;
  /// Rows of members that have been unreachable and that this node should
  /// remove now.
  std::vector<StoredRow> RowsToRemove();

 private:
  /// Whether this node follows the store for the fleet.
  bool IsPrimary() const { return this->primary; }
  /// Evaluates whether this node is a primary node.
  void UpdatePrimary();
  /// Whether a node that has just started waits for its peers to send the
  /// configuration.
  bool AwaitsConfig(TimePoint aNow) const;
  /// Reads the configuration soon after the first rows if no peer has sent it.
  void OnFirstRows();
  FollowMode ConfigMode();
  FollowMode MembersMode();
  /// Time since the member rows were last known to be current.
  Duration MembersAge() const;
  /// Whether a node without a known row has been connected for a while.
  bool HasUnknownPeer();
  void OnConfigRows(const std::vector<StoredRow>& aRows);
  void OnMemberRows(const std::vector<StoredRow>& aRows, bool aSnapshot);

  Settings settings;
  asio::steady_timer startTimer;
  TimePoint startedAt;
  /// When the first member rows were known.
  std::optional<TimePoint> firstRowsAt;
  bool primary = false;
  MemberTable members;
  RelayTree tree;
  BootTime membersConfirmedAt{};
  FollowSchedule configSchedule;
  FollowSchedule membersSchedule;
  PeerSync peerSync;
  TableFollower configFollower;
  TableFollower membersFollower;
  /// When a connected node was first seen without a row.
  std::map<std::string, TimePoint> unknownSince;
  /// When the removal of a row was last sent, by key.
  std::map<std::string, TimePoint> removalSentAt;
};

}  // namespace fescueline
