#pragma once

#include <functional>
#include <optional>
#include <utility>

#include "Core/Time.h"

namespace fescueline {

/// Planned stop of a node: the node serves until callers have stopped sending
/// and all requests in flight have ended, or until the time limit. Callers that
/// keep sending are refused after a grace period, and shortly before the limit
/// everything new is refused, since the termination would abort it. The owner
/// supplies the time. Not thread-safe.
class PlannedStop {
 public:
  struct Settings {
    /// Time limit of the stop. Called on each tick, as the setting can
    /// change.
    std::function<Duration()> limit;
    /// Whether no request is in progress and all responses have been written.
    std::function<bool()> isIdle;
    /// Removes the node from the fleet, then calls the given function.
    std::function<void(std::function<void()>)> leave;
    /// Makes the node refuse new requests of callers.
    std::function<void()> refuse;
    /// Makes the node also refuse new calls of requests that run at its target.
    std::function<void()> refuseCalls;
    /// Terminates the node.
    std::function<void()> end;
  };

  explicit PlannedStop(Settings aSettings) : settings(std::move(aSettings)) {}
  PlannedStop(const PlannedStop&) = delete;
  PlannedStop& operator=(const PlannedStop&) = delete;

  /// Returns false if the stop has already begun.
  bool Begin(TimePoint aNow);
  bool HasBegun() const { return this->since.has_value(); }
  /// Performs the steps that are due. Call periodically.
  void Tick(TimePoint aNow);

 private:
  Settings settings;
  std::optional<TimePoint> since;
  /// Whether the node's departure from the fleet has begun, and is complete.
  bool leaving = false;
  bool left = false;
  /// Whether new requests are refused, and new calls of running ones.
  bool refusing = false;
  bool refusingCalls = false;
};

}  // namespace fescueline
