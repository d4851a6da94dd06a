#pragma once

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Http1/HttpClientConnection.h"
#include "Mesh/HeaderVocabulary.h"

namespace fescueline {

/// What a target answers when asked for its health.
struct ProbeAnswer {
  /// Identifier of the target.
  std::string id;
  /// Requests that it handles at once.
  uint32_t slots = 0;
};

/// Asks the local target for its health, so that a node that starts beside a
/// running target need not wait for its next report. Each question has a
/// connection of its own: its answer carries no identifier, so a copy that came
/// late would be taken for the response to the next request. Runs on the loop.
class TargetProbe {
 public:
  /// Construction parameters.
  struct Settings {
    asio::io_context& io;
    asio::ip::tcp::endpoint target;
    const HeaderVocabulary& headers;
    /// Host header of the question.
    std::string host;
    /// The target is ready. Not called for any other answer.
    std::function<void(const ProbeAnswer&)> onReady;
  };

  explicit TargetProbe(Settings aSettings) : settings(std::move(aSettings)) {}

  /// Sends one question unless there have been enough already.
  void Ask(const std::string& aPath);

 private:
  using ConnectionPtr = std::shared_ptr<HttpClientConnection>;

  void Send(const ConnectionPtr& aConnection, const std::string& aPath);
  /// The answer of a target that is ready; nothing for any other answer.
  std::optional<ProbeAnswer> Read(const HttpHead& aHead) const;

  Settings settings;
  uint32_t asked = 0;
};

/// Slots in a target's statement of its load: running and waiting requests,
/// and slots, separated by commas. Nothing if it is malformed.
std::optional<uint32_t> SlotsOfLoad(std::string_view aText);

}  // namespace fescueline
