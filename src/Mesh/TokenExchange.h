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

/// Both sides of the organisations' rates at a node: the tokens that it holds
/// and asks for, and those that it issues while it has the issuer's lease.
/// Runs on the loop.
class TokenExchange {
 public:
  /// Construction parameters.
  struct Settings {
    asio::io_context& io;
    ConfigHolder& config;
    MeshFleet& fleet;
    const LocalTargetState& target;
    RowStore& store;
    /// Name of this node and incarnation of its process.
    std::string node;
    Id128 incarnation;
    /// Nodes that are connected to this one.
    std::function<std::set<std::string>()> connectedNodes;
    /// This node has begun or ceased to issue tokens.
    std::function<void()> onIssuing;
  };

  explicit TokenExchange(Settings aSettings);
  TokenExchange(const TokenExchange&) = delete;
  TokenExchange& operator=(const TokenExchange&) = delete;

  GrantHolder& Grants() { return this->grants; }
  /// Whether this node issues tokens now.
  bool IsIssuing() const { return this->lease.IsHeld(BootClock::now()); }

  /// Passes the rates of the configuration and the fleet's size on.
  void ApplyLimits();
  /// A peer told whether it issues tokens.
  void OnPeerState(const std::string& aNode, bool aIssuing);
  /// The issuer has answered.
  void OnGrant(const TokenGrantFrame& aGrant);
  /// Answers a node that asks for tokens.
  TokenGrantFrame Grant(const TokenRequestFrame& aRequest);
  /// Looks after the lease and the reach of this node; call every 300 ms.
  void Maintain();
  /// Gives the lease up for a planned stop.
  void Release() { this->lease.Release(); }

 private:
  /// Tells the issuer, if this node is one, how many nodes reach it.
  void ApplyReach();
  void OnLeaseChange(bool aHeld);
  bool Ask(const std::string& aOrganisation,
           const GrantHolder::Question& aQuestion);
  /// Serves the requests that wait for tokens until there are none.
  void ScheduleTick();
  /// Node that issues tokens as far as known; empty if none.
  std::string IssuerNode() const;
  /// Whether no issuer counts on this node to ask it.
  bool IsWithoutIssuer() const;
  /// Whether this node may take the lease.
  bool IsCandidate(TimePoint aNow) const;

  Settings settings;
  GrantIssuer issuer;
  GrantHolder grants;
  IssuerLease lease;
  asio::steady_timer timer;
  bool timerRunning = false;
  TimePoint startedAt = SteadyClock().Now();
  /// Peer that last said that it issues tokens, and when.
  std::string issuerHeard;
  TimePoint issuerHeardAt{};
};

}  // namespace fescueline
