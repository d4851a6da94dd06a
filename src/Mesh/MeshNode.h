#pragma once

#include <asio.hpp>
#include <memory>
#include <string>

#include "Http1/LoopHttpServer.h"
#include "Mesh/EntryService.h"
#include "Mesh/MemberPublisher.h"
#include "Mesh/MeshContext.h"
#include "Mesh/MeshFleet.h"
#include "Mesh/PlannedStop.h"
#include "Mesh/PlatformBindings.h"
#include "Mesh/StoreReplica.h"
#include "Mesh/TargetProbe.h"
#include "Mesh/TargetService.h"
#include "Mesh/TokenExchange.h"

namespace fescueline {

/// A node of a fleet that shares its state through the platform's store. Owns
/// the components and runs them on one event loop until it is stopped.
class MeshNode {
 public:
  /// Binds all listeners. Throws Error if that fails.
  MeshNode(asio::io_context& aIo, MeshSettings aSettings,
           PlatformBindings aBindings);
  MeshNode(const MeshNode&) = delete;
  MeshNode& operator=(const MeshNode&) = delete;

  void Start();
  /// Begins a planned stop: the node reports itself not ready at once, serves
  /// until callers have stopped sending and all requests in flight have ended,
  /// and then stops the event loop.
  void Stop();
  /// Applies the settings that can change at run time.
  void Reload(const MeshSettings& aSettings);
  /// Counts an exception that left an event handler.
  void OnHandlerFailure() { this->metrics.CountHandlerFailure(); }
  /// Whether callers should send requests to this node.
  bool IsReady() const;
  /// Number of targets that are ready and reachable.
  size_t KnownTargets() const { return this->fleet.UsableTargets(); }

 private:
  void Listen();
  void CountShed(std::string_view aListener, ShedReason aReason);
  void RunEvery(Duration aPeriod, std::function<void()> aFunction);
  void OnReadyRequest(const HttpExchangePtr& aExchange);
  void OnReport(const HttpExchangePtr& aExchange);
  void OnFleetRows(const std::vector<StoredRow>& aRows, bool aSnapshot);
  /// Applies a stored configuration if it is newer than the current one.
  void ApplyConfig(const std::string& aStored, std::string_view aSource);
  void OnPeerMessage(const std::string& aNode, const DecodedFrame& aFrame);
  void OnSessionMessage(const PeerServer::SessionPtr& aSession,
                        const DecodedFrame& aFrame);
  /// Queries the health of the local target if it has not reported yet, or if
  /// its reports are not confirmed.
  void ProbeTarget();
  void Maintain();
  /// Tells the nodes that learn changes from this one that there are some.
  void AnnounceChange();
  /// Sends a frame on a connection in either direction; returns false if there
  /// is none.
  bool SendToPeer(const std::string& aNode, const PeerSyncFrame& aFrame);
  void RemoveUnreachable();
  /// Whether a request is in progress, or any byte of a response still has to
  /// be written to a caller or another node.
  bool OwesResponses() const;
  void End();
  PeerServer::Handlers PeerHandlers();

  asio::io_context& io;
  MeshSettings settings;
  PlatformBindings bindings;
  PeerIdentity self;
  Metrics metrics;
  ConfigHolder config;
  ThresholdTable thresholds;
  RunningRequests running;
  MeshContext context;
  LocalTargetState target;
  MeshFleet fleet;
  StoreReplica replica;
  TokenExchange tokens;
  TargetService targetService;
  TargetProbe probe;
  EntryService entryService;
  MemberPublisher publisher;
  PlannedStop stop;
  std::unique_ptr<PeerServer> peerServer;
  std::unique_ptr<LoopHttpServer> callers;
  std::unique_ptr<LoopHttpServer> ready;
  std::unique_ptr<LoopHttpServer> reports;
  /// Whether the configuration has been fresh at least once in this process.
  bool wasFresh = false;
  /// Readiness that was last reported, to log only changes.
  bool lastReady = false;
};

}  // namespace fescueline
