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

/// The admin listener: metrics, health and readiness for everyone, and the
/// operators' API for those with the credential. Thread-safe.
class AdminApi {
 public:
  /// Construction parameters; references outlive the object.
  struct Dependencies {
    Secret credential;
    ConfigReplica& config;
    Gossip& gossip;
    Metrics& metrics;
    /// Makes a client of the configuration table; called once per thread.
    std::function<TableClient()> makeTable;
    /// Brings the replica up to the table through a client.
    std::function<void(TableClient&)> refresh;
    std::function<bool()> isReady;
    /// Why the node is not ready.
    std::function<std::string()> whyNotReady;
    /// State of the node for `GET /v1/status`.
    std::function<nlohmann::json()> status;
    /// Longest wait until a change is in force everywhere.
    Duration acceptanceLimit = std::chrono::seconds(15);
  };

  explicit AdminApi(Dependencies aDependencies);

  /// Handles one request.
  void Handle(const HttpExchangePtr& aExchange);
  /// Ends the threads.
  void Stop();

 private:
  /// Changes wait until they are in force, so several go on side by side.
  static constexpr size_t kLanes = 5;
  /// The lane of requests that change nothing.
  static constexpr size_t kReadLane = 0;

  /// A thread with a table client and an API of its own.
  struct Lane {
    TableClient table;
    std::unique_ptr<ConfigApi<TableClient>> api;
    TaskThread thread;
  };

  std::unique_ptr<Lane> MakeLane();
  Lane& LaneFor(const HttpRequest& aRequest);
  bool AwaitAcceptance(TableClient& aTable, uint64_t aVersion);

  Dependencies dependencies;
  std::array<std::unique_ptr<Lane>, kLanes> lanes;
};

}  // namespace fescueline
