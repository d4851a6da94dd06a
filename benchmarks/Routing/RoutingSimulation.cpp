#include "RoutingSimulation.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace fescueline {

using namespace std::chrono_literals;

namespace {
constexpr uint32_t kCallers = 20;
constexpr uint32_t kTargets = 20;
constexpr uint32_t kSlots = 10;
constexpr double kServiceSeconds = 0.010;
constexpr Duration kRunTime = 60s;
constexpr Duration kReportInterval = 500ms;
constexpr Duration kDrainDelay = 1ms;
constexpr const char* kService = "fees";
}  // namespace

struct RoutingSimulation::Caller {
  Caller(const TargetTableSettings& aSettings, uint32_t aNext)
      : table(aSettings), picker(table, TargetPickerSettings{}), next(aNext) {}

  TargetTable table;
  TargetPicker picker;
  std::vector<TargetRef> refs;
  std::vector<CircuitBreaker> breakers{kTargets,
                                       CircuitBreaker(BreakerSettings{})};
  uint32_t next;
  uint32_t known = kTargets;
};

struct RoutingSimulation::Call {
  uint32_t caller;
  CallTicket ticket;
  uint64_t generation;
  TimePoint start;
  bool fails;
};

struct RoutingSimulation::Server {
  std::deque<uint64_t> queue;
  uint32_t running = 0;
  uint64_t chosen = 0;
};

RoutingSimulation::RoutingSimulation(const SimulationVariant& aVariant,
                                     const SimulationCase& aCase)
    : variant(aVariant), settings(aCase), begin(clock.Now()) {
  TargetTableSettings table{.dataCentre = "dc1", .region = "r1"};
  table.reportedLoadWeight = aVariant.routing == RoutingVariant::OwnInFlight
                                 ? 0.0
                                 : aVariant.reportedLoadWeight;
  table.reportedLoadSmoothing = aVariant.reportedLoadSmoothing;
  if (aVariant.routing != RoutingVariant::Gradual) {
    table.maxImpaired = 0.0;
  }
  this->servers.resize(kTargets);
  for (uint32_t i = 0; i < kCallers; ++i) {
    auto caller = std::make_unique<Caller>(table, i);
    caller->known = aCase.uneven && i % 2 == 0 ? kTargets / 2 : kTargets;
    for (uint32_t j = 0; j < caller->known; ++j) {
      caller->refs.push_back(
          caller->table.Upsert({.node = "n" + std::to_string(j),
                                .incarnation = {.high = 1, .low = j},
                                .service = kService,
                                .dataCentre = "dc1",
                                .region = "r1",
                                .capacity = kSlots}));
    }
    this->callers.push_back(std::move(caller));
  }
  this->Report();
}

RoutingSimulation::~RoutingSimulation() = default;

SimulationResult RoutingSimulation::Run() {
  const double rate = this->settings.load * kTargets * kSlots / kServiceSeconds;
  TimePoint arrival = this->begin;
  TimePoint report = this->begin + kReportInterval;
  const TimePoint end = this->begin + kRunTime;
  while (arrival < end) {
    TimePoint next = std::min(arrival, report);
    if (!this->completions.empty()) {
      next = std::min(next, this->completions.top().at);
    }
    this->clock.now = next;
    if (this->settings.drainAt > 0s && !this->drained &&
        next >= this->begin + this->settings.drainAt + kDrainDelay) {
      this->drained = true;
      for (const auto& caller : this->callers) {
        caller->table.OnState(caller->refs[0], TargetState::Draining, next);
      }
    }
    if (!this->completions.empty() && this->completions.top().at == next) {
      const Completion completion = this->completions.top();
      this->completions.pop();
      this->Complete(completion);
    } else if (next == report) {
      this->Report();
      report += kReportInterval;
    } else {
      this->Arrive();
      arrival += FromSeconds(this->Exponential(1.0 / rate));
    }
  }
  return this->Summarise();
}

void RoutingSimulation::Arrive() {
  const auto number = static_cast<uint32_t>(this->random.NextBelow(kCallers));
  Caller& caller = *this->callers[number];
  const uint32_t server = this->Choose(caller);
  const bool fails = this->IsFaulty(server) &&
                     this->random.NextDouble() < this->settings.failureRate;
  this->calls.push_back(
      {.caller = number,
       .ticket = caller.table.OnStart(caller.refs[server], this->clock.Now()),
       .generation = caller.breakers[server].OnStart(),
       .start = this->clock.Now(),
       .fails = fails});
  ++this->servers[server].chosen;
  this->result.afterDrain += server == 0 && this->drained;
  const uint64_t call = this->calls.size() - 1;
  if (this->servers[server].running < kSlots) {
    this->Start(server, call);
  } else {
    this->servers[server].queue.push_back(call);
  }
}

