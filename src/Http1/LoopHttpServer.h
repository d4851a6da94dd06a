#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

#include "Core/ByteBudget.h"
#include "Core/EnumNames.h"
#include "Core/Time.h"
#include "Transport/HttpServer.h"

namespace fescueline {

class LoopHttpConnection;

/// Limits on the size and duration of a caller's requests.
struct CallerLimits {
  /// Maximum size of start line and headers, bytes.
  size_t maxHeadBytes = size_t{16} * 1024;
  /// Maximum request body size, bytes. A body is sent to the target's node in
  /// one frame, so the maximum frame size limits it as well.
  size_t maxBodyBytes = size_t{1} << 20;
  /// Maximum time from the first byte of a request to the end of its headers,
  /// and between two parts of its body.
  Duration headTimeout = std::chrono::seconds(3);
  /// Maximum time from the first byte of a request to its end, even if bytes
  /// keep arriving. Longer than any caller waits for a response.
  Duration requestTimeout = std::chrono::seconds(60);
  /// Maximum idle time of a connection between two requests.
  Duration idleTimeout = std::chrono::seconds(15);
};

/// Why a listener gave up a connection or refused a request.
enum class ShedReason : uint8_t {
  /// Too many connections.
  Connections,
  /// Received bytes exceed the budget.
  RequestBytes,
  /// Bytes that the caller does not read exceed the budget.
  UnreadBytes
};

template <>
struct EnumNames<ShedReason> {
  static constexpr std::array<EnumName<ShedReason>, 3> kNames{
      {{ShedReason::Connections, "connections"},
       {ShedReason::RequestBytes, "request-bytes"},
       {ShedReason::UnreadBytes, "unread-bytes"}}};
};

/// HTTP/1.1 listener that runs on one event loop without threads of its own. A
/// read is always outstanding, to detect that a caller disconnects while its
/// request is in progress. Everything runs on the loop's thread.
class LoopHttpServer {
 public:
  struct Settings {
    asio::io_context& io;
    /// IP address to listen on.
    std::string host;
    /// TCP port; 0 lets the kernel choose one.
    uint16_t port = 0;
    CallerLimits limits = {};
    /// Bytes of requests and responses that the listener may hold. If they are
    /// exceeded, connections are given up (ShedPolicy) and requests refused.
    size_t maxHeldBytes = size_t{64} << 20;
    /// Maximum number of open connections. A new one replaces another.
    size_t maxConnections = 10'000;
    /// Name of the listener in log lines.
    std::string name = "http";
    /// Called for each request.
    std::function<void(HttpExchangePtr)> onRequest;
    /// Called for each connection that is given up and each request that is
    /// refused. Optional.
    std::function<void(ShedReason)> onShed = {};
  };

  /// Approximate memory of a connection without any request.
  static constexpr size_t kConnectionBytes = size_t{4} * 1024;

  /// Binds the listener. Throws Error on failure.
  explicit LoopHttpServer(Settings aSettings);
  LoopHttpServer(const LoopHttpServer&) = delete;
  LoopHttpServer& operator=(const LoopHttpServer&) = delete;
  ~LoopHttpServer();

  void Start();
  uint16_t Port() const;
  /// Also applies to open connections, except for maxHeadBytes, which is fixed
  /// when a connection is accepted.
  void SetLimits(const CallerLimits& aLimits) {
    this->settings.limits = aLimits;
  }
  const CallerLimits& Limits() const { return this->settings.limits; }
  /// From now on, each response closes its connection.
  void CloseAfterResponses() { this->closing = true; }
  bool IsClosing() const { return this->closing; }
  /// Stops accepting; open connections stay.
  void StopAccepting();

  /// Whether bytes of any response wait to be written.
  bool HasUnsentBytes() const;
  /// Number of open connections.
  size_t Connections() const { return this->connections.size(); }
  /// Bytes held for callers.
  const ByteBudget& Budget() const { return *this->budget; }

 private:
  friend class LoopHttpConnection;
  using ConnectionPtr = std::shared_ptr<LoopHttpConnection>;

  void Accept();
  void AddConnection(asio::ip::tcp::socket aSocket);
  /// Gives up a connection if there is no room for another one. False if none
  /// can be given up.
  bool MakeRoomForConnection();
  /// Whether a complete request may be handled; gives up connections that are
  /// still receiving theirs if the budget is exceeded.
  bool HasRoomForRequest();
  /// Gives up connections, after the current event, until the budget is kept.
  void ScheduleShed();
  void ShedForBytes();
  /// Counts and, for the first of a series, logs what is given up.
  void OnShed(ShedReason aReason);
  /// Logs the end of a series.
  void EndShedSeries();
  /// Closes connections whose deadline has passed, periodically.
  void Sweep();

  Settings settings;
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer sweepTimer;
  std::shared_ptr<ByteBudget> budget;
  std::unordered_set<ConnectionPtr> connections;
  bool closing = false;
  bool shedScheduled = false;
  /// Number of connections given up and requests refused in the series that is
  /// in progress, and the time of the last one.
  uint64_t shedCount = 0;
  TimePoint lastShed{};
};

}  // namespace fescueline
