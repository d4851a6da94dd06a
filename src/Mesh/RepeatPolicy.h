#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "Core/Outcome.h"
#include "Core/Time.h"

namespace fescueline {

/// An attempt without a usable response, and its request so far.
struct FailedAttempt {
  Outcome outcome = Outcome::Unknown;
  Cause cause = Cause::None;
  /// Time left until the request's deadline.
  Duration remaining{0};
  /// Nodes that the request was offered to.
  size_t offers = 0;
  /// Attempts that reached a target, and how many may.
  uint32_t arrivals = 0;
  uint32_t maxTargets = 0;
  /// Whether the request may run more than once.
  bool idempotent = false;
  /// Whether requests of its route were seen to make calls of their own.
  bool makesCalls = false;
};

/// A failure that a target answered.
struct AnsweredFailure {
  int status = 0;
  /// Time since the request arrived, and until its deadline.
  Duration age{0};
  Duration remaining{0};
  /// Whether a service on the path refuses requests.
  bool overloaded = false;
};

/// Whether an attempt may be repeated.
struct RepeatDecision {
  bool allowed = false;
  /// Share of the allowed repeats that may be used up for it; nothing if it
  /// does not count as a repeat.
  std::optional<double> share;
};

/// Decides at the entry node whether a failed attempt may be repeated. The
/// bounds on counted repeats are asked only after this. Stateless; any thread.
class RepeatPolicy {
 public:
  static RepeatDecision Decide(const FailedAttempt& aFailed);
  /// Whether another run may end better than an answered failure.
  static bool IsWorthwhile(const AnsweredFailure& aFailure);
};

}  // namespace fescueline
