#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Time.h"
#include "Http1/HttpClientConnection.h"

namespace fescueline {

/// Pool of connections to one HTTP server. Uses the connection with the
/// shortest idle time first, which keeps the number of active connections low.
/// Everything runs on the loop's thread.
class ConnectionPool {
 public:
  using ConnectionPtr = std::shared_ptr<HttpClientConnection>;

  struct Settings {
    asio::io_context& io;
    asio::ip::tcp::endpoint peer;
    Duration connectTimeout = std::chrono::milliseconds(500);
    /// Maximum number of idle connections.
    size_t maxIdle = 64;
    /// Maximum idle time if the server announces no timeout. Shorter than
    /// common server timeouts, which are 5 s and more.
    Duration maxIdleTime = std::chrono::seconds(4);
    /// A connection is not used in this last part of the server's idle
    /// timeout, since the server's close may be in transit.
    Duration idleMargin = std::chrono::seconds(1);
    /// Called when unsolicited bytes closed an idle connection. Optional.
    std::function<void()> onUnsolicited = {};
  };

  explicit ConnectionPool(Settings aSettings)
      : settings(std::move(aSettings)) {}

  using Done = std::function<void(ConnectionPtr, const std::string&)>;

  /// Passes aDone a connection that was idle for at most aMaxIdleTime, or a new
  /// one; null and the error if that cannot be established. Never uses one on
  /// which this request id was sent before: a late duplicate of that response
  /// would be taken for the response to this request. If all idle connections
  /// are of that kind, the new connection replaces one of them.
  void AcquireFor(std::string_view aRequestId, Duration aMaxIdleTime,
                  const Done& aDone);
  /// Passes aDone a new connection; null and the error on failure.
  void AcquireNew(const Done& aDone);
  /// Returns a connection to the pool; closes it if it cannot be reused.
  void Release(ConnectionPtr aConnection);
  /// Closes idle connections, and those in use when they are released. Call it
  /// when another server takes over the address.
  void Clear();
  /// Number of connections created so far.
  uint64_t ConnectionsCreated() const { return this->created; }

 private:
  /// Removes and returns the most recently used idle connection on which this
  /// request id was not sent; null if there is none.
  ConnectionPtr TakeIdle(std::string_view aRequestId, Duration aMaxIdleTime);
  /// Closes connections that have been idle for too long.
  void Sweep(TimePoint aNow);
  bool IsUsable(const HttpClientConnection& aConnection, Duration aMaxIdleTime,
                TimePoint aNow) const;

  Settings settings;
  std::vector<ConnectionPtr> idle;
  uint64_t created = 0;
  /// Incremented when the server changes.
  uint64_t generation = 0;
};

}  // namespace fescueline
