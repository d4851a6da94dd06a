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

/// Connections to one HTTP server. The one that was idle shortest is used
/// first, so that few are kept warm. Everything runs on the loop's thread.
class ConnectionPool {
 public:
  using ConnectionPtr = std::shared_ptr<HttpClientConnection>;

  /// Construction parameters.
  struct Settings {
    asio::io_context& io;
    asio::ip::tcp::endpoint peer;
    Duration connectTimeout = std::chrono::milliseconds(500);
    /// Idle connections that are kept.
    size_t maxIdle = 64;
    /// Time that a connection may be idle if the server states none. Shorter
    /// than usual server timeouts of 5 s and more.
    Duration maxIdleTime = std::chrono::seconds(4);
    /// A connection is not used in this last part of the server's idle
    /// timeout, as its close may be on the way.
    Duration idleMargin = std::chrono::seconds(1);
    /// Told of bytes that ended an idle connection. Optional.
    std::function<void()> onUnsolicited = {};
  };

  explicit ConnectionPool(Settings aSettings)
      : settings(std::move(aSettings)) {}

  using Done = std::function<void(ConnectionPtr, const std::string&)>;

  /// Hands out a connection that was idle for aMaxIdleTime at most, or a new
  /// one; null with the error if that can't be made. Never one that has carried
  /// a request with this identifier: a late copy of that response could not be
  /// told from the next one. If only such are idle, the new connection replaces
  /// one of them.
  void AcquireFor(std::string_view aRequestId, Duration aMaxIdleTime,
                  const Done& aDone);
  /// Hands out a connection that has carried nothing.
  void AcquireNew(const Done& aDone);
  /// Takes a reusable connection back.
  void Release(ConnectionPtr aConnection);
  /// Closes idle connections, and those in use when they are released: the
  /// server is another one now.
  void Clear();
  /// Connections that were made.
  uint64_t Made() const { return this->made; }

 private:
  /// Takes the idle connection that was used last, among those that have
  /// not carried the request; null if there is none.
  ConnectionPtr TakeIdle(std::string_view aRequestId, Duration aMaxIdleTime);
  /// Closes connections that were idle too long.
  void Sweep(TimePoint aNow);
  bool IsUsable(const HttpClientConnection& aConnection, Duration aMaxIdleTime,
                TimePoint aNow) const;

  Settings settings;
  std::vector<ConnectionPtr> idle;
  uint64_t made = 0;
  /// Grows when the server changes.
  uint64_t generation = 0;
};

}  // namespace fescueline
