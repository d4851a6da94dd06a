#pragma once

#include <asio.hpp>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Core/Time.h"

namespace fescueline {

/// What a run of load has measured.
struct LoadResult {
  /// Time from the scheduled start to the end of each complete response.
  std::vector<Duration> latencies;
  /// Requests with another status than 200.
  uint64_t refused = 0;
  /// Requests without a complete response.
  uint64_t failed = 0;
};

/// Sends one request repeatedly over keep-alive connections in an open loop:
/// requests start on schedule, however long earlier ones take, and a late
/// start counts as latency. One thread.
class LoadClient {
 public:
  /// Construction parameters.
  struct Settings {
    asio::io_context& io;
    asio::ip::tcp::endpoint server;
    /// Bytes of the request.
    std::string request;
    /// Open connections; further requests wait for one.
    size_t connections = 128;
  };

  /// Opens the connections. Throws asio::system_error if that fails.
  explicit LoadClient(Settings aSettings);

  /// Sends with exponential intervals drawn from the seed, then waits for the
  /// responses.
  LoadResult Run(double aRate, Duration aLength, uint64_t aSeed);

 private:
  /// A keep-alive connection.
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
  void Begin(Connection& aConnection, TimePoint aScheduled);
  void Read(Connection& aConnection);
  void OnBytes(Connection& aConnection);
  void Complete(Connection& aConnection, int aStatus);
  void Fail(Connection& aConnection);
  void Release(Connection& aConnection);

  Settings settings;
  asio::steady_timer timer;
  std::vector<std::unique_ptr<Connection>> connections;
  /// Connections without a request; the last one used first.
  std::vector<Connection*> idle;
  /// Scheduled starts that wait for a connection.
  std::deque<TimePoint> waiting;
  std::mt19937_64 random;
  std::exponential_distribution<double> interval;
  TimePoint nextStart;
  TimePoint end;
  size_t open = 0;
  LoadResult result;
};

}  // namespace fescueline
