#pragma once

#include <asio.hpp>
#include <functional>
#include <set>
#include <string>

#include "Core/Identifiers.h"
#include "Limits/GrantHolder.h"
#include "Limits/GrantIssuer.h"
#include "Mesh/ConfigHolder.h"
#include "Mesh/IssuerLease.h"
#include "Mesh/LocalTargetState.h"
#include "Mesh/MeshFleet.h"
#include "Mesh/RowStore.h"
#include "Transport/Frames.h"

namespace fescueline {

/// Both sides of the organisations' rate limits at a node: the tokens that it
/// holds and requests, and those that it issues while it holds the issuer's
/// lease. Runs on the event loop.
class TokenExchange {
 public:
  struct Settings {
    asio::io_context& io;
    ConfigHolder& config;
    MeshFleet& fleet;
    const LocalTargetState& target;
    RowStore& store;
    /// Name of this node and incarnation of its process.
    std::string node;
    Id128 incarnation;
    /// Returns the nodes that are connected to this one.
    std::function<std::set<std::string>()> connectedNodes;
    /// Called when this node has begun or ceased to issue tokens.
    std::function<void()> onIssuing;
  };

  explicit TokenExchange(Settings aSettings);
  TokenExchange(const TokenExchange&) = delete;
  TokenExchange& operator=(const TokenExchange&) = delete;

  GrantHolder& Grants() { return this->grants; }
  /// Whether this node issues tokens now.
  bool IsIssuing() const { return this->lease.IsHeld(BootClock::now()); }

  /// Applies the configured rates and the size of the fleet.
  void ApplyLimits();
  /// Handles a change of the members.
  void OnMembers();
  /// Handles a peer's state: whether it issues tokens.
  void OnPeerState(const std::string& aNode, bool aIsIssuer);
  /// Handles the issuer's reply to a token request.
  void OnGrant(const TokenGrantFrame& aGrant);
  /// Issues tokens for a request of a node.
  TokenGrantFrame Grant(const TokenRequestFrame& aRequest);
  /// Maintains the lease and the number of reachable nodes. Call every
  /// 300 ms.
  void Maintain();
  /// Releases the lease for a planned stop.
  void Release() { this->lease.Release(); }

 private:
  /// If this node is the issuer, updates the number of nodes that reach it.
  void ApplyReachableNodes();
  void OnLeaseChange(bool aHeld);
  bool RequestTokens(const std::string& aOrganisation,
                     const GrantHolder::Request& aRequest);
  /// Runs the timer that serves waiting requests, until none waits.
  void ScheduleTick();
  /// Node that this node considers the issuer of tokens; empty if it knows
  /// none.
  std::string IssuerNode() const;
  /// Whether no issuer regards this node as reachable, so that the node may use
  /// its fixed part of the rates.
  bool IsIsolated() const;
  /// Whether this node may acquire the lease.
  bool IsCandidate(TimePoint aNow) const;

  Settings settings;
  GrantIssuer issuer;
  GrantHolder grants;
  IssuerLease lease;
  asio::steady_timer timer;
  bool timerRunning = false;
  /// Number of members for which the limits were last applied.
  size_t appliedMembers = 0;
  /// When this node first reads the lease; unset until members are known.
  std::optional<TimePoint> firstReadAt;
  /// Peer that last announced that it issues tokens, and when.
  std::string lastIssuer;
  TimePoint lastIssuerSeenAt{};
};

}  // namespace fescueline
