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

/// A target for tests, benchmarks and the demo. Announces itself, handles a
/// bounded number of requests at once, calls other services through its node,
/// and counts the requests. Runs its own threads; public methods may be called
/// from any thread.
///
/// Request headers: `x-work-us` sets the work time, `x-work-id` the name under
/// which executions are counted, and `x-body-bytes` the length of the response;
/// `x-chunked` sends it chunked and `x-break-body` breaks it off after half of
/// the length. Without `x-body-bytes`, the response contains the value of
/// `x-echo`.
class StandInTarget {
 public:
  struct Settings {
    /// URL of the node's local listener.
    std::string nodeUrl;
    std::string service = "service";
    /// Requests handled at once; further ones are queued in the target.
    uint32_t slots = 100;
    uint32_t connections = 750;
    /// Whether the announcements contain slots and connections.
    bool declaresLimits = true;
    uint64_t workMicroseconds = 1000;
    /// Paths to call through the node for each request, one after another.
    std::vector<std::string> calls;
    /// File to which a line is appended for each arrival ("arrive ID") and
    /// execution ("run ID"), so that the counts survive a killed target; empty
    /// for none.
    std::string journal;
    /// Time between announcements.
    Duration announcePeriod = std::chrono::milliseconds(500);
  };

  /// Counts of the handled requests.
  struct Stats {
    uint64_t executions = 0;
    uint32_t maxConcurrent = 0;
    /// Executions by `x-work-id`.
    std::map<std::string, uint64_t> byWorkId;
    /// Requests that contained a caller's key; see ExposedKey.h.
    uint64_t keysSeen = 0;
    /// Requests whose caller disconnected before it got the whole response.
    uint64_t cancelled = 0;
    /// Headers of the last executed request.
    HttpHeaders lastHeaders;
  };

  explicit StandInTarget(Settings aSettings);
  StandInTarget(const StandInTarget&) = delete;
  StandInTarget& operator=(const StandInTarget&) = delete;
  ~StandInTarget();

  uint16_t Port() const;
  /// Announces "draining", finishes the accepted requests, for up to 30 s, then
  /// stops.
  void Stop();
  /// Sets the announced state and announces it at once.
  void SetState(const std::string& aState);
  void SetWork(uint64_t aMicroseconds) { this->work = aMicroseconds; }
  /// While set, responds to each request with 503 and the shed header instead
  /// of executing it.
  void SetShedding(bool aShedding) { this->shedding = aShedding; }
  Stats GetStats();

 private:
  struct Job;
  using JobPtr = std::shared_ptr<Job>;

  void Announce();
  void OnRequest(HttpExchangePtr aExchange);
  /// Serves /stand-in/stats and /stand-in/set; returns false for other paths.
  bool OnControl(const HttpExchangePtr& aExchange);
  void Record(const HttpRequest& aRequest);
  /// Appends a line to the journal, if there is one.
  void Journal(const std::string& aEvent, const HttpRequest& aRequest) const;
  void Enqueue(const JobPtr& aJob);
  void StartNext();
  void Work(const JobPtr& aJob);
  void CallNext(const JobPtr& aJob);
  void Respond(const JobPtr& aJob);
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
  /// Guards the members below, except `thread`.
  std::mutex mutex;
  std::string state = "ready";
  Stats stats;
  uint32_t running = 0;
  std::deque<JobPtr> waiting;
  bool stopped = false;
  std::thread thread;
};

}  // namespace fescueline
