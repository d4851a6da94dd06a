#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "ChainClients.h"
#include "ChainMeasurement.h"
#include "ChainNode.h"
#include "ChainScenario.h"
#include "Core/RandomSource.h"
#include "EventLoop.h"

namespace fescueline {

/// Discrete-event simulation of clients and a chain of services in one
/// scenario. Deterministic for a given seed. Each node is also an entry node.
class ChainSimulation {
 public:
  explicit ChainSimulation(const ChainScenario& aScenario)
      : scenario(aScenario),
        random(aScenario.seed),
        clients(this->scenario, this->loop, this->random,
                [this](uint32_t aAttempt) { this->Enter(aAttempt); }) {
    for (uint32_t i = 0; i < kServices * kInstances; ++i) {
      this->nodes.push_back(
          std::make_unique<ChainNode>(this->loop, aScenario, i));
    }
  }

  ChainResult Run() {
    const TimePoint begin = this->loop.Now();
    this->clients.Begin();
    if (this->UsesAdmission()) {
      this->Tick();
      this->Pong();
    }
    const auto setSlowness = [this](double aFactor) {
      this->nodes.back()->target.SetSlowness(aFactor);
    };
    this->loop.Post(this->scenario.surgeStart, [this, setSlowness] {
      setSlowness(this->scenario.stragglerFactor);
    });
    this->loop.Post(this->scenario.surgeEnd, [setSlowness] { setSlowness(1); });
    // Requests of the last second still get their responses.
    this->loop.RunUntil(begin + this->scenario.length);
    this->clients.End();
    this->loop.RunUntil(begin + this->scenario.length +
                        this->scenario.attempts *
                            this->scenario.attemptTimeout * 2);
    return MeasureChain(this->scenario, begin, this->clients.Requests(),
                        this->counts);
  }

  const AdmissionCore& CoreOf(uint32_t aService, uint32_t aInstance) const {
    return this->nodes[aService * kInstances + aInstance]->controller.Core();
  }

 private:
  static constexpr Duration kRecentStart = std::chrono::milliseconds(20);

  /// Whether nodes use AdmissionController.
  bool UsesAdmission() const {
    return this->scenario.policy == ChainPolicy::Full ||
           this->scenario.policy == ChainPolicy::QueueOnly;
  }

  void Enter(uint32_t aAttempt) {
    const auto entry =
        static_cast<uint32_t>(this->random.NextBelow(kServices * kInstances));
    const ChainAttempt& attempt = this->clients.AttemptAt(aAttempt);
    const ChainRequest& request = this->clients.RequestOf(aAttempt);
    if (this->scenario.policy == ChainPolicy::Full &&
        this->nodes[entry]->table.ShouldRefuse(
            RouteName(request.route), OrganisationName(request.organisation),
            request.importance, RootHash(attempt.rootId), this->loop.Now())) {
      ++this->counts.shedEarly;
      this->CountEarlyRefusal(request);
      this->clients.Answer(aAttempt, false);
      return;
    }
    this->SendCall(aAttempt, 0, entry, ChainCall::kNoParent);
  }

  void SendCall(uint32_t aAttempt, uint32_t aStep, uint32_t aCaller,
                uint32_t aParent) {
    const ChainRequest& request = this->clients.RequestOf(aAttempt);
    const uint32_t service = ChainRoutes()[request.route].path[aStep];
    auto& calls = this->nodes[aCaller]->calls;
    const auto draw = [&] {
      return service * kInstances +
             static_cast<uint32_t>(this->random.NextBelow(kInstances));
    };
    const uint32_t first = draw();
    const uint32_t second = draw();
    const uint32_t target = calls[second] < calls[first] ? second : first;
    ++calls[target];
    const auto call = static_cast<uint32_t>(this->calls.size());
    this->calls.push_back({.attempt = aAttempt,
                           .step = aStep,
                           .caller = aCaller,
                           .target = target,
                           .parent = aParent});
    this->calls.back().work =
        this->clients.Exponential(this->scenario.work[service]);
    this->loop.Post(this->scenario.hopDelay,
                    [this, call] { this->Receive(call); });
  }

