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
#include "Mesh/RowStore.h"
#include "Routing/TargetPicker.h"
#include "Routing/TargetTable.h"
#include "Transport/PeerClient.h"

namespace fescueline {

/// The other nodes: their rows, this node's connections to them, and what is
/// known of the targets beside them. Runs on the loop.
class MeshFleet {
 public:
  using ClientPtr = std::shared_ptr<PeerClient>;

  /// A target and the connection to the node beside it.
  struct Choice {
    TargetRef target;
    ClientPtr client;
    std::string node;
  };

  /// Construction parameters.
  struct Settings {
    asio::io_context& io;
    PeerIdentity self;
    TargetTableSettings table;
    TargetPickerSettings picker;
    /// A peer told its state, with a pong or because it changed.
    std::function<void(const std::string& aNode, const StateWire&)> onState;
    /// A peer answered a ping that left at that time.
    std::function<void(const std::string& aNode, const StateWire&,
                       TimePoint aPingSentAt)>
        onPong;
    /// A frame without a stream arrived from a peer.
    std::function<void(const std::string& aNode, const DecodedFrame&)>
        onMessage;
  };

  explicit MeshFleet(Settings aSettings);

  /// Replaces all rows, as of a version of the table, or applies changed ones.
  void OnSnapshot(const std::vector<StoredRow>& aRows, uint64_t aVersion);
  void OnChanges(const std::vector<StoredRow>& aRows);
  /// Rows learned from a peer: those that were written after what this node
  /// has read of the table are applied, none is removed.
  void OnPeerRows(const std::vector<FleetRowWire>& aRows);

  /// A node has connected to this one, so its process runs: connects to it now
  /// unless a connection is there or has just been begun.
  void OnPeerUp(const std::string& aNode);

  /// Judges targets; call every 500 ms.
  void Tick(TimePoint aNow);
  /// A target of the service outside aTried; nothing if there is none.
  std::optional<Choice> Pick(const std::string& aService,
                             const std::vector<TargetRef>& aTried,
                             TimePoint aNow);
  CallTicket OnStart(TargetRef aTarget, TimePoint aNow) {
    return this->table.OnStart(aTarget, aNow);
  }
  void OnFinish(const CallTicket& aTicket, CallResult aResult, TimePoint aNow) {
    this->table.OnFinish(aTicket, aResult, aNow);
  }

  /// Targets that are in use.
  size_t UsableTargets() const;
  /// Number of member rows.
  size_t Size() const { return this->members.size(); }
  bool Knows(const std::string& aNode) const {
    return this->members.contains(aNode);
  }
  /// Whether a node is among the first that are alive, by a hash of the names
  /// so that each data centre has some.
  bool IsAmongFirst(const std::string& aNode, size_t aCount) const;
  /// The same among those whose targets are ready.
  bool IsAmongFirstReady(const std::string& aNode, size_t aCount) const;
  /// Connection to a node; null if there is none.
  ClientPtr ClientOf(const std::string& aNode) const;
  /// Whether the node's host answered that no process of it is running.
  bool IsDown(const std::string& aNode) const;
  /// Rows to pass on to a peer.
  std::vector<FleetRowWire> Rows() const;
  /// Rows of nodes that could not be reached for aFor.
  std::vector<StoredRow> Unreachable(TimePoint aNow, Duration aFor) const;
  /// Ends all connections.
  void CloseAll();

 private:
  struct Member {
    MeshMember record;
    std::string value;
    uint64_t version = 0;
    ClientPtr client;
    /// When the last connection was begun.
    TimePoint dialledAt{};
    /// Next time to connect, and the pause before it.
    TimePoint nextDial{};
    Duration pause{};
    /// When the node was last heard from, or its row first seen.
    TimePoint lastHeard{};
    /// Whether the last connection was refused.
    bool refused = false;
  };

  static bool IsAlive(const Member& aMember) {
    return aMember.client && !aMember.client->IsClosed();
  }
  /// Whether the target beside a node is in use.
  bool IsReady(const std::string& aNode) const;
  /// Whether fewer than aCount of the other nodes that aCounts admits come
  /// before aNode in the order of a hash of the names.
  template <typename F>
  bool IsAmongFirstOf(const std::string& aNode, size_t aCount, F aCounts) const;
  void Apply(const StoredRow& aRow);
  void Remove(const std::string& aNode);
  void Dial(Member& aMember, TimePoint aNow);
  /// Connects to the members that are due, and sets the timer for the next.
  void DialDue();
  void OnState(const std::string& aNode, const StateWire& aState,
               const std::string& aIncarnation);
  void OnClosed(const std::string& aNode, const ClientPtr& aClient,
                const std::string& aReason);

  Settings settings;
  std::map<std::string, Member> members;
  /// Version up to which this node has read the table from the store.
  uint64_t readUpTo = 0;
  TargetTable table;
  TargetPicker picker;
  asio::steady_timer dialTimer;
};

}  // namespace fescueline
