#pragma once

#include <array>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>

#include "Config/ConfigApi.h"
#include "Node/Gossip.h"
#include "Node/Metrics.h"
#include "Node/TableClient.h"
#include "Node/TaskThread.h"
#include "Transport/HttpServer.h"

namespace fescueline {

/// Serves the admin listener: metrics, health and readiness without
/// authentication, and the operators' API with the operator credential.
/// Thread-safe.
class AdminApi {
 public:
  /// References must outlive the object.
  struct Dependencies {
    Secret credential;
    ConfigReplica& config;
    Gossip& gossip;
    Metrics& metrics;
    /// Creates a client of the configuration table; called once per thread.
    std::function<TableClient()> makeTable;
    /// Updates the replica from the table through a client.
    std::function<void(TableClient&)> refresh;
    std::function<bool()> isReady;
    std::function<std::string()> notReadyReason;
    /// State of the node for `GET /v1/status`.
    std::function<nlohmann::json()> status;
    /// Longest wait for a change to be in force on all nodes.
    Duration acceptanceLimit = std::chrono::seconds(15);
  };

  explicit AdminApi(Dependencies aDependencies);

  void Handle(const HttpExchangePtr& aExchange);
  /// Stops the worker threads.
  void Stop();

 private:
  /// A change occupies its worker until it is in force, so several workers
  /// handle changes concurrently.
  static constexpr size_t kWorkers = 5;
  /// Worker for read-only requests.
  static constexpr size_t kReadWorker = 0;

  /// A thread with its own table client and API.
  struct Worker {
    TableClient table;
    std::unique_ptr<ConfigApi<TableClient>> api;
    TaskThread thread;
  };

  std::unique_ptr<Worker> MakeWorker();
  Worker& WorkerFor(const HttpRequest& aRequest);
  bool AwaitAcceptance(TableClient& aTable, uint64_t aVersion);

  Dependencies dependencies;
  std::array<std::unique_ptr<Worker>, kWorkers> workers;
};

}  // namespace fescueline
