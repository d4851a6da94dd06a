#include "Mesh/RepeatPolicy.h"

namespace fescueline {

namespace {
/// Nodes that a request is offered to while none has run it. Each offer costs
/// a round trip, and after three full targets a fourth is rarely free.
constexpr size_t kMaxOffers = 4;
/// Least time that is worth another attempt.
constexpr Duration kWorthRepeating = std::chrono::milliseconds(20);
/// Share of the allowed repeats for requests that have run and make calls: each
/// makes its calls again, which count as repeats at every service further down.
constexpr double kRerunShare = 0.35;
/// Status of a target that ran a request and failed.
constexpr int kOwnFailure = 500;
}  // namespace

RepeatDecision RepeatPolicy::Decide(const FailedAttempt& aFailed) {
  if (aFailed.remaining < kWorthRepeating || aFailed.offers >= kMaxOffers ||
      aFailed.cause == Cause::DeadlineExpired ||
      aFailed.cause == Cause::UnknownKey) {
    return {};
  }
  const bool notRun = aFailed.outcome == Outcome::NotRun;
  if (notRun && aFailed.cause != Cause::TargetShed) {
    return {.allowed = true};
  }
  if ((!notRun && !aFailed.idempotent) ||
      aFailed.arrivals >= aFailed.maxTargets) {
    return {};
  }
  return {.allowed = true,
          .share = notRun || !aFailed.makesCalls ? 1.0 : kRerunShare};
}

bool RepeatPolicy::IsWorthwhile(const AnsweredFailure& aFailure) {
  // A failure that has taken long comes from further down, where another run
  // would only add load; so does one while the path is overloaded.
  return aFailure.status == kOwnFailure && aFailure.age < aFailure.remaining &&
         !aFailure.overloaded;
}

}  // namespace fescueline
