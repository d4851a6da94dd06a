#pragma once

#include <cstdint>
#include <string_view>

#include "Core/Identifiers.h"
#include "Core/Importance.h"
#include "Core/Outcome.h"
#include "Core/Time.h"

namespace fescueline {

/// Attributes of a request that admission control uses.
struct AdmissionRequest {
  /// Organisation of the caller; empty for routes with open access. The name
  /// is copied on first use.
  std::string_view organisation;
  /// Importance class after the rules were applied.
  Importance importance = Importance::Normal;
  /// Identifier of the root request.
  Id128 rootId;
  /// Number of hops between the root request and this one.
  uint32_t depth = 0;
  /// Start of the root request: the deadline minus the time that its route
  /// allows.
  TimePoint rootStart;
  TimePoint deadline;
};

/// Why a request was not started. Its outcome is always `not-run`.
struct AdmissionRefusal {
  /// Overloaded or DeadlineExpired.
  Cause cause = Cause::None;
  /// Time after which the caller may retry, jitter included.
  Duration retryAfter{0};
};

/// How a running request ended.
struct AdmissionCompletion {
  /// Time the request spent waiting for child calls; zero if unknown.
  Duration childTime{0};
  /// Whether the target completed the work. The latency of a request that
  /// failed early is not a sample of the target's speed.
  bool complete = true;
};

/// Handle of a queued or running request of one controller. Slots are reused;
/// the generation distinguishes successive uses.
struct AdmissionHandle {
  uint32_t slot = 0;
  uint32_t generation = 0;

  bool operator==(const AdmissionHandle&) const = default;
};

}  // namespace fescueline