uint32_t RoutingSimulation::Choose(Caller& aCaller) {
  if (this->variant.routing == RoutingVariant::Random) {
    return static_cast<uint32_t>(this->random.NextBelow(aCaller.known));
  }
  if (this->variant.routing == RoutingVariant::RoundRobin) {
    return aCaller.next++ % aCaller.known;
  }
  std::vector<TargetRef> exclude;
  if (this->variant.routing == RoutingVariant::Breaker) {
    for (uint32_t i = 0; i < aCaller.known; ++i) {
      if (!aCaller.breakers[i].Allows(this->clock.Now())) {
        exclude.push_back(aCaller.refs[i]);
      }
    }
    // The same bound on ejections as for the gradual variant.
    exclude.resize(std::min<size_t>(exclude.size(), kTargets / 3));
  }
  const auto ref =
      aCaller.picker.Pick(kService, exclude, this->clock.Now(), this->random);
  return ref ? ref->index : 0;
}

void RoutingSimulation::Start(uint32_t aServer, uint64_t aCall) {
  ++this->servers[aServer].running;
  this->completions.push(
      {.at = this->clock.Now() +
             this->ServiceTime(aServer, this->calls[aCall].fails),
       .server = aServer,
       .call = aCall});
}

void RoutingSimulation::Complete(const Completion& aCompletion) {
  Server& server = this->servers[aCompletion.server];
  --server.running;
  if (!server.queue.empty()) {
    const uint64_t next = server.queue.front();
    server.queue.pop_front();
    this->Start(aCompletion.server, next);
  }
  const Call& call = this->calls[aCompletion.call];
  Caller& caller = *this->callers[call.caller];
  const TimePoint now = this->clock.Now();
  const double seconds = ToSeconds(now - call.start);
  caller.table.OnFinish(
      call.ticket, call.fails ? CallResult::Failed : CallResult::Answered, now);
  // The breaker uses the same latency rule as TargetHealth.
  const HealthSettings rules;
  const double medianLatency =
      caller.table.FindService(kService)->medians.latency;
  const bool slow =
      medianLatency > 0.0 &&
      seconds > std::max(medianLatency * rules.latencyFactor,
                         medianLatency + ToSeconds(rules.latencySlack));
  caller.breakers[aCompletion.server].OnFinish(call.generation,
                                               !call.fails && !slow, now);
  this->latencies.push_back(seconds);
  this->failures += call.fails;
}

void RoutingSimulation::Report() {
  const TimePoint now = this->clock.Now();
  for (const auto& caller : this->callers) {
    for (uint32_t i = 0; i < caller->known; ++i) {
      const auto load = static_cast<uint32_t>(this->servers[i].running +
                                              this->servers[i].queue.size());
      const bool draining = i == 0 && this->drained;
      caller->table.OnReport(
          caller->refs[i],
          {.state = draining ? TargetState::Draining : TargetState::Ready,
           .load = i == 0 ? this->settings.reports.value_or(load) : load,
           .capacity = 0,
           .readyFor = 1h},
          now);
    }
    caller->table.Tick(now);
    for (uint32_t i = 1; i < caller->known; ++i) {
      const bool ejected =
          this->variant.routing == RoutingVariant::Breaker
              ? caller->breakers[i].Open()
              : caller->table.Get(caller->refs[i])->health.Ejected();
      this->result.ejectedHealthy += ejected;
    }
  }
  ++this->reports;
}

bool RoutingSimulation::IsFaulty(uint32_t aServer) const {
  if (aServer != 0) {
    return false;
  }
  return this->settings.period == 0s ||
         (this->clock.Now() - this->begin) % this->settings.period <
             this->settings.period / 2;
}

Duration RoutingSimulation::ServiceTime(uint32_t aServer, bool aFails) {
  if (aFails) {
    return 1ms;
  }
  const double mean = kServiceSeconds *
                      (this->IsFaulty(aServer) ? this->settings.slowness : 1.0);
  if (this->settings.sigma <= 0.0) {
    return FromSeconds(this->Exponential(mean));
  }
  const double sigma = this->settings.sigma;
  const double normal =
      std::sqrt(-2.0 * std::log(1.0 - this->random.NextDouble())) *
      std::cos(2.0 * std::numbers::pi * this->random.NextDouble());
  return FromSeconds(mean * std::exp(sigma * normal - sigma * sigma / 2));
}

double RoutingSimulation::Exponential(double aMean) {
  return -aMean * std::log(1.0 - this->random.NextDouble());
}

SimulationResult RoutingSimulation::Summarise() {
  uint64_t total = 0;
  uint64_t others = 0;
  uint64_t most = 0;
  for (uint32_t i = 0; i < kTargets; ++i) {
    total += this->servers[i].chosen;
    if (i > 0) {
      others += this->servers[i].chosen;
      most = std::max(most, this->servers[i].chosen);
    }
  }
  const auto calls = static_cast<double>(total);
  this->result.faultyShare =
      static_cast<double>(this->servers[0].chosen) / calls;
  this->result.balance =
      static_cast<double>(most) * (kTargets - 1) / static_cast<double>(others);
  this->result.failed = static_cast<double>(this->failures) / calls;
  std::sort(this->latencies.begin(), this->latencies.end());
  double sum = 0.0;
  for (const double latency : this->latencies) {
    sum += latency;
  }
  this->result.mean =
      1000.0 * sum / static_cast<double>(this->latencies.size());
  this->result.p99 =
      1000.0 * this->latencies[this->latencies.size() * 99 / 100];
  this->result.ejectedHealthy /=
      static_cast<double>(this->reports * kCallers * (kTargets - 1));
  return this->result;
}

}  // namespace fescueline
