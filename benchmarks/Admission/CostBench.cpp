#include <benchmark/benchmark.h>

#include <string>

#include "Admission/AdmissionController.h"
#include "Admission/ThresholdTable.h"

namespace fescueline {

namespace {

/// One Offer(), Dispatch() and Finished() with a constant number of queued
/// requests of 8 organisations and 4 classes, and 15 in flight.
void ControllerCycle(benchmark::State& aState) {
  AdmissionSettings settings;
  settings.maxQueued = static_cast<uint32_t>(aState.range(0)) + 1;
  settings.minQueued = settings.maxQueued;
  // Disables checks of the limit, which would change the number in flight.
  settings.limit.samples = 1U << 30;
  AdmissionController<uint64_t> controller(settings, 1);
  controller.Core().SetDeclaredLimits(15, 200);
  const std::array<std::string, 8> names{"o0", "o1", "o2", "o3",
                                         "o4", "o5", "o6", "o7"};
  ManualClock clock;
  RandomSource random(1);
  std::vector<AdmissionHandle> running;
  AdmissionController<uint64_t>::Batch batch;
  const auto offer = [&] {
    const AdmissionRequest request{
        .organisation = names[random.NextBelow(names.size())],
        .importance = static_cast<Importance>(random.NextBelow(4)),
        .rootId = {random.Next(), random.Next()},
        .depth = static_cast<uint32_t>(random.NextBelow(4)),
        .rootStart = clock.Now(),
        .deadline = clock.Now() + std::chrono::hours(1)};
    benchmark::DoNotOptimize(controller.Offer(request, 1, clock.Now()));
  };
  const auto next = [&] {
    controller.Dispatch(clock.Now(), batch);
    for (const auto& started : batch.started) {
      running.push_back(started.handle);
    }
  };
  while (running.size() < 15 ||
         controller.Core().Queued() < static_cast<size_t>(aState.range(0))) {
    offer();
    next();
  }
  size_t at = 0;
  for (auto _ : aState) {
    clock.Advance(std::chrono::nanoseconds(100));
    offer();
    controller.Finished(running[at], {}, clock.Now());
    controller.Dispatch(clock.Now(), batch);
    running[at] = batch.started.front().handle;
    at = (at + 1) % running.size();
  }
}
BENCHMARK(ControllerCycle)->Arg(0)->Arg(64)->Arg(256);

/// One Offer() that is refused or evicts another request.
void OfferWhenFull(benchmark::State& aState) {
  AdmissionSettings settings;
  settings.maxQueued = 256;
  settings.minQueued = 256;
  AdmissionController<uint64_t> controller(settings, 1);
  controller.Core().SetDeclaredLimits(1, 200);
  ManualClock clock;
  RandomSource random(1);
  AdmissionController<uint64_t>::Batch batch;
  const std::array<std::string, 8> names{"o0", "o1", "o2", "o3",
                                         "o4", "o5", "o6", "o7"};
  for (auto _ : aState) {
    const AdmissionRequest request{
        .organisation = names[random.NextBelow(names.size())],
        .importance = static_cast<Importance>(random.NextBelow(4)),
        .rootId = {random.Next(), random.Next()},
        .rootStart = clock.Now(),
        .deadline = clock.Now() + std::chrono::hours(1)};
    benchmark::DoNotOptimize(controller.Offer(request, 1, clock.Now()));
    controller.Dispatch(clock.Now(), batch);
  }
}
BENCHMARK(OfferWhenFull);

/// One ShouldRefuse() of an entry node, for a path of the given length.
void TableShouldRefuse(benchmark::State& aState) {
  ThresholdTable table({}, 1);
  ManualClock clock;
  for (int64_t i = 0; i < aState.range(0); ++i) {
    for (const char* source : {"n1", "n2", "n3", "n4"}) {
      table.ApplyReports(source, "route",
                         {{.service = "s" + std::to_string(i),
                           .organisation = "organisation",
                           .threshold = {Importance::Normal, 30000},
                           .age = Duration(0)}},
                         clock.Now());
    }
  }
  uint16_t hash = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(table.ShouldRefuse(
        "route", "organisation", Importance::Normal, hash++, clock.Now()));
  }
}
BENCHMARK(TableShouldRefuse)->Arg(4)->Arg(19);

}  // namespace

}  // namespace fescueline
