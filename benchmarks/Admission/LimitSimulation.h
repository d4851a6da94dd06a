#pragma once

#include <cmath>
#include <deque>
#include <optional>

#include "Core/RandomSource.h"
#include "EventLoop.h"
#include "SimulatedTarget.h"

namespace fescueline {

/// One target under constant overload, which is slow in the second of three
/// phases.
struct LimitScenario {
  uint32_t workers = 40;
  /// Slots that the target declares.
  std::optional<uint32_t> declared;
  /// Mean service time, in seconds.
  double work = 0.04;
  /// Offered load relative to the capacity at normal speed.
  double load = 2;
  /// Factor by which the second phase multiplies the service time.
  double slowness = 5;
  Duration phase = std::chrono::seconds(20);
  uint64_t seed = 1;
};

/// Results of the second half of one phase.
struct LimitPhase {
  /// Completions relative to the capacity at the phase's speed.
  double throughput = 0;
  /// Ratio of the mean limit to the number of workers.
  double limit = 0;
  /// Ratio of the mean time at the target to the mean service time; 1 without
  /// queueing in the target.
  double stretch = 0;
};

/// Simulates a limit of type L for one target, with a queue of 64 requests in
/// front of the limit.
template <typename L>
class LimitSimulation {
 public:
  explicit LimitSimulation(const LimitScenario& aScenario)
      : scenario(aScenario),
        random(aScenario.seed),
        target(this->loop, aScenario.workers) {
    this->limit.SetDeclaredLimits(aScenario.declared, std::nullopt);
    this->Arrive();
  }

  /// Runs one phase.
  LimitPhase Run(double aSlowness) {
    this->target.SetSlowness(aSlowness);
    this->loop.RunUntil(this->loop.Now() + this->scenario.phase / 2);
    this->finished = 0;
    this->limitSum = 0;
    this->timeSum = 0;
    this->loop.RunUntil(this->loop.Now() + this->scenario.phase / 2);
    const double capacity =
        this->scenario.workers / (this->scenario.work * aSlowness);
    const double count = std::max<double>(1, this->finished);
    return {
        .throughput = count / ToSeconds(this->scenario.phase / 2) / capacity,
        .limit = this->limitSum / count / this->scenario.workers,
        .stretch = this->timeSum / count / (this->scenario.work * aSlowness)};
  }

 private:
  double Exponential(double aMean) {
    return -aMean * std::log(1.0 - this->random.NextDouble());
  }

  void Arrive() {
    const double rate =
        this->scenario.load * this->scenario.workers / this->scenario.work;
    this->loop.Post(FromSeconds(this->Exponential(1 / rate)), [this] {
      this->queued = std::min<uint32_t>(this->queued + 1, 64);
      this->Start();
      this->Arrive();
    });
  }

  void Start() {
    while (this->queued > 0 && this->active < this->limit.Limit()) {
      --this->queued;
      ++this->active;
      this->target.Acquire([this, begun = this->loop.Now()] {
        this->target.Work(this->Exponential(this->scenario.work),
                          [this, begun] { this->Finish(begun); });
      });
    }
  }

  void Finish(TimePoint aBegun) {
    const Duration time = this->loop.Now() - aBegun;
    this->limit.Finished(time, this->active, aBegun, this->loop.Now());
    --this->active;
    ++this->finished;
    this->limitSum += this->limit.Limit();
    this->timeSum += ToSeconds(time);
    this->target.Release();
    this->Start();
  }

  LimitScenario scenario;
  EventLoop loop;
  RandomSource random;
  SimulatedTarget target;
  L limit;
  uint32_t queued = 0;
  uint32_t active = 0;
  uint64_t finished = 0;
  double limitSum = 0;
  double timeSum = 0;
};

}  // namespace fescueline
