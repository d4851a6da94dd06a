#include <doctest/doctest.h>

#include <vector>

#include "Freshness/PropertyRun.h"
#include "Limits/ExcessMeter.h"
#include "Limits/TokenBucket.h"

using namespace fescueline;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
const TimePoint kStart{std::chrono::hours(1)};
constexpr MicroTokens kToken = kMicroTokensPerToken;

struct ExcessCase {
  const char* name;
  std::vector<int> atMilliseconds;
  MicroTokens excess;
};
}  // namespace

// Guards against a meter that misses the worst window, which need not begin at
// the first admission nor end at the last.
TEST_CASE("the excess meter finds the worst window") {
  const std::vector<ExcessCase> cases = {
      {"none", {}, 0},
      {"burst", {0, 0, 0}, 0},
      {"burst and one", {0, 0, 0, 0}, kToken},
      {"within rate", {0, 0, 0, 100, 200, 300}, 0},
      {"worst in the middle",
       {0, 1000, 1000, 1000, 1000, 1050, 5000},
       kToken + kToken / 2},
      {"slightly too fast", {0, 0, 0, 50}, kToken / 2},
  };
  for (const ExcessCase& row : cases) {
    CAPTURE(row.name);
    ExcessMeter meter({.rate = 10 * kToken, .capacity = 3 * kToken});
    for (int at : row.atMilliseconds) {
      meter.Add(kStart + milliseconds(at));
    }
    CHECK(meter.LargestExcess() == row.excess);
  }
}

// Guards against a meter that differs from the definition. Compares it with all
// windows of random admissions.
TEST_CASE("property: the excess meter equals the maximum over all windows") {
  CHECK(HoldsFor(500, [] {
    const Portion limit{.rate = *rc::gen::inRange(1, 50) * kToken / 7,
                        .capacity = *rc::gen::inRange(0, 5) * kToken};
    std::vector<int64_t> times;
    int64_t now = 0;
    const int count = *rc::gen::inRange(1, 40);
    for (int i = 0; i < count; ++i) {
      now += *rc::gen::inRange<int64_t>(0, 400);
      times.push_back(now);
    }
    ExcessMeter meter(limit);
    MicroTokens worst = 0;
    for (size_t e = 0; e < times.size(); ++e) {
      meter.Add(kStart + milliseconds(times[e]));
      for (size_t s = 0; s <= e; ++s) {
        const MicroTokens admitted =
            static_cast<MicroTokens>(e - s + 1) * kToken;
        const MicroTokens accrued = limit.rate * (times[e] - times[s]) / 1000;
        worst = std::max(worst, admitted - accrued - limit.capacity);
      }
    }
    // The two computations round at different places.
    RC_ASSERT(meter.LargestExcess() <= worst + 1);
    RC_ASSERT(meter.LargestExcess() >= worst - 1);
  }));
}

// Guards against capacity created by rounding when a bucket is split and merged
// again at arbitrary times, and against tokens above the capacity.
TEST_CASE("property: splitting and merging buckets never admits more") {
  CHECK(HoldsFor(2000, [] {
    const Portion limit{
        .rate = *rc::gen::inRange<MicroTokens>(0, 30 * kToken),
        .capacity = *rc::gen::inRange<MicroTokens>(0, 6 * kToken)};
    std::vector<TokenBucket> buckets(3);
    TimePoint now = kStart;
    buckets[0].Add(limit, limit.capacity, now);
    ExcessMeter meter(limit);
    const int steps = *rc::gen::inRange(1, 100);
    for (int i = 0; i < steps; ++i) {
      now += Duration(*rc::gen::inRange<int64_t>(0, 300'000'000));
      TokenBucket& from = buckets[*rc::gen::inRange<size_t>(0, 3)];
      TokenBucket& to = buckets[*rc::gen::inRange<size_t>(0, 3)];
      if (*rc::gen::arbitrary<bool>()) {
        while (from.TrySpend(now)) {
          meter.Add(now);
        }
      } else {
        const Portion size = from.Size();
        const Portion part{
            .rate = *rc::gen::inRange<MicroTokens>(0, size.rate + 1),
            .capacity = *rc::gen::inRange<MicroTokens>(0, size.capacity + 1)};
        const MicroTokens least = *rc::gen::inRange<MicroTokens>(0, kToken);
        const MicroTokens tokens = from.Remove(part, least, now);
        RC_ASSERT(tokens <= part.capacity);
        now += Duration(*rc::gen::inRange<int64_t>(0, 50'000'000));
        to.Add(part, tokens, now);
      }
      Portion sum;
      for (TokenBucket& bucket : buckets) {
        RC_ASSERT(bucket.Tokens(now) <= bucket.Size().capacity);
        sum += bucket.Size();
      }
      RC_ASSERT(sum == limit);
    }
    RC_ASSERT(meter.LargestExcess() == 0);
  }));
}

// Guards against an overflow of the bucket's level at the largest limits in
// use.
TEST_CASE("a bucket of a million tokens a second refills exactly") {
  TokenBucket bucket;
  const Portion large{.rate = 2'000'000 * kToken,
                      .capacity = 100'000'000 * kToken};
  bucket.Add(large, 0, kStart);
  CHECK(bucket.Tokens(kStart + Duration(1)) == 2'000);
  CHECK(bucket.Tokens(kStart + seconds(10)) == 20'000'000 * kToken);
  CHECK(bucket.Tokens(kStart + std::chrono::hours(24 * 365)) == large.capacity);
}
