#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "Core/Outcome.h"
#include "Core/Time.h"

namespace fescueline {

/// A failed attempt and the state of its request.
struct FailedAttempt {
  Outcome outcome = Outcome::Unknown;
  Cause cause = Cause::None;
  /// Time left until the request's deadline.
  Duration remaining{0};
  /// Number of nodes that the request was sent to.
  size_t nodesTried = 0;
  /// Attempts that reached a target, and their maximum.
  uint32_t reachedTargets = 0;
  uint32_t maxTargets = 0;
  /// Whether the request may run more than once.
  bool idempotent = false;
  /// Whether requests of the route have been observed to make downstream
  /// calls.
  bool makesCalls = false;
};

/// An error response of a target.
struct AnsweredFailure {
  int status = 0;
  /// Time since the request arrived, and time until its deadline.
  Duration age{0};
  Duration remaining{0};
  /// Whether a downstream service refuses requests.
  bool overloaded = false;
};

/// Whether a request may be retried.
struct RetryDecision {
  bool allowed = false;
  /// Share of the retry allowance up to which the retry may be made; nullopt if
  /// the retry does not count against the allowance.
  std::optional<double> share;
};

/// Decides at the entry node whether a failed request may be retried. The
/// limits on counted retries are checked afterwards. Stateless and
/// thread-safe.
class EntryRetryPolicy {
 public:
  static RetryDecision Decide(const FailedAttempt& aFailed);
  /// Whether a retry after an error response may succeed.
  static bool IsWorthwhile(const AnsweredFailure& aFailure);
};

}  // namespace fescueline
