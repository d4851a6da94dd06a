#include "Retry/RetryPolicy.h"

namespace fescueline {

namespace {
/// Whether another target could do better. No default label, so that the
/// compiler reports a new cause.
bool DependsOnTarget(Cause aCause) {
  switch (aCause) {
    // This one target or the path to it: busy, leaving, paused or broken.
    case Cause::StaleKnowledge:
    case Cause::Overloaded:
    case Cause::Draining:
    case Cause::ConnectFailed:
    case Cause::ConnectionLost:
    case Cause::TargetShed:
    case Cause::TargetFailed:
      return true;
    // A property of the request, or the same at every target.
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
  // A response of the target is final, and only the hop next to the failure
  // retries; otherwise every hop of a chain would multiply the attempts.
  if (aCall.outcome == Outcome::Ran || !aCall.adjacent) {
    return false;
  }
  if (aCall.outcome == Outcome::Unknown && !aCall.idempotent) {
    return false;
  }
  return aCall.remaining >= this->settings.minRemaining &&
         DependsOnTarget(aCall.cause);
}

}  // namespace fescueline
