#pragma once

#include <functional>
#include <optional>
#include <utility>

#include "Core/Time.h"

namespace fescueline {

/// The planned stop of a node: it serves on until callers have gone and what
/// is in flight has ended, or its time is up. Callers that do not go are
/// refused towards the end, so that what is in flight can end. Time comes from
/// the owner; one thread.
class PlannedStop {
 public:
  /// Construction parameters.
  struct Settings {
    /// Time that the whole stop may take. Read anew, as it can change.
    std::function<Duration()> limit;
    /// Whether nothing is in flight.
    std::function<bool()> isIdle;
    /// Takes the node out of the fleet, then calls the function.
    std::function<void(std::function<void()>)> leave;
    /// Has new requests of callers refused.
    std::function<void()> refuse;
    /// Ends the node.
    std::function<void()> end;
  };

  explicit PlannedStop(Settings aSettings) : settings(std::move(aSettings)) {}
  PlannedStop(const PlannedStop&) = delete;
  PlannedStop& operator=(const PlannedStop&) = delete;

  /// False if it has begun before.
  bool Begin(TimePoint aNow);
  bool HasBegun() const { return this->since.has_value(); }
  /// Takes the next step if it is due.
  void Tick(TimePoint aNow);

 private:
  Settings settings;
  std::optional<TimePoint> since;
  /// Whether the node was told to leave the fleet, and has left.
  bool leaving = false;
  bool left = false;
  /// Whether new requests are refused.
  bool refusing = false;
};

}  // namespace fescueline
