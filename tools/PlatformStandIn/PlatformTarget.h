#pragma once

#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Core/Time.h"
#include "Http1/ConnectionPool.h"
#include "Http1/LoopHttpServer.h"

namespace fescueline {

/// Stand-in for a target of the platform, written from its published protocol.
/// It reports to its node, runs requests in slots, makes downstream calls, and
/// records its runs. Runs on the event loop.
class PlatformTarget {
 public:
  /// Record of a run.
  struct Run {
    std::string requestId;
    std::string service;
    std::string organisation;
    /// Whether a header of the request contained one of the keys set by
    /// SetKeys.
    bool sawKey = false;
    TimePoint at;
  };

  struct Settings {
    asio::io_context& io;
    /// Port to listen on; 0 picks one.
    uint16_t port = 0;
    std::string service;
    /// Number of requests that run concurrently. As many again are queued;
    /// others are rejected.
    uint32_t slots = 10;
    Duration work = std::chrono::milliseconds(10);
    /// Ports of the node's listeners for reports and for callers.
    uint16_t reportPort = 0;
    uint16_t callPort = 0;
    /// Host and path of the downstream call made by each run; none if the path
    /// is empty.
    std::string callHost;
    std::string callPath;
    Duration reportInterval = std::chrono::milliseconds(200);
    /// Whether the target sends reports.
    bool reports = true;
    /// Called at the start of each run.
    std::function<void(const Run&)> onRun;
  };

  explicit PlatformTarget(Settings aSettings);

  uint16_t Port() const { return this->server.Port(); }
  const std::string& Id() const { return this->id; }
  uint64_t Runs() const { return this->runs; }
  /// High-water mark of running and queued requests.
  uint32_t Peak() const { return this->peak; }
  /// Reports itself as draining from now on; see DrainedAt.
  void Drain() { this->draining = true; }
  /// When the node acknowledged a report of draining; nullopt before.
  std::optional<TimePoint> DrainedAt() const { return this->drainedAt; }
  /// Simulates a restart: continues as a new process.
  void Restart();
  void SetWork(Duration aWork) { this->settings.work = aWork; }
  /// Appends padding to response bodies.
  void SetPadding(size_t aBytes) { this->padding = aBytes; }
  /// Sets the share of the requests that are rejected as not run.
  void SetShed(double aShare) { this->shedShare = aShare; }
  /// Sets the share of the responses that are lost after the run.
  void SetLose(double aShare) { this->loseShare = aShare; }
  /// Sets the keys that Run::sawKey detects; none may reach a target.
  void SetKeys(std::vector<std::string> aKeys) {
    this->keys = std::move(aKeys);
  }

 private:
  void OnRequest(const HttpExchangePtr& aExchange);
  void Begin(const HttpExchangePtr& aExchange);
  void CallThenAnswer(const HttpExchangePtr& aExchange);
  void Answer(const HttpExchangePtr& aExchange, int aStatus);
  void End();
  void Report();
  void SendReport();

  Settings settings;
  LoopHttpServer server;
  std::unique_ptr<ConnectionPool> reportPool;
  std::unique_ptr<ConnectionPool> callPool;
  asio::steady_timer reportTimer;
  std::string id;
  uint64_t startedAt = 0;
  uint64_t sequence = 0;
  bool draining = false;
  std::optional<TimePoint> drainedAt;
  uint32_t running = 0;
  std::vector<HttpExchangePtr> waiting;
  uint64_t runs = 0;
  uint32_t peak = 0;
  uint64_t calls = 0;
  size_t padding = 0;
  double shedShare = 0;
  double loseShare = 0;
  std::vector<std::string> keys;
};

}  // namespace fescueline
