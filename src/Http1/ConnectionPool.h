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

/// Connections to one HTTP server. The one that rested shortest is used
/// first, so that few are kept warm. Everything runs on the loop's thread.
class ConnectionPool {
 public:
  using ConnectionPtr = std::shared_ptr<HttpClientConnection>;

  /// Construction parameters.
  struct Settings {
    asio::io_context& io;
    asio::ip::tcp::endpoint peer;
    Duration connectTimeout = std::chrono::milliseconds(500);
    /// Resting connections that are kept.
    size_t maxResting = 64;
    /// Time that a connection may rest if the server states none. Shorter
    /// than usual server timeouts of 5 s and more.
    Duration maxRest = std::chrono::seconds(4);
    /// A connection is not used in this last part of the server's idle
    /// timeout, as its close may be on the way.
    Duration restMargin = std::chrono::seconds(1);
    /// Told of bytes that ended a resting connection. Optional.
    std::function<void()> onUnasked = {};
  };

  explicit ConnectionPool(Settings aSettings)
      : settings(std::move(aSettings)) {}

  using Done = std::function<void(ConnectionPtr, const std::string&)>;

  /// Hands out a connection that rested for aMaxRest at most, or a new one;
  /// null with the error if that can't be made. Never one that has carried a
  /// request with this identifier: a late copy of that response could not be
  /// told from the next one. If only such rest, the new connection replaces
  /// one of them.
  void AcquireFor(std::string_view aRequestId, Duration aMaxRest,
                  const Done& aDone);
  /// Hands out a connection that has carried nothing.
  void AcquireNew(const Done& aDone);
  /// Takes a reusable connection back.
  void Release(ConnectionPtr aConnection);
  /// Closes resting connections, and those in use when they are released: the
  /// server is another one now.
  void Clear();
  /// Connections that were made.
  uint64_t Made() const { return this->made; }

 private:
  /// Takes the resting connection that was used last, among those that have
  /// not carried the request; null if there is none.
  ConnectionPtr TakeResting(std::string_view aRequestId, Duration aMaxRest);
  /// Closes connections that rested too long.
  void Sweep(TimePoint aNow);
  bool IsUsable(const HttpClientConnection& aConnection, Duration aMaxRest,
                TimePoint aNow) const;

  Settings settings;
  std::vector<ConnectionPtr> resting;
  uint64_t made = 0;
  /// Grows when the server changes.
  uint64_t generation = 0;
};

}  // namespace fescueline
