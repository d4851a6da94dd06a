#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "Mesh/EntryRetryPolicy.h"

using namespace fescueline;
using namespace std::chrono_literals;

namespace {

/// A failed attempt that may be retried if its outcome and cause allow it.
FailedAttempt Failed(Outcome aOutcome, Cause aCause) {
  return {.outcome = aOutcome,
          .cause = aCause,
          .remaining = 1s,
          .nodesTried = 1,
          .reachedTargets = 1,
          .maxTargets = 2,
          .idempotent = true,
          .makesCalls = false};
}

FailedAttempt With(FailedAttempt aFailed, void (*aChange)(FailedAttempt&)) {
  aChange(aFailed);
  return aFailed;
}

/// Part of the retry allowance that may be used for a retry.
enum class Cost : uint8_t { Refused, None, Whole, Part };

Cost CostOf(const RetryDecision& aDecision) {
  if (!aDecision.allowed) {
    return Cost::Refused;
  }
  if (!aDecision.share) {
    return Cost::None;
  }
  return *aDecision.share < 1.0 ? Cost::Part : Cost::Whole;
}

struct RetryCase {
  std::string name;
  FailedAttempt failed;
  Cost cost;
};

}  // namespace

// Guards against a retry that could run a non-idempotent request twice, that
// cannot succeed, or that evades the limits on retries.
TEST_CASE("which attempts may be retried and which retries are counted") {
  const FailedAttempt refused = Failed(Outcome::NotRun, Cause::ConnectFailed);
  const FailedAttempt shed = Failed(Outcome::NotRun, Cause::TargetShed);
  const FailedAttempt lost = Failed(Outcome::Unknown, Cause::ConnectionLost);
  const FailedAttempt failed = Failed(Outcome::Ran, Cause::TargetFailed);
  const auto once = [](FailedAttempt& aFailed) { aFailed.idempotent = false; };
  const auto calls = [](FailedAttempt& aFailed) { aFailed.makesCalls = true; };
  const auto reached = [](FailedAttempt& aFailed) {
    aFailed.reachedTargets = 2;
  };
  const auto tried = [](FailedAttempt& aFailed) { aFailed.nodesTried = 4; };
  const auto late = [](FailedAttempt& aFailed) { aFailed.remaining = 19ms; };
  const std::vector<RetryCase> cases = {
      {"not run", refused, Cost::None},
      {"not run, overloaded", Failed(Outcome::NotRun, Cause::Overloaded),
       Cost::None},
      {"not run, non-idempotent", With(refused, once), Cost::None},
      {"not run, makes downstream calls", With(refused, calls), Cost::None},
      {"not run, maximum of targets reached", With(refused, reached),
       Cost::None},
      {"not run, just enough time",
       With(refused, [](FailedAttempt& aFailed) { aFailed.remaining = 20ms; }),
       Cost::None},
      {"not run, too late", With(refused, late), Cost::Refused},
      {"not run, past the deadline",
       With(refused, [](FailedAttempt& aFailed) { aFailed.remaining = -1s; }),
       Cost::Refused},
      {"not run, one node left to try",
       With(refused, [](FailedAttempt& aFailed) { aFailed.nodesTried = 3; }),
       Cost::None},
      {"not run, maximum of nodes tried", With(refused, tried), Cost::Refused},
      {"not run, expired", Failed(Outcome::NotRun, Cause::DeadlineExpired),
       Cost::Refused},
      {"not run, key withdrawn", Failed(Outcome::NotRun, Cause::UnknownKey),
       Cost::Refused},
      {"shed", shed, Cost::Whole},
      {"shed, non-idempotent", With(shed, once), Cost::Whole},
      {"shed, makes downstream calls", With(shed, calls), Cost::Whole},
      {"shed, maximum of targets reached", With(shed, reached), Cost::Refused},
      {"shed, too late", With(shed, late), Cost::Refused},
      {"shed, maximum of nodes tried", With(shed, tried), Cost::Refused},
      {"lost", lost, Cost::Whole},
      {"lost, non-idempotent", With(lost, once), Cost::Refused},
      {"lost, makes downstream calls", With(lost, calls), Cost::Part},
      {"lost, maximum of targets reached", With(lost, reached), Cost::Refused},
      {"lost, too late", With(lost, late), Cost::Refused},
      {"lost, expired", Failed(Outcome::Unknown, Cause::DeadlineExpired),
       Cost::Refused},
      {"failed", failed, Cost::Whole},
      {"failed, non-idempotent", With(failed, once), Cost::Refused},
      {"failed, makes downstream calls", With(failed, calls), Cost::Part},
      {"failed, maximum of targets reached", With(failed, reached),
       Cost::Refused}};
  for (const RetryCase& row : cases) {
    CAPTURE(row.name);
    CHECK(CostOf(EntryRetryPolicy::Decide(row.failed)) == row.cost);
  }
}

// Guards against retries when the failure comes from a downstream service,
// which multiplies the load there.
TEST_CASE("which error responses are worth a retry") {
  struct Case {
    std::string name;
    AnsweredFailure failure;
    bool worthwhile;
  };
  for (const Case& row : std::vector<Case>{
           {"quick", {.status = 500, .age = 10ms, .remaining = 90ms}, true},
           {"slow", {.status = 500, .age = 60ms, .remaining = 40ms}, false},
           {"half the time",
            {.status = 500, .age = 50ms, .remaining = 50ms},
            false},
           {"overloaded downstream service",
            {.status = 500, .age = 10ms, .remaining = 90ms, .overloaded = true},
            false},
           {"failure of a downstream service",
            {.status = 502, .age = 10ms, .remaining = 90ms},
            false},
           {"unavailable",
            {.status = 503, .age = 10ms, .remaining = 90ms},
            false}}) {
    CAPTURE(row.name);
    CHECK(EntryRetryPolicy::IsWorthwhile(row.failure) == row.worthwhile);
  }
}
