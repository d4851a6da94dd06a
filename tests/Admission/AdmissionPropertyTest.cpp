#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>

#include "Admission/AdmissionController.h"

using namespace fescueline;
using namespace std::chrono_literals;

namespace {
/// Ticket of a request in these tests.
struct Item {
  Importance importance = Importance::Normal;
  uint32_t organisation = 0;
  TimePoint deadline;
  Duration work{0};
};

/// Target with a fixed number of slots that is offered more requests than it
/// can serve.
struct OverloadedTarget {
  OverloadedTarget(uint32_t aSlots, const AdmissionSettings& aSettings)
      : controller(aSettings, 1) {
    this->controller.Core().SetDeclaredLimits(aSlots, std::nullopt);
  }

  bool Offer(const Item& aItem) {
    const std::string name = "o" + std::to_string(aItem.organisation);
    Item item = aItem;
    return this->controller
        .Offer({.organisation = name,
                .importance = aItem.importance,
                .rootId = {++this->offered, 7},
                .rootStart = this->clock.Now(),
                .deadline = aItem.deadline},
               std::move(item), this->clock.Now())
        .enqueued;
  }

  /// Advances the clock, ends requests that are due and starts queued ones.
  void Advance(Duration aStep) {
    this->clock.Advance(aStep);
    while (!this->running.empty() &&
           this->running.begin()->first <= this->clock.Now()) {
      const auto first = this->running.begin();
      this->controller.Finished(first->second, {}, this->clock.Now());
      this->running.erase(first);
    }
    this->controller.Dispatch(this->clock.Now(), this->batch);
    for (const auto& started : this->batch.started) {
      this->running.emplace(this->clock.Now() + started.ticket.work,
                            started.handle);
      this->serviceTime[started.ticket.organisation] +=
          ToSeconds(started.ticket.work);
      ++this->starts[started.ticket.organisation];
    }
  }

  ManualClock clock;
  AdmissionController<Item> controller;
  AdmissionController<Item>::Batch batch;
  std::multimap<TimePoint, AdmissionHandle> running;
  /// Service time of each organisation, in seconds.
  std::map<uint32_t, double> serviceTime;
  std::map<uint32_t, int> starts;
  uint64_t offered = 0;
};
}  // namespace

// Guards against less important requests that start or stay queued while more
// important ones are queued, refused or evicted; against expired requests that
// reach the target; and against more requests in flight than declared.
TEST_CASE("order, expiry and limit hold for any sequence of requests") {
  CHECK(rc::check("invariants", [] {
    const auto slots = *rc::gen::inRange<uint32_t>(1, 6);
    AdmissionSettings settings;
    settings.maxQueued = *rc::gen::inRange<uint32_t>(1, 12);
    settings.minQueued = settings.maxQueued;
    OverloadedTarget target(slots, settings);
    const AdmissionCore& core = target.controller.Core();
    const auto worstQueued = [&] {
      int worst = -1;
      for (int i = 0; i < static_cast<int>(kImportanceClasses); ++i) {
        worst = core.Queued(static_cast<Importance>(i)) > 0 ? i : worst;
      }
      return worst;
    };
    const auto bestQueued = [&] {
      int best = kImportanceClasses;
      for (int i = kImportanceClasses - 1; i >= 0; --i) {
        best = core.Queued(static_cast<Importance>(i)) > 0 ? i : best;
      }
      return best;
    };
    for (int step = 0; step < 150; ++step) {
      const Item item{
          .importance = static_cast<Importance>(*rc::gen::inRange<int>(0, 4)),
          .organisation = *rc::gen::inRange<uint32_t>(0, 4),
          .deadline = target.clock.Now() +
                      std::chrono::milliseconds(*rc::gen::inRange(-2, 400)),
          .work = std::chrono::milliseconds(*rc::gen::inRange(1, 40))};
      const uint64_t refusedBefore = core.Counters().refused;
      target.Offer(item);
      if (core.Counters().refused > refusedBefore) {
        RC_ASSERT(worstQueued() <= static_cast<int>(item.importance));
      }
      target.Advance(std::chrono::milliseconds(*rc::gen::inRange(0, 10)));
      for (const auto& started : target.batch.started) {
        RC_ASSERT(started.ticket.deadline > target.clock.Now());
        RC_ASSERT(static_cast<int>(started.ticket.importance) <= bestQueued());
      }
      for (const auto& dropped : target.batch.dropped) {
        RC_ASSERT(dropped.refusal.retryAfter > 0ns);
        if (dropped.refusal.cause == Cause::DeadlineExpired) {
          RC_ASSERT(dropped.ticket.deadline <= target.clock.Now());
        }
      }
      RC_ASSERT(core.InFlight() <= slots);
      RC_ASSERT(core.Queued() <= settings.maxQueued);
    }
  }));
}

// Guards against an organisation that gets more service time by sending longer
// or more requests, and against a weight without effect.
TEST_CASE("organisations share service time by weight") {
  struct Row {
    std::string name;
    Duration work0;
    int offers0;
    double weight0;
    double expected;
  };
  const std::vector<Row> rows = {
      {"equal", 10ms, 1, 1, 1},
      {"ten times longer requests", 100ms, 1, 1, 1},
      {"ten times as many requests", 10ms, 10, 1, 1},
      {"twice the weight", 10ms, 1, 2, 2},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    OverloadedTarget target(4, {});
    target.controller.Core().SetWeight("o0", row.weight0);
    for (int step = 0; step < 20000; ++step) {
      for (int i = 0; i < row.offers0; ++i) {
        target.Offer({.organisation = 0,
                      .deadline = target.clock.Now() + 1s,
                      .work = row.work0});
      }
      target.Offer({.organisation = 1,
                    .deadline = target.clock.Now() + 1s,
                    .work = 10ms});
      target.Advance(1ms);
    }
    // The fairness goal allows the worst-served organisation 10% less.
    const double ratio = target.serviceTime[0] / target.serviceTime[1];
    CHECK(ratio / row.expected >= 0.9);
    CHECK(ratio / row.expected <= 1 / 0.9);
  }
}

// Guards against starvation of an organisation by others with far higher
// demand.
TEST_CASE("no organisation starves") {
  OverloadedTarget target(2, {});
  for (int step = 0; step < 20000; ++step) {
    for (uint32_t organisation = 1; organisation < 8; ++organisation) {
      target.Offer({.organisation = organisation,
                    .deadline = target.clock.Now() + 1s,
                    .work = 20ms});
    }
    if (step % 100 == 0) {
      target.Offer({.organisation = 0,
                    .deadline = target.clock.Now() + 1s,
                    .work = 20ms});
    }
    target.Advance(1ms);
  }
  // Organisation 0 sends 10 requests per second; its fair share is 12.5.
  CHECK(target.starts[0] >= 0.9 * 200);
}

// Guards against a threshold that remains in force after the overload has
// ended.
TEST_CASE("the threshold is removed after the overload") {
  OverloadedTarget target(4, {});
  const auto run = [&](int aPerStep, int aSteps) {
    for (int step = 0; step < aSteps; ++step) {
      for (int i = 0; i < aPerStep; ++i) {
        target.Offer({.organisation = 0,
                      .deadline = target.clock.Now() + 1s,
                      .work = 10ms});
      }
      target.Advance(5ms);
    }
  };
  run(10, 400);
  CHECK_FALSE(target.controller.Core().ThresholdFor("o0").AdmitsAll());
  run(1, 400);
  CHECK(target.controller.Core().ThresholdFor("o0").AdmitsAll());
}