  void Receive(uint32_t aCall) {
    ChainCall& call = this->calls[aCall];
    call.receivedAt = this->loop.Now();
    ChainNode& node = *this->nodes[call.target];
    switch (this->scenario.policy) {
      case ChainPolicy::None:
        this->Start(aCall);
        break;
      case ChainPolicy::FixedFifo:
        if (node.running < node.declaredSlots) {
          ++node.running;
          this->Start(aCall);
        } else if (node.fifo.size() < this->scenario.admission.maxQueued) {
          node.fifo.push_back(aCall);
        } else {
          this->Refuse(aCall);
        }
        break;
      case ChainPolicy::Full:
      case ChainPolicy::QueueOnly: {
        const ChainAttempt& attempt = this->clients.AttemptAt(call.attempt);
        const ChainRequest& request = this->clients.RequestOf(call.attempt);
        uint32_t ticket = aCall;
        const OfferResult result = node.controller.Offer(
            {.organisation = OrganisationName(request.organisation),
             .importance = request.importance,
             .rootId = attempt.rootId,
             .depth = call.step,
             .rootStart = attempt.begun,
             .deadline = attempt.begun + this->scenario.attemptTimeout},
            std::move(ticket), this->loop.Now());
        if (!result.enqueued) {
          this->Shed(aCall, result.refusal.cause);
        }
        this->Pump(node);
      }
    }
  }

  void Pump(ChainNode& aNode) {
    aNode.controller.Dispatch(this->loop.Now(), aNode.batch);
    // Start() can re-enter this function when a worker is free immediately, so
    // the batch is moved out first.
    const auto batch = std::move(aNode.batch);
    aNode.batch = {};
    for (const auto& dropped : batch.dropped) {
      this->Shed(dropped.ticket, dropped.refusal.cause);
    }
    for (const auto& started : batch.started) {
      ChainCall& call = this->calls[started.ticket];
      call.handle = started.handle;
      if (this->RequestOf(call).importance != Importance::Critical) {
        aNode.lowerStartedAt = this->loop.Now();
      }
      this->Start(started.ticket);
    }
  }

  void Shed(uint32_t aCall, Cause aCause) {
    ++this->counts.shedLate;
    if (aCause == Cause::Overloaded) {
      this->CountQueueRefusal(aCall);
    }
    this->Refuse(aCall);
  }

  /// Counts a critical request that the target's node refused.
  void CountQueueRefusal(uint32_t aCall) {
    const ChainCall& call = this->calls[aCall];
    if (this->RequestOf(call).importance != Importance::Critical) {
      return;
    }
    ++this->counts.criticalShed;
    const ChainNode& node = *this->nodes[call.target];
    const AdmissionCore& core = node.controller.Core();
    if (core.Queued() > core.Queued(Importance::Critical) ||
        node.lowerStartedAt > call.receivedAt) {
      ++this->counts.inversions;
    }
  }

  /// Counts a critical request that an entry node refused because of the
  /// thresholds on its path.
  void CountEarlyRefusal(const ChainRequest& aRequest) {
    if (aRequest.importance != Importance::Critical) {
      return;
    }
    ++this->counts.criticalShed;
    for (const uint32_t service : ChainRoutes()[aRequest.route].path) {
      for (uint32_t i = 0; i < kInstances; ++i) {
        const ChainNode& node = *this->nodes[service * kInstances + i];
        const AdmissionCore& core = node.controller.Core();
        if (core.Queued() > core.Queued(Importance::Critical) ||
            this->loop.Now() - node.lowerStartedAt < kRecentStart) {
          ++this->counts.earlyInversions;
          return;
        }
      }
    }
  }

  void Start(uint32_t aCall) {
    SimulatedTarget& target = this->nodes[this->calls[aCall].target]->target;
    target.Acquire([this, aCall, &target] {
      target.Work(this->calls[aCall].work / 2,
                  [this, aCall] { this->FirstHalfDone(aCall); });
    });
  }

  void FirstHalfDone(uint32_t aCall) {
    ChainCall& call = this->calls[aCall];
    if (call.step + 1 ==
        ChainRoutes()[this->RequestOf(call).route].path.size()) {
      this->SecondHalf(aCall);
      return;
    }
    const TimePoint now = this->loop.Now();
    if (this->UsesAdmission()) {
      if (now >= this->clients.AttemptAt(call.attempt).begun +
                     this->scenario.attemptTimeout) {
        this->Finish(aCall, false);
        return;
      }
      ChainNode& node = *this->nodes[call.target];
      node.controller.Core().ChildStarted(call.handle);
      this->Pump(node);
    }
    call.childBegun = now;
    this->SendCall(call.attempt, call.step + 1, call.target, aCall);
  }

  void SecondHalf(uint32_t aCall) {
    SimulatedTarget& target = this->nodes[this->calls[aCall].target]->target;
    target.Work(this->calls[aCall].work / 2,
                [this, aCall] { this->Finish(aCall, true); });
  }

