#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "Retry/RetryPolicy.h"

using namespace fescueline;
using namespace std::chrono_literals;

namespace {
struct PolicyCase {
  std::string name;
  FailedCall call;
  bool retry;
};

FailedCall NotRun(Cause aCause, bool aOnThisHop = true,
                  Duration aRemaining = 1s) {
  return {.outcome = Outcome::NotRun,
          .cause = aCause,
          .idempotent = false,
          .onThisHop = aOnThisHop,
          .remaining = aRemaining};
}

FailedCall Unknown(bool aIdempotent, Cause aCause = Cause::ConnectionLost) {
  return {.outcome = Outcome::Unknown,
          .cause = aCause,
          .idempotent = aIdempotent,
          .onThisHop = true,
          .remaining = 1s};
}
}  // namespace

// Guards against a retry that could run a non-idempotent request twice, that
// cannot succeed, or that another hop makes as well.
TEST_CASE("only safe and useful retries are allowed") {
  const std::vector<PolicyCase> cases = {
      {"connect failed", NotRun(Cause::ConnectFailed), true},
      {"shed by the target", NotRun(Cause::TargetShed), true},
      {"refused in the queue", NotRun(Cause::Overloaded), true},
      {"draining", NotRun(Cause::Draining), true},
      {"target's node is stale", NotRun(Cause::StaleKnowledge), true},
      {"tombstone", NotRun(Cause::ConnectionLost), true},
      {"deeper hop", NotRun(Cause::ConnectFailed, false), false},
      {"enough time", NotRun(Cause::ConnectFailed, true, 5ms), true},
      {"no time", NotRun(Cause::ConnectFailed, true, 4ms), false},
      {"expired", NotRun(Cause::ConnectFailed, true, -1s), false},
      {"lost, idempotent", Unknown(true), true},
      {"lost, not idempotent", Unknown(false), false},
      {"target failed, idempotent", Unknown(true, Cause::TargetFailed), true},
      {"target failed, not idempotent", Unknown(false, Cause::TargetFailed),
       false},
      {"duplicate", Unknown(true, Cause::Duplicate), false},
      {"cancelled", NotRun(Cause::Cancelled), false},
      {"no target", NotRun(Cause::NoTarget), false},
      {"no key", NotRun(Cause::NoKey), false},
      {"rate", NotRun(Cause::RateExceeded), false},
      {"store unavailable", NotRun(Cause::StoreUnavailable), false},
  };
  for (const PolicyCase& row : cases) {
    CAPTURE(row.name);
    CHECK(RetryPolicy({}).MayRetry(row.call) == row.retry);
  }
}

// Guards against a retry of a response that the target itself produced.
TEST_CASE("a response of the target is never retried") {
  for (const auto& row : EnumNames<Cause>::kNames) {
    for (const bool idempotent : {false, true}) {
      CAPTURE(row.name);
      CHECK_FALSE(RetryPolicy({}).MayRetry({.outcome = Outcome::Ran,
                                            .cause = row.value,
                                            .idempotent = idempotent,
                                            .onThisHop = true,
                                            .remaining = 1s}));
    }
  }
}
