#pragma once

#include <asio.hpp>
#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Transport/HttpClient.h"
#include "Transport/HttpServer.h"

namespace fescueline {

/// A target for tests, benchmarks and the demo: announces itself, works on a
/// bounded number of requests at once, calls other services through its node,
/// and records what it saw. Its own threads; public methods from any thread.
///
/// Request headers that it obeys: `x-work-us` (work time), `x-work-id` (name
/// under which executions are counted), `x-body-bytes` (length of the
/// response), `x-break-body` (breaks the response off half way).
class StandInTarget {
 public:
  /// Construction parameters.
  struct Settings {
    /// URL of the node's local listener.
    std::string nodeUrl;
    std::string service = "service";
    /// Requests handled at once; others wait in the target.
    uint32_t slots = 100;
    uint32_t connections = 750;
    /// Whether the announcements state slots and connections.
    bool statesSlots = true;
    uint64_t workMicroseconds = 1000;
    /// Paths to call through the node for each request, one after the other.
    std::vector<std::string> calls;
    /// File that gets a line for each arrival ("arrive ID") and execution
    /// ("run ID"), so that counts outlive a killed target; empty for none.
    std::string journal;
    /// Time between announcements.
    Duration announcePeriod = std::chrono::milliseconds(500);
  };

  /// What the target has seen.
  struct Stats {
    uint64_t executions = 0;
    uint32_t maxConcurrent = 0;
    /// Executions by `x-work-id`.
    std::map<std::string, uint64_t> byWorkId;
    /// Requests that carried something like a key.
    uint64_t keysSeen = 0;
    /// Requests whose caller went away before the end.
    uint64_t cancelled = 0;
    /// Headers of the last request.
    HttpHeaders lastHeaders;
  };

  explicit StandInTarget(Settings aSettings);
  StandInTarget(const StandInTarget&) = delete;
  StandInTarget& operator=(const StandInTarget&) = delete;
  ~StandInTarget();

  uint16_t Port() const;
  /// Announces "draining", finishes what it has, then stops.
  void Stop();
  /// State of the next announcements; announced at once.
  void SetState(const std::string& aState);
  void SetWork(uint64_t aMicroseconds) { this->work = aMicroseconds; }
  /// Declares shed instead of working, from now on.
  void SetShedding(bool aShedding) { this->shedding = aShedding; }
  Stats GetStats();

 private:
  struct Job;
  using JobPtr = std::shared_ptr<Job>;

  void Announce();
  void OnRequest(HttpExchangePtr aExchange);
  /// Answers /stand-in/stats and /stand-in/set; false for other paths.
  bool OnControl(const HttpExchangePtr& aExchange);
  void Record(const HttpRequest& aRequest);
  /// Appends a line to the journal, if there is one.
  void Journal(const std::string& aEvent, const HttpRequest& aRequest) const;
  void Enqueue(const JobPtr& aJob);
  void StartNext();
  void Work(const JobPtr& aJob);
  void CallNext(const JobPtr& aJob);
  void Answer(const JobPtr& aJob);
  void Finish(const JobPtr& aJob);

  Settings settings;
  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> guard;
  HttpClient client;
  asio::steady_timer announceTimer;
  std::unique_ptr<HttpServer> server;
  std::atomic<uint64_t> work;
  std::atomic<bool> shedding{false};
  /// Descriptor of the journal; -1 for none.
  int journal = -1;
  /// Guards everything below.
  std::mutex mutex;
  std::string state = "ready";
  Stats stats;
  uint32_t running = 0;
  std::deque<JobPtr> waiting;
  bool stopped = false;
  std::thread thread;
};

}  // namespace fescueline
