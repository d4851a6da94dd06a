#pragma once

#include <cstdint>
#include <optional>

#include "Core/EnumNames.h"
#include "Core/RandomSource.h"
#include "Core/Time.h"

namespace fescueline {

/// How a node follows a table of the store.
enum class FollowMode : uint8_t {
  /// No calls; changes arrive from peers.
  Idle,
  /// Calls that wait long for a change.
  LongPoll,
  /// Calls that wait briefly, to confirm often that nothing has changed.
  ShortPoll,
  /// A call that hardly waits, to confirm now that nothing has changed.
  Immediate
};

template <>
struct EnumNames<FollowMode> {
  static constexpr std::array<EnumName<FollowMode>, 4> kNames{
      {{FollowMode::Idle, "idle"},
       {FollowMode::LongPoll, "long-poll"},
       {FollowMode::ShortPoll, "short-poll"},
       {FollowMode::Immediate, "immediate"}}};
};

/// Decides whether a node calls the store for a table. A few primary nodes
/// follow it for the fleet. The others call it only when their copy is too old,
/// after a random delay that grows with the number of peers: whatever the size
/// of the fleet, these calls together stay within a fixed rate. Not
/// thread-safe.
class FollowSchedule {
 public:
  struct Settings {
    /// Mode of a primary node.
    FollowMode primaryMode = FollowMode::LongPoll;
    /// Age of the copy above which a node that is not primary calls the store.
    Duration maxAge = std::chrono::seconds(2);
    /// Calls per second of all nodes that are not primary, together.
    double standbyCallsPerSecond = 10;
  };

  /// What a node knows when it decides.
  struct View {
    bool isPrimary = false;
    /// Time since the copy was last known to be current.
    Duration age{};
    /// Number of connected peers.
    size_t peers = 0;
  };

  explicit FollowSchedule(const Settings& aSettings) : settings(aSettings) {}

  FollowMode Mode(const View& aView, TimePoint aNow, RandomSource& aRandom);
  /// Records that a call was made, so that the next one needs a new delay.
  void OnCall() { this->dueAt.reset(); }

 private:
  Settings settings;
  /// When a node that is not primary calls the store; unset while its copy is
  /// current.
  std::optional<TimePoint> dueAt;
};

}  // namespace fescueline
