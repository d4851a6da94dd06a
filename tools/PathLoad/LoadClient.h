#pragma once

#include <asio.hpp>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Core/Time.h"

namespace fescueline {

/// Measurements of a run.
struct LoadResult {
  /// Time from the scheduled start to the end of each complete response with
  /// status 200.
  std::vector<Duration> latencies;
  /// Complete responses with another status than 200.
  uint64_t refused = 0;
  /// Requests without a complete response.
  uint64_t failed = 0;
};

/// Open-loop load generator that sends one request repeatedly over keep-alive
/// connections. Requests are scheduled independently of earlier responses, and
/// the wait for a free connection counts as latency. Not thread-safe.
class LoadClient {
 public:
  struct Settings {
    asio::io_context& io;
    asio::ip::tcp::endpoint server;
    /// The request as sent.
    std::string request;
    /// Number of connections; requests beyond it wait for a free one.
    size_t connections = 128;
  };

  /// Opens the connections. Throws asio::system_error if that fails.
  explicit LoadClient(Settings aSettings);

  /// Sends requests at exponentially distributed intervals, generated from the
  /// seed, then waits up to 5 s for the outstanding responses.
  LoadResult Run(double aRate, Duration aLength, uint64_t aSeed);

 private:
  struct Connection {
    explicit Connection(asio::io_context& aIo) : socket(aIo) {}
    asio::ip::tcp::socket socket;
    std::string input;
    /// Scheduled start of the request in flight.
    TimePoint scheduled;
  };

  void Open(Connection& aConnection);
  void ScheduleNext();
  void StartDue();
  void SendRequest(Connection& aConnection, TimePoint aScheduled);
  void Read(Connection& aConnection);
  void OnBytes(Connection& aConnection);
  void Complete(Connection& aConnection, int aStatus);
  void Fail(Connection& aConnection);
  void Release(Connection& aConnection);

  Settings settings;
  asio::steady_timer timer;
  std::vector<std::unique_ptr<Connection>> connections;
  /// Connections without a request in flight; the last one is used next.
  std::vector<Connection*> idle;
  /// Scheduled starts of requests that wait for a connection.
  std::deque<TimePoint> waiting;
  std::mt19937_64 random;
  std::exponential_distribution<double> interval;
  TimePoint nextStart;
  TimePoint end;
  /// Number of requests in flight.
  size_t inFlight = 0;
  LoadResult result;
};

}  // namespace fescueline