  void Finish(uint32_t aCall, bool aSucceeded) {
    ChainCall& call = this->calls[aCall];
    call.succeeded = aSucceeded;
    ChainNode& node = *this->nodes[call.target];
    node.target.Release();
    if (this->UsesAdmission()) {
      node.controller.Finished(call.handle, {call.childTime, aSucceeded},
                               this->loop.Now());
      this->Pump(node);
    } else if (this->scenario.policy == ChainPolicy::FixedFifo) {
      --node.running;
      if (!node.fifo.empty()) {
        const uint32_t next = node.fifo.front();
        node.fifo.pop_front();
        ++node.running;
        this->Start(next);
      }
    }
    this->Reply(aCall);
  }

  void Refuse(uint32_t aCall) {
    this->calls[aCall].succeeded = false;
    this->Reply(aCall);
  }

  void Reply(uint32_t aCall) {
    ChainCall& call = this->calls[aCall];
    if (this->UsesAdmission()) {
      ChainNode& node = *this->nodes[call.target];
      const ChainRequest& request = this->RequestOf(call);
      const std::string organisation = OrganisationName(request.organisation);
      call.reports.push_back(
          {.service = ServiceName(node.service),
           .organisation = organisation,
           .threshold = node.controller.Core().ThresholdFor(organisation),
           .age = Duration(0)});
      node.table.AppendReports(RouteName(request.route), organisation,
                               this->loop.Now(), call.reports);
    }
    this->loop.Post(this->scenario.hopDelay,
                    [this, aCall] { this->HandleReply(aCall); });
  }

  void HandleReply(uint32_t aCall) {
    ChainCall& call = this->calls[aCall];
    ChainNode& caller = *this->nodes[call.caller];
    --caller.calls[call.target];
    if (this->UsesAdmission()) {
      caller.table.ApplyReports(this->nodes[call.target]->name,
                                RouteName(this->RequestOf(call).route),
                                call.reports, this->loop.Now());
      call.reports = {};
    }
    if (call.parent == ChainCall::kNoParent) {
      this->clients.Answer(call.attempt, call.succeeded);
      return;
    }
    ChainCall& parent = this->calls[call.parent];
    parent.childTime += this->loop.Now() - parent.childBegun;
    if (this->UsesAdmission()) {
      caller.controller.Core().ChildEnded(parent.handle);
    }
    if (call.succeeded) {
      this->SecondHalf(call.parent);
    } else {
      this->Finish(call.parent, false);
    }
  }

  /// Periodic timer of the nodes.
  void Tick() {
    for (const auto& node : this->nodes) {
      this->Pump(*node);
    }
    this->loop.Post(std::chrono::milliseconds(10), [this] { this->Tick(); });
  }

  /// Sends the thresholds of every node to all nodes.
  void Pong() {
    for (const auto& from : this->nodes) {
      std::vector<ThresholdReport> reports;
      for (uint32_t i = 0; i < kOrganisations; ++i) {
        const std::string organisation = OrganisationName(i);
        reports.push_back(
            {.service = ServiceName(from->service),
             .organisation = organisation,
             .threshold = from->controller.Core().ThresholdFor(organisation),
             .age = this->scenario.hopDelay});
      }
      for (const auto& to : this->nodes) {
        to->table.ApplyReports(from->name, "", reports, this->loop.Now());
      }
    }
    this->loop.Post(std::chrono::milliseconds(500), [this] { this->Pong(); });
  }

  const ChainRequest& RequestOf(const ChainCall& aCall) const {
    return this->clients.RequestOf(aCall.attempt);
  }
  static std::string RouteName(uint32_t aIndex) {
    return "r" + std::to_string(aIndex);
  }
  static std::string OrganisationName(uint32_t aIndex) {
    return "o" + std::to_string(aIndex);
  }
  static std::string ServiceName(uint32_t aIndex) {
    return "s" + std::to_string(aIndex);
  }

  ChainScenario scenario;
  RandomSource random;
  EventLoop loop;
  ChainClients clients;
  /// Ordered by service, then instance; the last one can be the straggler.
  std::vector<std::unique_ptr<ChainNode>> nodes;
  // A deque, since references must stay valid while elements are added.
  std::deque<ChainCall> calls;
  ChainCounts counts;
};

/// Goodput of plain forwarding at a load of one, relative to the capacity.
inline double ReachableGoodput(ChainScenario aScenario) {
  aScenario.policy = ChainPolicy::None;
  aScenario.load = 1;
  return std::min(1.0, ChainSimulation(aScenario).Run().goodput);
}

}  // namespace fescueline
