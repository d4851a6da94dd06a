#pragma once

#include <asio.hpp>
#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include "Node/AdminApi.h"
#include "Node/ConfigSync.h"
#include "Node/EntryHandler.h"
#include "Node/FleetMaintenance.h"
#include "Node/Gossip.h"
#include "Node/NodeStatus.h"
#include "Node/TableClaims.h"
#include "Node/TargetHandler.h"
#include "Node/TaskThread.h"
#include "Platform/MemoryTableStore.h"
#include "Settings/NodeSettings.h"
#include "Transport/ControlSocket.h"

namespace fescueline {

/// Tables of an embedded platform, shared by the nodes of one process.
struct EmbeddedTables {
  std::shared_ptr<MemoryTableStore> config;
  std::shared_ptr<MemoryTableStore> claims;
};

/// One node: builds its components, listeners and threads from the settings and
/// runs them until it is stopped.
class Node {
 public:
  /// Binds all listeners. Throws Error if that fails. aTables is used when
  /// the settings say "embedded"; a private one is made if it is empty.
  explicit Node(NodeSettings aSettings, EmbeddedTables aTables = {});
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  /// Shuts down without draining if Stop was not called.
  ~Node();

  /// Starts the threads.
  void Start();
  /// Planned stop: accepts no new requests, completes those in flight within
  /// the drain deadline, leaves the fleet and ends the threads. True if no
  /// request was aborted.
  bool Stop();
  /// Whether callers' requests to routes that require a key are served.
  bool IsReady();

  uint16_t CallerPort() const { return this->callers->Port(); }
  uint16_t TargetPort() const { return this->localTarget->Port(); }
  uint16_t AdminPort() const { return this->admin->Port(); }

 private:
  /// Client of a table, embedded or remote.
  TableClient MakeTable(const std::string& aTable) const;
  void Listen();
  void OnConfig(const std::shared_ptr<const ConfigSnapshot>& aSnapshot,
                TimePoint aOldUsableUntil);
  void OnControl(const ControlMessage& aMessage);
  void SendShare(const ShareMessage& aMessage);
  bool SendControl(const std::string& aUrl, ControlKind aKind,
                   const std::string& aPayload);
  void OnLocalRequest(HttpExchangePtr aExchange);
  /// Runs a function on the worker pool every aPeriod until the node stops.
  void RunEvery(Duration aPeriod, std::function<void()> aFunction);
  /// Applies all changes of the table; the client's exceptions are passed on.
  void Refresh(TableClient& aTable);
  /// Whether this node reads the table itself now (`ShouldReadTable`).
  bool NeedsTableRead();
  void ReadTable();
  void Maintain();
  void ConnectPeers();
  /// Pulls from the members whose liveness this node watches.
  void Watch();
  bool WaitUntilIdle();
  void Shutdown();

  NodeSettings settings;
  PeerIdentity self;
  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  EmbeddedTables tables;
  Metrics metrics;
  ConfigReplica config;
  ConfigFreshness freshness;
  ConfigSync sync;
  /// Clients of the configuration table, one per thread that uses it.
  TableClient readTable;
  TableClient writeTable;
  TableClaims claims;
  HttpClient http;
  LocalTarget target;
  AttemptRegistry attempts;
  FleetView fleet;
  PeerPool peers;
  ShareManager shares;
  TargetHandler targetHandler;
  EntryHandler entryHandler;
  Gossip gossip;
  std::unique_ptr<FleetMaintenance> maintenance;
  std::unique_ptr<NodeStatus> status;
  std::unique_ptr<AdminApi> adminApi;
  std::unique_ptr<PeerServer> peerServer;
  std::unique_ptr<ControlSocket> control;
  /// Listeners for callers, the local target and operators.
  std::unique_ptr<HttpServer> callers;
  std::unique_ptr<HttpServer> localTarget;
  std::unique_ptr<HttpServer> admin;
  /// Configuration before the last change; used by OnConfig only.
  std::shared_ptr<const ConfigSnapshot> lastSnapshot;
  /// Threads for blocking calls to the table service.
  TaskThread reader;
  TaskThread writer;
  /// Worker pool.
  std::vector<std::thread> workers;
  /// Whether a table read or a maintenance round is queued or running.
  std::atomic<bool> reading{false};
  std::atomic<bool> maintaining{false};
  std::atomic<bool> stopping{false};
  bool stopped = false;
};

}  // namespace fescueline
