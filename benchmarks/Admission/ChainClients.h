#pragma once

#include <cmath>
#include <deque>
#include <functional>

#include "ChainMeasurement.h"
#include "ChainScenario.h"
#include "Core/RandomSource.h"
#include "EventLoop.h"

namespace fescueline {

/// Clients of all organisations, with Poisson arrivals and retries that ignore
/// Retry-After.
class ChainClients {
 public:
  /// aEnter is called with each attempt when it reaches an entry node.
  ChainClients(const ChainScenario& aScenario, EventLoop& aLoop,
               RandomSource& aRandom, std::function<void(uint32_t)> aEnter)
      : scenario(aScenario),
        loop(aLoop),
        random(aRandom),
        enter(std::move(aEnter)) {}

  void Begin() {
    this->start = this->loop.Now();
    for (uint32_t i = 0; i < kOrganisations; ++i) {
      this->ScheduleArrival(i);
    }
  }
  /// Stops arrivals; requests that have started are still sent and retried.
  void End() { this->ended = true; }

  /// Sends the result of an attempt to its client.
  void Answer(uint32_t aAttempt, bool aSucceeded) {
    this->loop.Post(this->scenario.clientDelay, [this, aAttempt, aSucceeded] {
      this->Resolve(aAttempt, aSucceeded);
    });
  }

  const ChainAttempt& AttemptAt(uint32_t aAttempt) const {
    return this->attempts[aAttempt];
  }
  const ChainRequest& RequestOf(uint32_t aAttempt) const {
    return this->requests[this->attempts[aAttempt].request];
  }
  const std::deque<ChainRequest>& Requests() const { return this->requests; }

  double Exponential(double aMean) {
    return -aMean * std::log(1.0 - this->random.NextDouble());
  }

 private:
  double Load() const {
    const Duration now = this->loop.Now() - this->start;
    const bool surge =
        now >= this->scenario.surgeStart && now < this->scenario.surgeEnd;
    return surge ? this->scenario.surgeLoad : this->scenario.load;
  }

  void ScheduleArrival(uint32_t aOrganisation) {
    const double rate =
        this->Load() * CapacityOf(this->scenario) * DemandShare(aOrganisation);
    this->loop.Post(FromSeconds(this->Exponential(1 / rate)),
                    [this, aOrganisation] {
                      if (!this->ended) {
                        this->Arrive(aOrganisation);
                        this->ScheduleArrival(aOrganisation);
                      }
                    });
  }

  void Arrive(uint32_t aOrganisation) {
    static constexpr std::array<double, 3> kCumulativeShares{0.1, 0.3, 0.7};
    const double draw = this->random.NextDouble();
    uint8_t importance = 0;
    while (importance < kCumulativeShares.size() &&
           draw >= kCumulativeShares[importance]) {
      ++importance;
    }
    double routeDraw = this->random.NextDouble();
    uint32_t route = 0;
    while (route + 1 < ChainRoutes().size() &&
           routeDraw >= ChainRoutes()[route].share) {
      routeDraw -= ChainRoutes()[route++].share;
    }
    this->requests.push_back({.organisation = aOrganisation,
                              .importance = static_cast<Importance>(importance),
                              .route = route,
                              .begun = this->loop.Now()});
    this->Send(static_cast<uint32_t>(this->requests.size() - 1));
  }

  void Send(uint32_t aRequest) {
    ++this->requests[aRequest].attempts;
    const auto attempt = static_cast<uint32_t>(this->attempts.size());
    this->attempts.push_back(
        {.request = aRequest,
         .rootId = {this->random.Next(), this->random.Next()},
         .begun = this->loop.Now()});
    this->loop.Post(this->scenario.attemptTimeout,
                    [this, attempt] { this->Resolve(attempt, false); });
    this->loop.Post(this->scenario.clientDelay,
                    [this, attempt] { this->enter(attempt); });
  }

  /// Delivers the result of an attempt to the client, or its time-out.
  void Resolve(uint32_t aAttempt, bool aSucceeded) {
    ChainAttempt& attempt = this->attempts[aAttempt];
    if (attempt.resolved) {
      return;
    }
    attempt.resolved = true;
    ChainRequest& request = this->requests[attempt.request];
    if (aSucceeded) {
      request.completed = this->loop.Now();
    } else if (request.attempts < this->scenario.attempts) {
      const double pause = 0.02 + 0.03 * this->random.NextDouble();
      this->loop.Post(FromSeconds(pause),
                      [this, id = attempt.request] { this->Send(id); });
    }
  }

  const ChainScenario& scenario;
  EventLoop& loop;
  RandomSource& random;
  std::function<void(uint32_t)> enter;
  TimePoint start{};
  bool ended = false;
  // Deques, since references must stay valid while elements are added.
  std::deque<ChainRequest> requests;
  std::deque<ChainAttempt> attempts;
};

}  // namespace fescueline
