#include "Mesh/EntryRetryPolicy.h"

namespace fescueline {

namespace {
/// Maximum number of nodes that a request is sent to while none has run it.
/// Each costs a round trip, and after three full targets a fourth is rarely
/// free.
constexpr size_t kMaxNodesTried = 4;
/// Minimum remaining time for another attempt.
constexpr Duration kMinRetryTime = std::chrono::milliseconds(20);
/// Share of the retry allowance for requests that have run and make downstream
/// calls. A retry makes these calls again, and they count as retries at every
/// downstream service.
constexpr double kRerunShare = 0.35;
/// Status of a target that ran a request and failed.
constexpr int kInternalServerError = 500;
}  // namespace

RetryDecision EntryRetryPolicy::Decide(const FailedAttempt& aFailed) {
  if (aFailed.remaining < kMinRetryTime ||
      aFailed.nodesTried >= kMaxNodesTried ||
      aFailed.cause == Cause::DeadlineExpired ||
      aFailed.cause == Cause::UnknownKey) {
    return {};
  }
  const bool notRun = aFailed.outcome == Outcome::NotRun;
  if (notRun && aFailed.cause != Cause::TargetShed) {
    return {.allowed = true};
  }
  if ((!notRun && !aFailed.idempotent) ||
      aFailed.reachedTargets >= aFailed.maxTargets) {
    return {};
  }
  return {.allowed = true,
          .share = notRun || !aFailed.makesCalls ? 1.0 : kRerunShare};
}

bool EntryRetryPolicy::IsWorthwhile(const AnsweredFailure& aFailure) {
  // A failure that took long originates at a downstream service, where a retry
  // would only add load. The same holds while a downstream service is
  // overloaded.
  return aFailure.status == kInternalServerError &&
         aFailure.age < aFailure.remaining && !aFailure.overloaded;
}

}  // namespace fescueline
