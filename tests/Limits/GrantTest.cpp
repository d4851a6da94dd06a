#include <doctest/doctest.h>

#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "Core/RandomSource.h"
#include "Limits/GrantHolder.h"
#include "Limits/GrantIssuer.h"

using namespace fescueline;
using namespace std::chrono_literals;

namespace {

const std::string kOrganisation = "acme";

/// Simulation of nodes that share one issuer; messages take one step of time.
class GrantSimulation {
 public:
  explicit GrantSimulation(size_t aNodes, const OrganisationRate& aRate)
      : rate(aRate) {
    for (size_t i = 0; i < aNodes; ++i) {
      this->holders.push_back(std::make_unique<GrantHolder>(
          GrantSettings{},
          [this, i](const std::string&, const GrantHolder::Request& aRequest) {
            if (!this->issuer || this->disconnected.contains(i)) {
              return false;
            }
            this->requests.push_back({i, aRequest});
            return true;
          },
          [] {}));
    }
    this->ReplaceIssuer();
    this->SetRate(aRate);
  }

  void ReplaceIssuer() {
    this->issuer =
        std::make_unique<GrantIssuer>(GrantSettings{}, this->clock.Now());
    this->ApplyReachability();
  }
  /// Informs the issuer and the holders which nodes reach the issuer.
  void ApplyReachability() {
    const size_t reached = this->holders.size() - this->disconnected.size();
    if (this->issuer) {
      this->issuer->SetLimit(kOrganisation, this->rate, this->holders.size(),
                             reached, this->clock.Now());
    }
    for (size_t i = 0; i < this->holders.size(); ++i) {
      this->holders[i]->SetIsolated(
          !this->issuer || this->disconnected.contains(i), this->clock.Now());
    }
  }
  void SetRate(const OrganisationRate& aRate) {
    this->rate = aRate;
    for (auto& holder : this->holders) {
      holder->SetLimit(kOrganisation, aRate, this->holders.size(),
                       this->clock.Now());
    }
    this->ApplyReachability();
  }
  /// Offers a request at a node.
  void Offer(size_t aNode) {
    const TimePoint now = this->clock.Now();
    ++this->offered;
    this->holders[aNode]->Admit(
        kOrganisation, now, now + this->wait, [this](bool aAdmitted) {
          ++(aAdmitted ? this->admitted : this->refused);
          if (aAdmitted) {
            this->times.push_back(this->clock.Now());
          }
        });
  }
  void Step(Duration aStep) {
    this->clock.Advance(aStep);
    const TimePoint now = this->clock.Now();
    const auto sentRequests = std::exchange(this->requests, {});
    for (const auto& [node, request] : sentRequests) {
      const uint32_t tokens =
          this->issuer ? this->issuer->Grant(kOrganisation, request.tokens, now)
                       : 0;
      this->holders[node]->OnGrant(
          kOrganisation,
          {.requestId = request.requestId,
           .tokens = tokens,
           .mayRefuse = this->issuer && this->issuer->MayRefuse(now)},
          now);
    }
    for (auto& holder : this->holders) {
      holder->Tick(now);
    }
  }
  /// Most requests admitted in any window of length aWindow.
  size_t MaxAdmittedIn(Duration aWindow) const {
    size_t maximum = 0;
    size_t first = 0;
    for (size_t last = 0; last < this->times.size(); ++last) {
      while (this->times[last] - this->times[first] > aWindow) {
        ++first;
      }
      maximum = std::max(maximum, last - first + 1);
    }
    return maximum;
  }

