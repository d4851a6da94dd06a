#pragma once

#include "Core/Outcome.h"
#include "Core/Time.h"

namespace fescueline {

/// A failed call, as seen by the node that sent it.
struct FailedCall {
  /// What is known about the work.
  Outcome outcome = Outcome::Unknown;
  /// Cause of the failure.
  Cause cause = Cause::None;
  /// Whether the request may run more than once.
  bool idempotent = false;
  /// Whether the failure happened between this node and the target that it
  /// chose, and was not passed on from a call further down.
  bool adjacent = false;
  /// Time left until the request's deadline.
  Duration remaining{0};
};

/// Bounds of a RetryPolicy.
struct RetryPolicySettings {
  /// Least time to the deadline that a retry is worth. A new connection
  /// takes about 1 ms and a trip between data centres 1.5 ms.
  Duration minRemaining = std::chrono::milliseconds(5);
};

/// Decides whether a failed call may be sent again. RetryBudget and
/// RetryRatio are asked only after this. Stateless; any thread.
class RetryPolicy {
 public:
  explicit RetryPolicy(const RetryPolicySettings& aSettings)
      : settings(aSettings) {}

  /// Whether the call may be sent to another target.
  bool MayRetry(const FailedCall& aCall) const;

 private:
  /// Bounds.
  RetryPolicySettings settings;
};

}  // namespace fescueline
