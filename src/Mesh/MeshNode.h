#pragma once

#include <asio.hpp>
#include <memory>
#include <string>

#include "Http1/LoopHttpServer.h"
#include "Mesh/EntryService.h"
#include "Mesh/KnowledgeExchange.h"
#include "Mesh/MemberPublisher.h"
#include "Mesh/MeshContext.h"
#include "Mesh/MeshFleet.h"
#include "Mesh/MeshPorts.h"
#include "Mesh/PlannedStop.h"
#include "Mesh/TableFollower.h"
#include "Mesh/TargetProbe.h"
#include "Mesh/TargetService.h"
#include "Mesh/TokenExchange.h"

namespace fescueline {

/// A node on one event loop, whose fleet shares its state through the
/// platform's store. Builds the parts and runs them until it is stopped.
class MeshNode {
 public:
  /// Binds all listeners. Throws Error if that fails.
  MeshNode(asio::io_context& aIo, MeshSettings aSettings, MeshPorts aPorts);
  MeshNode(const MeshNode&) = delete;
  MeshNode& operator=(const MeshNode&) = delete;

  void Start();
  /// Planned stop: not ready at once, serves on until callers have gone and
  /// what is in flight has ended; then ends the loop.
  void Stop();
  /// Rereads settings that can change while running.
  void Reload(const MeshSettings& aSettings);
  /// Whether callers should send requests here.
  bool IsReady() const;
  /// Targets that requests could be sent to.
  size_t KnownTargets() const { return this->fleet.UsableTargets(); }

 private:
  void Listen();
  void Every(Duration aPeriod, std::function<void()> aFunction);
  void OnReadyRequest(const HttpExchangePtr& aExchange);
  void OnReport(const HttpExchangePtr& aExchange);
  void OnConfigRows(const std::vector<StoredRow>& aRows);
  void OnFleetRows(const std::vector<StoredRow>& aRows, bool aSnapshot);
  /// Puts a stored configuration in force if it is newer.
  void ApplyConfig(const std::string& aStored, std::string_view aSource);
  void OnPeerMessage(const std::string& aNode, const DecodedFrame& aFrame);
  void OnSessionMessage(const PeerServer::SessionPtr& aSession,
                        const DecodedFrame& aFrame);
  /// Asks a target that was not heard of yet for its health.
  void ProbeTarget();
  void Maintain();
  /// Whether this node confirms the configuration for others or itself.
  bool NeedsConfirmation() const;
  /// Whether members may have changed unseen: the store does not answer, or a
  /// node connects whose row is not known, as after a connection to the store
  /// went silent.
  bool DoubtsMembers();
  void RemoveUnreachable();
  void End();
  PeerServer::Handlers PeerHandlers();

  asio::io_context& io;
  MeshSettings settings;
  MeshPorts ports;
  PeerIdentity self;
  Metrics metrics;
  ConfigHolder config;
  ThresholdTable thresholds;
  RunningRequests running;
  MeshContext context;
  LocalTargetState target;
  MeshFleet fleet;
  KnowledgeExchange knowledge;
  TokenExchange tokens;
  TargetService targetService;
  TargetProbe probe;
  EntryService entryService;
  MemberPublisher publisher;
  TableFollower configFollower;
  TableFollower fleetFollower;
  PlannedStop stop;
  std::unique_ptr<PeerServer> peerServer;
  std::unique_ptr<LoopHttpServer> callers;
  std::unique_ptr<LoopHttpServer> ready;
  std::unique_ptr<LoopHttpServer> reports;
  /// Whether the configuration was ever fresh in this process.
  bool wasFresh = false;
  bool lastReady = false;
};

}  // namespace fescueline