  OrganisationRate rate;
  /// Longest wait of a request for a token.
  Duration wait = 120ms;
  ManualClock clock;
  std::vector<std::unique_ptr<GrantHolder>> holders;
  std::unique_ptr<GrantIssuer> issuer;
  /// Nodes that do not reach the issuer.
  std::set<size_t> disconnected;
  std::vector<std::pair<size_t, GrantHolder::Request>> requests;
  std::vector<TimePoint> times;
  size_t offered = 0;
  size_t admitted = 0;
  size_t refused = 0;
};

/// Offers aPerSecond requests for the time aFor, each at a node drawn by aPick.
template <typename F>
void Run(GrantSimulation& aSimulation, double aPerSecond, Duration aFor,
         F aPick) {
  RandomSource random(7);
  constexpr Duration kStep = 2ms;
  for (Duration at{}; at < aFor; at += kStep) {
    if (random.NextDouble() < aPerSecond * ToSeconds(kStep)) {
      aSimulation.Offer(aPick(random));
    }
    aSimulation.Step(kStep);
  }
}

constexpr size_t kNodes = 16;
constexpr Duration kWindow = 5s;

/// Admissions that users tolerate in a window of kWindow.
double Allowed(const OrganisationRate& aRate) {
  return (aRate.perSecond * ToSeconds(kWindow) + aRate.burst) * 1.1 + 20;
}

}  // namespace

struct ExcessCase {
  const char* what;
  double offeredOverRate;
  bool replaceIssuer;
  bool lowerRate;
};

// One organisation sends many times its rate. Guards against an excess in any
// window, also while the issuer is replaced.
TEST_CASE("no window exceeds an organisation's rate") {
  for (const ExcessCase& row : std::vector<ExcessCase>{
           {"steady", 7.5, false, false},
           {"issuer replaced again and again", 7.5, true, false},
           {"rate lowered", 3, false, true}}) {
    CAPTURE(row.what);
    const OrganisationRate rate{.perSecond = 100, .burst = 100};
    GrantSimulation simulation(kNodes, rate);
    const auto anywhere = [](RandomSource& aRandom) {
      return aRandom.NextBelow(kNodes);
    };
    for (int round = 0; round < 6; ++round) {
      Run(simulation, rate.perSecond * row.offeredOverRate, 2s, anywhere);
      if (row.replaceIssuer) {
        simulation.ReplaceIssuer();
      }
      if (row.lowerRate && round == 2) {
        simulation.SetRate({.perSecond = 30, .burst = 30});
        Run(simulation, 300, 2s, anywhere);
        simulation.times.clear();
        Run(simulation, 300, 12s, anywhere);
        CHECK(simulation.MaxAdmittedIn(kWindow) <= Allowed({30, 30}));
        return;
      }
    }
    CHECK(simulation.MaxAdmittedIn(kWindow) <= Allowed(rate));
  }
}

// The demand is within the rate and moves between data centres. Guards against
// refusals of requests that are within their rate.
TEST_CASE("demand within the rate is admitted wherever it enters") {
  struct Case {
    const char* what;
    size_t nodes;
  };
  for (const Case& row : std::vector<Case>{
           {"evenly", kNodes}, {"at three nodes", 3}, {"at one node", 1}}) {
    CAPTURE(row.what);
    GrantSimulation simulation(kNodes, {.perSecond = 100, .burst = 100});
    Run(simulation, 30, 3s, [](RandomSource&) { return 0; });
    simulation.offered = simulation.refused = 0;
    Run(simulation, 62, 20s,
        [&row](RandomSource& aRandom) { return aRandom.NextBelow(row.nodes); });
    CHECK(simulation.refused * 100 <= simulation.offered);
  }
}

// All nodes restart, and requests wait for tokens while the new issuer has none
// yet. Guards against refusals within the rate.
TEST_CASE("a new issuer refuses nothing while its buckets fill") {
  GrantSimulation simulation(kNodes, {.perSecond = 100, .burst = 100});
  simulation.wait = 250ms;
  const auto anywhere = [](RandomSource& aRandom) {
    return aRandom.NextBelow(kNodes);
  };
  Run(simulation, 62, 3s, anywhere);
  simulation.refused = 0;
  for (int round = 0; round < 10; ++round) {
    simulation.ReplaceIssuer();
    Run(simulation, 62, 2s, anywhere);
  }
  CHECK(simulation.refused == 0);
  // An issuer whose buckets had time to fill refuses requests over the rate.
  Run(simulation, 750, 5s, anywhere);
  CHECK(simulation.refused > 0);
  CHECK(simulation.MaxAdmittedIn(kWindow) <= Allowed({100, 100}));
}

