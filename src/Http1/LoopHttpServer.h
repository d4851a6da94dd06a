#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

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
    /// Called for each request.
    std::function<void(HttpExchangePtr)> onRequest;
  };

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

 private:
  friend class LoopHttpConnection;
  using ConnectionPtr = std::shared_ptr<LoopHttpConnection>;

  void Accept();
  /// Closes connections whose deadline has passed, periodically.
  void Sweep();

  Settings settings;
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer sweepTimer;
  std::unordered_set<ConnectionPtr> connections;
  bool closing = false;
};

}  // namespace fescueline
