#pragma once

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Http1/HttpClientConnection.h"
#include "Mesh/HeaderNames.h"

namespace fescueline {

/// Response of a target to a health check.
struct ProbeResult {
  /// Identifier of the target.
  std::string id;
  /// Number of requests that the target handles concurrently; nothing if the
  /// target does not tell its load.
  std::optional<uint32_t> slots;
  /// Remaining warm-up time.
  Duration coldFor{};
};

/// Queries the health of the local target, so that a node that starts beside a
/// running target need not wait for the target's next report, and takes no late
/// report of a target that has left for a current one. Each probe uses a
/// new connection: the response carries no request identifier, so a late
/// duplicate would be taken for the response to the next request on the
/// connection. Runs on the event loop.
class TargetProbe {
 public:
  struct Settings {
    asio::io_context& io;
    asio::ip::tcp::endpoint target;
    const HeaderNames& headers;
    /// Host header of the probe.
    std::string host;
    /// Called when the target is ready; not called for any other response.
    std::function<void(const ProbeResult&)> onReady;
  };

  explicit TargetProbe(Settings aSettings) : settings(std::move(aSettings)) {}

  /// Sends one probe to aPath unless the maximum number of probes has been
  /// sent.
  void Start(const std::string& aPath);
  /// Allows the maximum number of probes again.
  void Renew() { this->sentProbes = 0; }

 private:
  using ConnectionPtr = std::shared_ptr<HttpClientConnection>;

  void Send(const ConnectionPtr& aConnection, const std::string& aPath);
  /// Parses the response of a ready target; nullopt for any other response.
  std::optional<ProbeResult> Read(const HttpHead& aHead) const;

  Settings settings;
  uint32_t sentProbes = 0;
};

/// Parses the slots out of a load header, which lists running requests, waiting
/// requests, slots and possibly further numbers, separated by commas. Returns
/// nullopt if these are malformed.
std::optional<uint32_t> ParseSlots(std::string_view aText);

/// Parses a remaining warm-up time in milliseconds; zero if it is malformed or
/// longer than a day.
Duration ParseColdTime(std::string_view aText);

}  // namespace fescueline