// Nodes restart one after the other while the issuer's machine is lost. Guards
// against a fixed share that each change of the fleet's size empties before a
// token has accrued.
TEST_CASE("a change of the fleet's size keeps the accrued tokens") {
  GrantHolder holder(
      GrantSettings{}, [](const auto&, const auto&) { return false; }, [] {});
  ManualClock clock;
  size_t admitted = 0;
  const OrganisationRate rate{.perSecond = 40, .burst = 40};
  constexpr Duration kStep = 100ms;
  constexpr int kSteps = 200;
  for (int step = 0; step < kSteps; ++step) {
    holder.SetLimit(kOrganisation, rate, step % 2 == 0 ? 16 : 15, clock.Now());
    holder.Admit(
        kOrganisation, clock.Now(), clock.Now(),
        [&admitted](bool aAdmitted) { admitted += aAdmitted ? 1 : 0; });
    clock.Advance(kStep);
  }
  const double accrued = GrantSettings{}.NodeShare(16, false) * rate.perSecond *
                         kSteps * ToSeconds(kStep);
  CHECK(static_cast<double>(admitted) >= 0.8 * accrued);
  CHECK(static_cast<double>(admitted) <= 1.1 * accrued);
}

// A third of the nodes cannot reach the issuer while one organisation sends
// many times its rate. Guards against both sides of the partition using the
// same part of the rate.
TEST_CASE("nodes without the issuer add nothing to an organisation's rate") {
  for (const size_t nodes : {kNodes, size_t{80}}) {
    CAPTURE(nodes);
    const OrganisationRate rate{.perSecond = 200, .burst = 200};
    GrantSimulation simulation(nodes, rate);
    const auto anywhere = [nodes](RandomSource& aRandom) {
      return aRandom.NextBelow(nodes);
    };
    for (int round = 0; round < 3; ++round) {
      Run(simulation, 800, 4s, anywhere);
      for (size_t i = 0; i < nodes / 3; ++i) {
        simulation.disconnected.insert(i);
      }
      simulation.ApplyReachability();
      Run(simulation, 800, 4s, anywhere);
      simulation.disconnected.clear();
      simulation.ApplyReachability();
    }
    CHECK(simulation.MaxAdmittedIn(kWindow) <= Allowed(rate));
  }
}

// Guards against waiting for an issuer that does not exist, and against
// refusing all requests meanwhile.
TEST_CASE("without an issuer each node uses its share") {
  GrantSimulation simulation(kNodes, {.perSecond = 160, .burst = 160});
  simulation.issuer.reset();
  simulation.ApplyReachability();
  Run(simulation, 400, 10s,
      [](RandomSource& aRandom) { return aRandom.NextBelow(kNodes); });
  const double isolated = GrantSettings().isolatedShare * 1600;
  CHECK(simulation.admitted >= 0.9 * isolated);
  CHECK(simulation.admitted <= isolated + kNodes);
}

// Guards against the loss of tokens whose requests were admitted here and
// refused at a later stage.
TEST_CASE("a returned token admits another request") {
  GrantSimulation simulation(1, {.perSecond = 10, .burst = 10});
  Run(simulation, 0, 1s, [](RandomSource&) { return 0; });
  simulation.Offer(0);
  simulation.Step(2ms);
  REQUIRE(simulation.admitted == 1);
  const size_t before = simulation.admitted;
  for (int i = 0; i < 40; ++i) {
    simulation.Offer(0);
    simulation.Step(2ms);
    simulation.holders[0]->Return(kOrganisation, simulation.clock.Now());
  }
  CHECK(simulation.admitted - before >= 20);
}

// Guards against requests that wait for ever.
TEST_CASE("every request is admitted or refused in time") {
  GrantSimulation simulation(2, {.perSecond = 1, .burst = 1});
  for (int i = 0; i < 50; ++i) {
    simulation.Offer(0);
  }
  for (int i = 0; i < 100; ++i) {
    simulation.Step(2ms);
  }
  CHECK(simulation.admitted + simulation.refused == simulation.offered);
  CHECK_FALSE(simulation.holders[0]->HasWaiters());
}

