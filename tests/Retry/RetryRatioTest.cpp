#include <doctest/doctest.h>

#include <deque>

#include "Core/RandomSource.h"
#include "Retry/RetryRatio.h"

using namespace fescueline;
using namespace std::chrono_literals;

// Guards against a node with little traffic that can never retry, and against a
// floor that is granted more than once per window.
TEST_CASE("the floor is granted once per window") {
  RetryRatio ratio{RetryRatioSettings{}};
  ManualClock clock;
  for (int i = 0; i < 5; ++i) {
    CHECK(ratio.TryRetry(clock.Now()));
  }
  CHECK_FALSE(ratio.TryRetry(clock.Now()));
  clock.Advance(8999ms);
  CHECK_FALSE(ratio.TryRetry(clock.Now()));
  clock.Advance(1001ms);
  CHECK(ratio.TryRetry(clock.Now()));
}

// Guards against more than 10% retries under sustained failure.
TEST_CASE("retries stay at a tenth of the first attempts") {
  RetryRatio ratio{RetryRatioSettings{}};
  ManualClock clock;
  uint64_t retries = 0;
  for (int i = 0; i < 60000; ++i) {
    clock.Advance(1ms);
    ratio.OnFirstAttempt(clock.Now());
    retries += ratio.TryRetry(clock.Now());
  }
  CHECK(retries <= 6000);
  CHECK(retries >= 5900);
  CHECK(ratio.Utilisation(clock.Now()) <= 1.0);
}

// Guards against first attempts outside the window that still allow retries.
TEST_CASE("an allowance expires with its window") {
  RetryRatio ratio{RetryRatioSettings{}};
  ManualClock clock;
  for (int i = 0; i < 1000; ++i) {
    ratio.OnFirstAttempt(clock.Now());
  }
  clock.Advance(10s);
  uint64_t retries = 0;
  for (int i = 0; i < 1000; ++i) {
    retries += ratio.TryRetry(clock.Now());
  }
  CHECK(retries == 5);
}

// Guards against bursts over the limit: in any window of random traffic, the
// retries must be within the floor or the ratio of the window's first attempts.
// The oldest bucket is only partly within the window, so the test counts its
// first attempts but not its retries.
TEST_CASE("every window of random traffic is within the limit") {
  RandomSource random(1);
  RetryRatio ratio{RetryRatioSettings{}};
  ManualClock clock;
  std::deque<TimePoint> firstAttempts;
  std::deque<TimePoint> retries;
  for (int i = 0; i < 50000; ++i) {
    clock.Advance(std::chrono::milliseconds(random.NextBelow(40)));
    if (random.NextBelow(1000) == 0) {
      clock.Advance(std::chrono::milliseconds(random.NextBelow(30000)));
    }
    const TimePoint from = clock.Now() - 9s;
    while (!firstAttempts.empty() && firstAttempts.front() <= from - 1s) {
      firstAttempts.pop_front();
    }
    while (!retries.empty() && retries.front() <= from) {
      retries.pop_front();
    }
    if (random.NextBelow(4) != 0) {
      ratio.OnFirstAttempt(clock.Now());
      firstAttempts.push_back(clock.Now());
    } else if (ratio.TryRetry(clock.Now())) {
      retries.push_back(clock.Now());
      REQUIRE(static_cast<double>(retries.size()) <=
              std::max(5.0, 0.1 * static_cast<double>(firstAttempts.size())));
    }
  }
}

// Guards against retries that multiply down a chain beyond the bound at the
// last service. This happens when all targets of that service fail part of
// their requests and every level of the chain retries them.
TEST_CASE("retries use a share of the bound, their calls count against it") {
  constexpr double kRatio = 0.15;
  constexpr double kShare = 0.3;
  RetryRatio upper({.ratio = kRatio, .floor = 0});
  RetryRatio lower({.ratio = kRatio, .floor = 0});
  const TimePoint now = ManualClock().Now();
  int firstAttempts = 0;
  int retries = 0;
  for (int i = 0; i < 2000; ++i) {
    // Every request of the upper service makes one call, and all fail.
    upper.OnFirstAttempt(now);
    const int runs = upper.TryRetry(now, kShare) ? 2 : 1;
    for (int run = 0; run < runs; ++run) {
      lower.OnFirstAttempt(now);
      ++firstAttempts;
      if (run > 0) {
        lower.OnRetry(now);
        ++retries;
      }
      if (lower.TryRetry(now)) {
        ++retries;
      }
    }
  }
  CHECK(retries <= firstAttempts * kRatio + 1);
  CHECK(retries >= firstAttempts * kRatio - 2);
}
