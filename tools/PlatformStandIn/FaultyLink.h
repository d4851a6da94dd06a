#pragma once

#include <asio.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "Core/RandomSource.h"

namespace fescueline {

/// Proxy in front of a target that injects faults into its responses, such as
/// duplicates of earlier ones. Runs on the event loop.
class FaultyLink {
 public:
  /// When the duplicate of a response is written.
  enum class When : uint8_t {
    /// Directly after the response, in the same write.
    AtOnce,
    /// When the next request on the connection has begun to arrive.
    WithNextRequest
  };

  /// Faults to inject.
  struct Fault {
    /// Share of the responses that are duplicated, 0 to 1.
    double share = 0;
    When when = When::AtOnce;
    /// Whether the duplicate has no request identifier.
    bool withoutId = false;
    /// Whether the duplicate is a declared "not run" refusal.
    bool refusal = false;
    /// Share of the responses whose signature is removed, 0 to 1.
    double unsignedShare = 0;
  };

  struct Settings {
    asio::io_context& io;
    /// Port to listen on.
    uint16_t port = 0;
    /// Port of the target, on this host.
    uint16_t targetPort = 0;
    /// Seed for the choice of responses.
    uint64_t seed = 1;
  };

  explicit FaultyLink(Settings aSettings);
  FaultyLink(const FaultyLink&) = delete;
  FaultyLink& operator=(const FaultyLink&) = delete;

  void SetFault(const Fault& aFault) { this->fault = aFault; }
  /// Number of duplicates written.
  uint64_t Copies() const { return this->copies; }

 private:
  class Connection;

  void Accept();
  /// Applies the faults to a response itself.
  std::string ApplyFault(std::string aResponse);
  /// Duplicate of a response to write; empty for none.
  std::string CopyOf(const std::string& aResponse);

  Settings settings;
  asio::ip::tcp::acceptor acceptor;
  Fault fault;
  RandomSource random;
  uint64_t copies = 0;
};

}  // namespace fescueline