namespace {
/// A node without a fixed share; the test answers its requests for tokens.
struct RequestingNode {
  GrantHolder holder{
      GrantSettings{},
      [this](const std::string&, const GrantHolder::Request& aRequest) {
        this->sentRequests.push_back(aRequest.requestId);
        return true;
      },
      [] {}};
  ManualClock clock;
  std::vector<uint64_t> sentRequests;
  size_t admitted = 0;
  size_t refused = 0;

  explicit RequestingNode(double aPerSecond = 100) {
    this->SetRate(aPerSecond);
    this->clock.Advance(1s);
  }
  void SetRate(double aPerSecond) {
    constexpr size_t kManyNodes = 100;
    this->holder.SetLimit(kOrganisation,
                          {.perSecond = aPerSecond, .burst = aPerSecond},
                          kManyNodes, this->clock.Now());
  }
  void Offer(Duration aWait) {
    this->holder.Admit(kOrganisation, this->clock.Now(),
                       this->clock.Now() + aWait, [this](bool aAdmitted) {
                         ++(aAdmitted ? this->admitted : this->refused);
                       });
  }
  void Wait(Duration aTime) {
    this->clock.Advance(aTime);
    this->holder.Tick(this->clock.Now());
  }
  void Answer(size_t aRequest, uint32_t aTokens) {
    this->holder.OnGrant(kOrganisation,
                         {.requestId = this->sentRequests.at(aRequest),
                          .tokens = aTokens,
                          .mayRefuse = true},
                         this->clock.Now());
  }
};
}  // namespace

// An issuer or a connection stalls, and afterwards all responses arrive at
// once. Guards against tokens granted earlier that count as those of the last
// request, which adds them to the rate of a later window.
TEST_CASE("granted tokens lapse by the age of their request") {
  RequestingNode node;
  constexpr Duration kLong = 10s;
  node.Offer(kLong);
  for (int i = 0; i < 6; ++i) {
    node.Wait(160ms);
  }
  REQUIRE(node.sentRequests.size() == 7);
  // This request is 960 ms old.
  node.Answer(0, 5);
  CHECK(node.admitted == 0);
  // This one is 320 ms old. Its tokens are valid for another 180 ms, although
  // later requests are open.
  node.Answer(4, 2);
  CHECK(node.admitted == 1);
  node.Wait(190ms);
  node.Offer(0ms);
  CHECK(node.refused == 1);
  // A response counts once.
  for (int i = 0; i < 2; ++i) {
    node.Answer(5, 1);
    node.Offer(0ms);
  }
  CHECK(node.admitted == 2);
  CHECK(node.refused == 2);
}

// An issuer or a connection stalls, and tokens of several requests arrive.
// Guards against tokens of an early request that last as long as those of a
// late one.
TEST_CASE("tokens of a later request do not prolong earlier ones") {
  RequestingNode node;
  node.Offer(10s);
  node.Wait(160ms);
  node.Wait(160ms);
  REQUIRE(node.sentRequests.size() == 3);
  // The answered requests are 320 ms and 0 ms old.
  node.Answer(0, 10);
  REQUIRE(node.admitted == 1);
  node.Answer(2, 2);
  node.Wait(190ms);
  for (int i = 0; i < 5; ++i) {
    node.Offer(0ms);
  }
  CHECK(node.admitted == 1 + 2);
  CHECK(node.refused == 3);
}

// An issuer or a connection stalls, and refusals arrive late. Guards against
// refusals within the rate, as tokens that the issuer lacked earlier may be
// available for a later request.
TEST_CASE("a late refusal refuses no later request") {
  RequestingNode node;
  node.Offer(10ms);
  node.Wait(160ms);
  REQUIRE(node.refused == 1);
  node.Offer(250ms);
  REQUIRE(node.sentRequests.size() == 2);
  node.Answer(0, 0);
  CHECK(node.refused == 1);
  node.Answer(1, 1);
  CHECK(node.admitted == 1);
}

// Guards against tokens of a higher rate that arrive after it was lowered.
TEST_CASE("tokens that were requested at a higher rate are not used") {
  RequestingNode node;
  node.Offer(10s);
  REQUIRE(node.sentRequests.size() == 1);
  node.SetRate(10);
  node.Answer(0, 50);
  CHECK(node.admitted == 0);
}
