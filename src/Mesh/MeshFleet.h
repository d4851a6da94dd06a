#pragma once

#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Core/RandomSource.h"
#include "Mesh/MeshMember.h"
#include "Mesh/RelayTree.h"
#include "Mesh/RowStore.h"
#include "Routing/TargetPicker.h"
#include "Routing/TargetTable.h"
#include "Transport/PeerClient.h"

namespace fescueline {

/// The other nodes of the fleet: their rows, the connections to them, and the
/// state of their targets. Runs on the event loop.
class MeshFleet {
 public:
  using ClientPtr = std::shared_ptr<PeerClient>;

  /// A target and the connection to its node.
  struct Choice {
    TargetRef target;
    ClientPtr client;
    std::string node;
  };

  struct Settings {
    asio::io_context& io;
    PeerIdentity self;
    TargetTableSettings table;
    TargetPickerSettings picker;
    /// Called for each state received from a peer, with a pong or pushed.
    std::function<void(const std::string& aNode, const StateWire&)> onState;
    /// Called when a peer answers the ping that was sent at the given time.
    std::function<void(const std::string& aNode, const StateWire&,
                       TimePoint aPingSentAt)>
        onPong;
    /// Called for each frame of a peer that belongs to no stream.
    std::function<void(const std::string& aNode, const DecodedFrame&)>
        onMessage;
  };

  explicit MeshFleet(Settings aSettings);

  /// Replaces all rows.
  void OnSnapshot(const std::vector<StoredRow>& aRows);
  void OnChanges(const std::vector<StoredRow>& aRows);

  /// Handles an incoming connection from a node, which shows that its process
  /// runs: connects to it now unless it is connected or a connection attempt
  /// has just begun.
  void OnPeerUp(const std::string& aNode);

  /// Re-evaluates the health of targets. Call every 500 ms.
  void Tick(TimePoint aNow);
  /// Selects a target of the service that is not in aTried; nullopt if there is
  /// none.
  std::optional<Choice> Pick(const std::string& aService,
                             const std::vector<TargetRef>& aTried,
                             TimePoint aNow);
  CallTicket OnStart(TargetRef aTarget, TimePoint aNow) {
    return this->table.OnStart(aTarget, aNow);
  }
  void OnFinish(const CallTicket& aTicket, CallResult aResult, TimePoint aNow) {
    this->table.OnFinish(aTicket, aResult, aNow);
  }

  /// Number of targets that are ready and reachable.
  size_t UsableTargets() const;
  /// Number of known member rows.
  size_t Size() const { return this->members.size(); }
  bool HasMember(const std::string& aNode) const {
    return this->members.contains(aNode);
  }
  /// Names and data centres of all members.
  std::vector<RelayTree::Node> Nodes() const;
  /// Number of other nodes to which a connection is open.
  size_t ConnectedPeers() const;
  /// Whether a node is among the first aCount connected nodes, in the order of
  /// RankOf.
  bool IsAmongFirst(const std::string& aNode, size_t aCount) const;
  /// Like IsAmongFirst, but among all members, connected or not.
  bool IsAmongFirstMembers(const std::string& aNode, size_t aCount) const;
  /// Whether the node is among the first aCount reachable nodes whose targets
  /// are ready.
  bool IsAmongFirstReady(const std::string& aNode, size_t aCount) const;
  /// Open connection to a node; null if there is none.
  ClientPtr ClientOf(const std::string& aNode) const;
  /// Whether the node's host refused the last connection, so that no process of
  /// the node is running.
  bool IsDown(const std::string& aNode) const;
  /// Rows of nodes that have been unreachable for longer than aFor.
  std::vector<StoredRow> Unreachable(TimePoint aNow, Duration aFor) const;
  /// Closes all connections.
  void CloseAll();

 private:
  struct Member {
    MeshMember record;
    uint64_t version = 0;
    /// RankOf the node's name.
    uint64_t rank = 0;
    ClientPtr client;
    /// Start of the last connection attempt.
    TimePoint dialledAt{};
    /// Time of the next connection attempt, and the backoff after it.
    TimePoint nextDial{};
    Duration pause{};
    /// When the last state arrived from the node, or its row was first seen.
    TimePoint lastContact{};
    /// Whether the host refused the last connection attempt.
    bool refused = false;
  };

  static bool IsConnected(const Member& aMember) {
    return aMember.client && !aMember.client->IsClosed() &&
           aMember.client->IsReady();
  }
  /// Whether a node's target is ready and reachable.
  bool IsReady(const std::string& aNode) const;
  /// Whether fewer than aCount of the other nodes for which aPredicate is true
  /// have a lower rank than aNode.
  template <typename F>
  bool IsAmongFirstOf(const std::string& aNode, size_t aCount,
                      F aPredicate) const;
  void Apply(const StoredRow& aRow);
  void Remove(const std::string& aNode);
  void Dial(Member& aMember, TimePoint aNow);
  /// Connects to the members whose backoff has elapsed, and sets the timer for
  /// the next one.
  void DialDue();
  void OnState(const std::string& aNode, const StateWire& aState,
               const std::string& aIncarnation);
  void OnClosed(const std::string& aNode, const ClientPtr& aClient,
                const std::string& aReason);

  Settings settings;
  std::map<std::string, Member> members;
  TargetTable table;
  TargetPicker picker;
  asio::steady_timer dialTimer;
};

}  // namespace fescueline
