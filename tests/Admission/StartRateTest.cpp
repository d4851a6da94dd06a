#include <doctest/doctest.h>

#include <deque>
#include <vector>

#include "Admission/AdmissionController.h"

using namespace fescueline;
using namespace std::chrono_literals;

namespace {

/// A target that was started under load: far more requests arrive than it takes
/// while it is cold. Time is simulated.
class ColdTarget {
 public:
  explicit ColdTarget(double aRate) {
    this->controller.Core().SetDeclaredLimits(30, std::nullopt);
    this->controller.Core().SetStartRate(aRate, this->now);
  }

  /// Offers a request of the given importance every aGap, and runs what starts
  /// for 50 ms.
  void Run(Duration aTime, Duration aGap, Importance aImportance) {
    const TimePoint end = this->now + aTime;
    while (this->now < end) {
      this->now += aGap;
      const OfferResult result =
          this->controller.Offer({.organisation = "o",
                                  .importance = aImportance,
                                  .rootStart = this->now,
                                  .deadline = this->now + 700ms},
                                 0, this->now);
      this->refused += result.enqueued ? 0 : 1;
      this->Step();
    }
  }
  /// Largest number of starts within a second.
  size_t MostPerSecond() const {
    size_t most = 0;
    for (size_t first = 0, last = 0; last < this->starts.size(); ++last) {
      while (this->starts[last] - this->starts[first] >= 1s) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }

  AdmissionController<int> controller{AdmissionSettings{}, 1};
  TimePoint now{1h};
  std::vector<TimePoint> starts;
  size_t refused = 0;

 private:
  void Step() {
    while (!this->running.empty() && this->running.front().first <= this->now) {
      this->controller.Finished(this->running.front().second,
                                {.childTime = {}, .complete = true}, this->now);
      this->running.pop_front();
    }
    AdmissionController<int>::Batch batch;
    this->controller.Dispatch(this->now, batch);
    for (const auto& started : batch.started) {
      this->starts.push_back(this->now);
      this->running.emplace_back(this->now + 50ms, started.handle);
    }
  }

  std::deque<std::pair<TimePoint, AdmissionHandle>> running;
};

constexpr double kColdRate = 11;

}  // namespace

// Many nodes send to a target that has just started, each within its share.
// Guards against a cold target that gets more than it takes, and falls over.
TEST_CASE("a bound on starts holds in each second") {
  for (const Duration gap : {Duration(1ms), Duration(7ms), Duration(60ms)}) {
    ColdTarget target(kColdRate);
    target.Run(5s, gap, Importance::Normal);
    CHECK(target.MostPerSecond() <=
          static_cast<size_t>(kColdRate + AdmissionCore::kStartBurst));
    // The target is kept busy with what it takes.
    CHECK(target.starts.size() >= 5 * 10);
    CHECK(target.refused > 0);
  }
}

// Guards against requests that wait at a cold target although others have room,
// and against a state that makes other nodes send as much as usual.
TEST_CASE("a bounded target queues little and reports few slots") {
  ColdTarget target(kColdRate);
  target.Run(3s, 2ms, Importance::Normal);
  CHECK(target.controller.Core().Queued() <= 2);
  CHECK(target.controller.Core().UsableSlots() < 5);
}

// Guards against less important requests that use up what a cold target takes.
TEST_CASE("a bounded target starts important requests first") {
  ColdTarget target(kColdRate);
  target.Run(1s, 10ms, Importance::Low);
  const size_t before = target.starts.size();
  const size_t refused = target.refused;
  target.Run(1s, 100ms, Importance::Critical);
  CHECK(target.starts.size() - before >= 9);
  CHECK(target.refused == refused);
}

// Guards against a bound that stays after the warm-up, and against a burst at
// its end.
TEST_CASE("a target takes its usual load after the warm-up") {
  ColdTarget target(kColdRate);
  target.Run(2s, 5ms, Importance::Normal);
  target.controller.Core().SetStartRate(0, target.now);
  const size_t before = target.starts.size();
  target.Run(1s, 5ms, Importance::Normal);
  CHECK(target.starts.size() - before >= 190);
  CHECK(target.controller.Core().UsableSlots() == 30);
  // Cold again, without credit for the time in between.
  target.controller.Core().SetStartRate(kColdRate, target.now);
  target.starts.clear();
  target.Run(3s, 1ms, Importance::Normal);
  CHECK(target.MostPerSecond() <=
        static_cast<size_t>(kColdRate + AdmissionCore::kStartBurst));
}
