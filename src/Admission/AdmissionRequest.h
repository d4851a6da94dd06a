#pragma once

#include <cstdint>
#include <string_view>

#include "Core/Identifiers.h"
#include "Core/Importance.h"
#include "Core/Outcome.h"
#include "Core/Time.h"

namespace fescueline {

/// What admission needs to know about a request.
struct AdmissionRequest {
  /// Organisation of the caller; empty for open routes. Copied when first seen.
  std::string_view organisation;
  /// Class after the rules were applied.
  Importance importance = Importance::Normal;
  /// Identifier of the root request.
  Id128 rootId;
  /// Number of hops above this one.
  uint32_t depth = 0;
  /// When the root request began: the deadline minus the route's deadline.
  TimePoint rootStart;
  /// When the caller stops waiting.
  TimePoint deadline;
};

/// Why a request was not started. Its outcome is always `not-run`.
struct AdmissionRefusal {
  /// Overloaded or DeadlineExpired.
  Cause cause = Cause::None;
  /// Time after which the caller may try again, jitter included.
  Duration retryAfter{0};
};

/// How a running request ended.
struct AdmissionCompletion {
  /// Time in which the request waited for calls of its own; zero if unknown.
  Duration childTime{0};
  /// Whether the target did all of the work. The time of a request that failed
  /// early says nothing about the target's speed.
  bool complete = true;
};

/// Names a queued or running request of one controller. Slots are reused; the
/// generation tells the uses apart.
struct AdmissionHandle {
  uint32_t slot = 0;
  uint32_t generation = 0;

  bool operator==(const AdmissionHandle&) const = default;
};

}  // namespace fescueline
