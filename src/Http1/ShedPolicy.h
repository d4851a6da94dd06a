#pragma once

#include <asio/ip/address.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "Core/ByteBudget.h"
#include "Core/Time.h"

namespace fescueline {

/// What the connection of a caller is doing.
enum class CallerPhase : uint8_t {
  /// Between two requests.
  Idle,
  /// Part of a request has arrived.
  Receiving,
  /// A request is in progress, and all bytes for the caller are written.
  InProgress,
  /// Bytes of a response wait for the caller to read.
  Unread,
  /// The last response is written, and the connection closes soon.
  Lingering
};

/// A connection of a caller as ShedPolicy sees it.
struct CallerLoad {
  CallerPhase phase = CallerPhase::Idle;
  /// Bytes held for the connection.
  size_t held = 0;
  /// Last time that bytes were transferred or a request ended.
  TimePoint lastProgress;
  /// Address of the caller.
  asio::ip::address address;
};

/// Chooses the connections to give up when callers hold too much memory or too
/// many connections: crowds that send bodies up to their last byte, open
/// connections without using them, or read no response. A request in progress
/// is given up last. An address that holds much gives up before others. Takes
/// time linear in the number of connections, and is used only under pressure.
class ShedPolicy {
 public:
  /// Index of the connection to give up so that the budget is kept; nullopt if
  /// the budget is kept, or if none can be given up.
  static std::optional<size_t> ChooseForBytes(
      std::span<const CallerLoad> aCallers, const ByteBudget& aBudget);
  /// Index of the connection to give up for a new one; nullopt if a request is
  /// in progress on each.
  static std::optional<size_t> ChooseForConnection(
      std::span<const CallerLoad> aCallers);
};

}  // namespace fescueline
