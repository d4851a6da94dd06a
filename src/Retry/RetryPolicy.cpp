#include "Retry/RetryPolicy.h"

namespace fescueline {

namespace {
/// Whether a retry on another target could succeed. There is no default label,
/// so that the compiler reports a missing cause.
bool DependsOnTarget(Cause aCause) {
  switch (aCause) {
    // Specific to this target or the path to it: busy, draining, paused or
    // faulty.
    case Cause::StaleKnowledge:
    case Cause::Overloaded:
    case Cause::Draining:
    case Cause::ConnectFailed:
    case Cause::ConnectionLost:
    case Cause::TargetShed:
    case Cause::TargetFailed:
      return true;
    // Specific to the request, or the same at every target.
    case Cause::None:
    case Cause::NoRoute:
    case Cause::NoKey:
    case Cause::UnknownKey:
    case Cause::BadRequest:
    case Cause::RateExceeded:
    case Cause::DeadlineExpired:
    case Cause::NoTarget:
    case Cause::Cancelled:
    case Cause::Duplicate:
    case Cause::StoreUnavailable:
    case Cause::BadContext:
      return false;
  }
  return false;
}
}  // namespace

bool RetryPolicy::MayRetry(const FailedCall& aCall) const {
  // A response of the target is final. Only the hop adjacent to the failure
  // retries; otherwise each hop of a chain would multiply the attempts.
  if (aCall.outcome == Outcome::Ran || !aCall.onThisHop) {
    return false;
  }
  if (aCall.outcome == Outcome::Unknown && !aCall.idempotent) {
    return false;
  }
  return aCall.remaining >= this->settings.minRemaining &&
         DependsOnTarget(aCall.cause);
}

}  // namespace fescueline
