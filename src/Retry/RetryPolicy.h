#pragma once

#include "Core/Outcome.h"
#include "Core/Time.h"

namespace fescueline {

/// A failed call, from the view of the node that sent it.
struct FailedCall {
  /// Whether the target ran the request, as far as known.
  Outcome outcome = Outcome::Unknown;
  Cause cause = Cause::None;
  bool idempotent = false;
  /// Whether the failure occurred between this node and the target it chose,
  /// rather than in a nested call.
  bool onThisHop = false;
  /// Time until the request's deadline.
  Duration remaining{0};
};

struct RetryPolicySettings {
  /// Minimum time to the deadline for a retry. A new connection takes about
  /// 1 ms, and a trip between data centres 1.5 ms.
  Duration minRemaining = std::chrono::milliseconds(5);
};

/// Decides whether a failed call may be retried. To be checked before
/// RetryBudget and RetryRatio. Thread-safe.
class RetryPolicy {
 public:
  explicit RetryPolicy(const RetryPolicySettings& aSettings)
      : settings(aSettings) {}

  /// Whether the call may be retried on another target.
  bool MayRetry(const FailedCall& aCall) const;

 private:
  RetryPolicySettings settings;
};

}  // namespace fescueline
