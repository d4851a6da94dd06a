#pragma once

#include <asio.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "Core/RandomSource.h"

namespace fescueline {

/// Carries the connections of a target and writes the responses of a faulty
/// one: an earlier response once more, as the target would. Runs on the loop.
class FaultyLink {
 public:
  /// When a copy of a response is written.
  enum class When : uint8_t {
    /// Right behind the response, in the same packet.
    AtOnce,
    /// When the next request of the connection has begun to arrive.
    WithNextRequest
  };

  /// What happens to the responses.
  struct Fault {
    /// Share of the responses that are written once more, 0 to 1.
    double share = 0;
    When when = When::AtOnce;
    /// Whether the copy names no request.
    bool withoutId = false;
    /// Whether the copy says that its request was not run.
    bool refusal = false;
    /// Share of the responses that lose their signature, 0 to 1.
    double unsignedShare = 0;
  };

  /// Construction parameters.
  struct Settings {
    asio::io_context& io;
    /// Port to listen on.
    uint16_t port = 0;
    /// Port of the target on this host.
    uint16_t targetPort = 0;
    /// Seed of the choice of responses.
    uint64_t seed = 1;
  };

  explicit FaultyLink(Settings aSettings);
  FaultyLink(const FaultyLink&) = delete;
  FaultyLink& operator=(const FaultyLink&) = delete;

  void SetFault(const Fault& aFault) { this->fault = aFault; }
  /// Copies written.
  uint64_t Copies() const { return this->copies; }

 private:
  class Carrier;

  void Accept();
  /// The response as the fault leaves it.
  std::string Spoil(std::string aResponse);
  /// The copy of a response that is to be written; empty for none.
  std::string CopyOf(const std::string& aResponse);

  Settings settings;
  asio::ip::tcp::acceptor acceptor;
  Fault fault;
  RandomSource random;
  uint64_t copies = 0;
};

}  // namespace fescueline
