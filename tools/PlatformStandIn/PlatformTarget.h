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

/// A target of the platform, written from its published protocol: reports to
/// the node beside it, runs requests in slots, makes calls of its own, and
/// records what it ran. Runs on the loop.
class PlatformTarget {
 public:
  /// A run, as its owner may want to judge it.
  struct Run {
    std::string requestId;
    std::string service;
    std::string organisation;
    /// Whether anything in the request looked like a caller's key.
    bool sawKey = false;
    TimePoint at;
  };

  /// Construction parameters.
  struct Settings {
    asio::io_context& io;
    /// Port to listen on; 0 picks one.
    uint16_t port = 0;
    std::string service;
    /// Requests run at once; as many again wait, the others are rejected.
    uint32_t slots = 10;
    Duration work = std::chrono::milliseconds(10);
    /// Address of the node's listener for reports and for calls.
    uint16_t reportPort = 0;
    uint16_t callPort = 0;
    /// Host and path of a call to make during each run; empty for none.
    std::string callHost;
    std::string callPath;
    Duration reportEvery = std::chrono::milliseconds(200);
    /// Whether it reports at all.
    bool reports = true;
    /// Told of each run.
    std::function<void(const Run&)> onRun;
  };

  explicit PlatformTarget(Settings aSettings);

  uint16_t Port() const { return this->server.Port(); }
  const std::string& Id() const { return this->id; }
  uint64_t Runs() const { return this->runs; }
  /// Largest number of requests that ran or waited at once.
  uint32_t Peak() const { return this->peak; }
  /// Says that it drains from now on; OnDrainAcknowledged tells when.
  void Drain() { this->draining = true; }
  /// When the node acknowledged that the target drains; nothing before.
  std::optional<TimePoint> DrainedAt() const { return this->drainedAt; }
  /// Starts again as a new process.
  void Restart();
  void SetWork(Duration aWork) { this->settings.work = aWork; }
  /// Share of the requests that are rejected as not run.
  void SetShed(double aShare) { this->shedShare = aShare; }
  /// Share of the answers that are lost after the run.
  void SetLose(double aShare) { this->loseShare = aShare; }
  /// Key texts that must never arrive here.
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
  double shedShare = 0;
  double loseShare = 0;
  std::vector<std::string> keys;
};

}  // namespace fescueline
