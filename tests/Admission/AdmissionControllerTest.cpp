#include <doctest/doctest.h>

#include <string>

#include "Admission/AdmissionController.h"

using namespace fescueline;
using namespace std::chrono_literals;

namespace {
/// Controller with a single slot and a short queue.
struct Fixture {
  Fixture() : controller(Settings(), 1) {
    this->controller.Core().SetDeclaredLimits(1, 10);
  }

  static AdmissionSettings Settings() {
    AdmissionSettings settings;
    settings.maxQueued = 4;
    settings.minQueued = 4;
    return settings;
  }

  OfferResult Offer(std::string aName, Importance aImportance,
                    std::string_view aOrganisation = "a",
                    Duration aRemaining = 1s, uint32_t aDepth = 0) {
    const AdmissionRequest request{.organisation = aOrganisation,
                                   .importance = aImportance,
                                   .rootId = {1, ++this->ids},
                                   .depth = aDepth,
                                   .rootStart = this->clock.Now(),
                                   .deadline = this->clock.Now() + aRemaining};
    return this->controller.Offer(request, std::move(aName), this->clock.Now());
  }

  /// Starts the requests that may start and returns their names.
  std::string Dispatch() {
    this->controller.Dispatch(this->clock.Now(), this->batch);
    std::string names;
    for (const auto& started : this->batch.started) {
      names += started.ticket;
      this->running = started.handle;
    }
    return names;
  }

  std::string Dropped() const {
    std::string names;
    for (const auto& dropped : this->batch.dropped) {
      names += dropped.ticket;
    }
    return names;
  }

  /// Ends the running request after the given time and starts the next.
  std::string FinishAndNext(Duration aTime = 1ms) {
    this->clock.Advance(aTime);
    this->controller.Finished(this->running, {}, this->clock.Now());
    return this->Dispatch();
  }

  ManualClock clock;
  AdmissionController<std::string> controller;
  AdmissionController<std::string>::Batch batch;
  AdmissionHandle running;
  uint64_t ids = 0;
};
}  // namespace

// Guards against less important or shallower requests that start first.
TEST_CASE("requests start by importance, then depth") {
  Fixture f;
  f.Offer("x", Importance::Low);
  CHECK(f.Dispatch() == "x");
  f.Offer("l", Importance::Low);
  f.Offer("n", Importance::Normal, "a", 1s, 1);
  f.Offer("N", Importance::Normal, "a", 1s, 3);
  f.Offer("c", Importance::Critical);
  CHECK(f.FinishAndNext() == "c");
  CHECK(f.FinishAndNext() == "N");
  CHECK(f.FinishAndNext() == "n");
  CHECK(f.FinishAndNext() == "l");
}

// Guards against the eviction of the wrong request from a full queue.
TEST_CASE("a full queue evicts the least important request") {
  Fixture f;
  f.Offer("x", Importance::Low);
  f.Dispatch();
  for (const char* name : {"1", "2", "3", "4"}) {
    CHECK(f.Offer(name, Importance::Normal).enqueued);
  }
  const OfferResult low = f.Offer("l", Importance::Low);
  CHECK_FALSE(low.enqueued);
  CHECK(low.refusal.cause == Cause::Overloaded);
  CHECK(low.refusal.retryAfter > 0ns);
  CHECK(f.Offer("h", Importance::High).enqueued);
  CHECK(f.Dispatch().empty());
  CHECK(f.Dropped() == "4");
  CHECK(f.FinishAndNext() == "h");
}

// Guards against expired requests that reach the target.
TEST_CASE("expired requests are refused or dropped, never started") {
  Fixture f;
  f.Offer("x", Importance::Low);
  f.Dispatch();
  const OfferResult expired = f.Offer("e", Importance::Normal, "a", 0s);
  CHECK_FALSE(expired.enqueued);
  CHECK(expired.refusal.cause == Cause::DeadlineExpired);
  f.Offer("s", Importance::Critical, "a", 5ms);
  f.Offer("n", Importance::Normal);
  CHECK(f.FinishAndNext(10ms) == "n");
  CHECK(f.Dropped() == "s");
  CHECK(f.batch.dropped[0].refusal.cause == Cause::DeadlineExpired);
}

// Guards against a cancelled request that starts or leaks its slot.
TEST_CASE("a queued request can be cancelled") {
  Fixture f;
  f.Offer("x", Importance::Low);
  f.Dispatch();
  const OfferResult queued = f.Offer("q", Importance::Normal);
  CHECK(f.controller.Cancel(queued.handle) == "q");
  CHECK_FALSE(f.controller.Cancel(queued.handle).has_value());
  CHECK(f.FinishAndNext().empty());
}

// Guards against refusing child calls of admitted requests, which wastes the
// work of their callers. This happens when a deep service is overloaded
// briefly, before its thresholds reach the entry nodes.
TEST_CASE("child calls are queued where new requests are refused") {
  AdmissionSettings settings;
  settings.minQueued = 2;
  settings.queueTime = 50ms;
  settings.callQueueTime = 280ms;
  AdmissionController<int> controller(settings, 1);
  controller.Core().SetDeclaredLimits(1, 10);
  ManualClock clock;
  uint64_t ids = 0;
  const auto offer = [&](uint32_t aDepth) {
    return controller
        .Offer({.organisation = "a",
                .importance = Importance::Low,
                .rootId = {1, ++ids},
                .depth = aDepth,
                .rootStart = clock.Now(),
                .deadline = clock.Now() + 1s},
               0, clock.Now())
        .enqueued;
  };
  // One request of 20 ms sets the mean service time.
  AdmissionController<int>::Batch batch;
  offer(0);
  controller.Dispatch(clock.Now(), batch);
  REQUIRE(batch.started.size() == 1);
  clock.Advance(20ms);
  controller.Finished(batch.started[0].handle, {}, clock.Now());
  offer(0);
  controller.Dispatch(clock.Now(), batch);
  int fresh = 0;
  int calls = 0;
  for (int i = 0; i < 30; ++i) {
    fresh += offer(0) ? 1 : 0;
  }
  for (int i = 0; i < 30; ++i) {
    calls += offer(1) ? 1 : 0;
  }
  CHECK(fresh <= 3);
  CHECK(calls >= 10);
  CHECK(calls <= 14);
}
