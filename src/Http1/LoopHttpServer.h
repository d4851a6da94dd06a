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

/// Bounds on what a caller may send and how long it may take.
struct CallerLimits {
  /// Longest start line and headers, bytes.
  size_t maxHeadBytes = size_t{16} * 1024;
  /// Longest request body, bytes. Bodies travel to the target's node in one
  /// frame, which bounds them as well.
  size_t maxBodyBytes = size_t{1} << 20;
  /// Time from the first byte of a request to the end of its headers, and
  /// between two parts of its body.
  Duration headTimeout = std::chrono::seconds(3);
  /// Time from the first byte of a request to its end, however steadily it
  /// arrives: longer than any caller waits for a response.
  Duration requestTimeout = std::chrono::seconds(60);
  /// Time that a connection may be idle between two requests.
  Duration idleTimeout = std::chrono::seconds(15);
};

/// HTTP/1.1 listener that runs on one event loop without threads of its own.
/// It notices that a caller has left while its request is in progress, which
/// needs a read at all times. Everything runs on the loop's thread.
class LoopHttpServer {
 public:
  /// Construction parameters.
  struct Settings {
    asio::io_context& io;
    /// IP address to listen on.
    std::string host;
    /// TCP port; 0 picks one.
    uint16_t port = 0;
    CallerLimits limits = {};
    /// Called for each request.
    std::function<void(HttpExchangePtr)> onRequest;
  };

  /// Binds the listener. Throws Error if that fails.
  explicit LoopHttpServer(Settings aSettings);
  LoopHttpServer(const LoopHttpServer&) = delete;
  LoopHttpServer& operator=(const LoopHttpServer&) = delete;
  ~LoopHttpServer();

  void Start();
  /// Port that was bound.
  uint16_t Port() const;
  /// Applies to connections at their next message.
  void SetLimits(const CallerLimits& aLimits) {
    this->settings.limits = aLimits;
  }
  const CallerLimits& Limits() const { return this->settings.limits; }
  /// Each response from now on closes its connection.
  void CloseAfterResponses() { this->closing = true; }
  bool IsClosing() const { return this->closing; }
  /// Stops accepting; connections stay.
  void StopAccepting();

  /// Connections that are open.
  size_t Connections() const { return this->connections.size(); }

 private:
  friend class LoopHttpConnection;
  using ConnectionPtr = std::shared_ptr<LoopHttpConnection>;

  void Accept();
  /// Closes connections whose time limit has passed.
  void Sweep();

  Settings settings;
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer sweepTimer;
  std::unordered_set<ConnectionPtr> connections;
  bool closing = false;
};

}  // namespace fescueline
