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

/// Nodes that share one issuer; messages take one step of time.
class GrantWorld {
 public:
  explicit GrantWorld(size_t aNodes, const OrganisationRate& aRate)
      : rate(aRate) {
    for (size_t i = 0; i < aNodes; ++i) {
      this->holders.push_back(std::make_unique<GrantHolder>(
          GrantSettings{},
          [this, i](const std::string&, uint32_t aWanted) {
            if (!this->issuer || this->cut.contains(i)) {
              return false;
            }
            this->requests.push_back({i, aWanted});
            return true;
          },
          [] {}));
    }
    this->NewIssuer();
    this->SetRate(aRate);
  }

  void NewIssuer() {
    this->issuer =
        std::make_unique<GrantIssuer>(GrantSettings{}, this->clock.Now());
    this->ApplyReach();
  }
  /// Tells the issuer and the holders who reaches whom.
  void ApplyReach() {
    const size_t reached = this->holders.size() - this->cut.size();
    if (this->issuer) {
      this->issuer->SetLimit(kOrganisation, this->rate, this->holders.size(),
                             reached, this->clock.Now());
    }
    for (size_t i = 0; i < this->holders.size(); ++i) {
      this->holders[i]->SetAlone(!this->issuer || this->cut.contains(i),
                                 this->clock.Now());
    }
  }
  void SetRate(const OrganisationRate& aRate) {
    this->rate = aRate;
    for (auto& holder : this->holders) {
      holder->SetLimit(kOrganisation, aRate, this->holders.size(),
                       this->clock.Now());
    }
    this->ApplyReach();
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
    const auto asked = std::exchange(this->requests, {});
    for (const auto& [node, wanted] : asked) {
      const uint32_t tokens =
          this->issuer ? this->issuer->Grant(kOrganisation, wanted, now) : 0;
      this->holders[node]->OnGrant(
          kOrganisation, tokens,
          this->issuer != nullptr && this->issuer->MayRefuse(now), now);
    }
    for (auto& holder : this->holders) {
      holder->Tick(now);
    }
  }
  /// Most requests admitted in any window of that length.
  size_t MostIn(Duration aWindow) const {
    size_t most = 0;
    size_t first = 0;
    for (size_t last = 0; last < this->times.size(); ++last) {
      while (this->times[last] - this->times[first] > aWindow) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }

  OrganisationRate rate;
  /// Longest wait of a request for a token.
  Duration wait = 120ms;
  ManualClock clock;
  std::vector<std::unique_ptr<GrantHolder>> holders;
  std::unique_ptr<GrantIssuer> issuer;
  /// Nodes that do not reach the issuer.
  std::set<size_t> cut;
  std::vector<std::pair<size_t, uint32_t>> requests;
  std::vector<TimePoint> times;
  size_t offered = 0;
  size_t admitted = 0;
  size_t refused = 0;
};

/// Offers a rate at nodes drawn by aPick for a time.
template <typename F>
void Run(GrantWorld& aWorld, double aPerSecond, Duration aFor, F aPick) {
  RandomSource random(7);
  constexpr Duration kStep = 2ms;
  for (Duration at{}; at < aFor; at += kStep) {
    if (random.Unit() < aPerSecond * ToSeconds(kStep)) {
      aWorld.Offer(aPick(random));
    }
    aWorld.Step(kStep);
  }
}

constexpr size_t kNodes = 16;
constexpr Duration kWindow = 5s;

/// What the users allow in a window.
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

// Pattern: one organisation sends many times its rate. Guards against an
// excess in any window, also while the issuer is replaced.
TEST_CASE("no window exceeds an organisation's rate") {
  for (const ExcessCase& row : std::vector<ExcessCase>{
           {"steady", 7.5, false, false},
           {"issuer replaced again and again", 7.5, true, false},
           {"rate lowered", 3, false, true}}) {
    CAPTURE(row.what);
    const OrganisationRate rate{.perSecond = 100, .burst = 100};
    GrantWorld world(kNodes, rate);
    const auto anywhere = [](RandomSource& aRandom) {
      return aRandom.Below(kNodes);
    };
    for (int round = 0; round < 6; ++round) {
      Run(world, rate.perSecond * row.offeredOverRate, 2s, anywhere);
      if (row.replaceIssuer) {
        world.NewIssuer();
      }
      if (row.lowerRate && round == 2) {
        world.SetRate({.perSecond = 30, .burst = 30});
        Run(world, 300, 2s, anywhere);
        world.times.clear();
        Run(world, 300, 12s, anywhere);
        CHECK(world.MostIn(kWindow) <= Allowed({30, 30}));
        return;
      }
    }
    CHECK(world.MostIn(kWindow) <= Allowed(rate));
  }
}

// Pattern: demand within the rate that moves between data centres. Guards
// against refusals of requests that are within their rate.
TEST_CASE("demand within the rate is admitted wherever it enters") {
  struct Case {
    const char* what;
    size_t nodes;
  };
  for (const Case& row : std::vector<Case>{
           {"evenly", kNodes}, {"at three nodes", 3}, {"at one node", 1}}) {
    CAPTURE(row.what);
    GrantWorld world(kNodes, {.perSecond = 100, .burst = 100});
    Run(world, 30, 3s, [](RandomSource&) { return 0; });
    world.offered = world.refused = 0;
    Run(world, 62, 20s,
        [&row](RandomSource& aRandom) { return aRandom.Below(row.nodes); });
    CHECK(world.refused * 100 <= world.offered);
  }
}

// Pattern: all nodes restart, and the new issuer has no tokens yet while
// requests wait for some. Guards against refusals within the rate.
TEST_CASE("a new issuer refuses nothing while its buckets fill") {
  GrantWorld world(kNodes, {.perSecond = 100, .burst = 100});
  world.wait = 250ms;
  const auto anywhere = [](RandomSource& aRandom) {
    return aRandom.Below(kNodes);
  };
  Run(world, 62, 3s, anywhere);
  world.refused = 0;
  for (int round = 0; round < 10; ++round) {
    world.NewIssuer();
    Run(world, 62, 2s, anywhere);
  }
  CHECK(world.refused == 0);
  // An issuer whose buckets had time to fill refuses what is over the rate.
  Run(world, 750, 5s, anywhere);
  CHECK(world.refused > 0);
  CHECK(world.MostIn(kWindow) <= Allowed({100, 100}));
}

// Pattern: nodes restart one after the other while the issuer's machine is
// lost. Guards against a fixed share that every change of the fleet's size
// empties before a token has accrued.
TEST_CASE("a change of the fleet's size keeps what has accrued") {
  GrantHolder holder(
      GrantSettings{}, [](const std::string&, uint32_t) { return false; },
      [] {});
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
  const double accrued = GrantSettings{}.FixedPart(16, false) * rate.perSecond *
                         kSteps * ToSeconds(kStep);
  CHECK(static_cast<double>(admitted) >= 0.8 * accrued);
  CHECK(static_cast<double>(admitted) <= 1.1 * accrued);
}

// Pattern: a third of the nodes is cut off while one organisation sends many
// times its rate. Guards against both sides using the same part of the rate.
TEST_CASE("nodes that are cut off add nothing to an organisation's rate") {
  for (const size_t nodes : {kNodes, size_t{80}}) {
    CAPTURE(nodes);
    const OrganisationRate rate{.perSecond = 200, .burst = 200};
    GrantWorld world(nodes, rate);
    const auto anywhere = [nodes](RandomSource& aRandom) {
      return aRandom.Below(nodes);
    };
    for (int round = 0; round < 3; ++round) {
      Run(world, 800, 4s, anywhere);
      for (size_t i = 0; i < nodes / 3; ++i) {
        world.cut.insert(i);
      }
      world.ApplyReach();
      Run(world, 800, 4s, anywhere);
      world.cut.clear();
      world.ApplyReach();
    }
    CHECK(world.MostIn(kWindow) <= Allowed(rate));
  }
}

// Guards against waiting for an issuer that nobody is, and against refusing
// everything meanwhile.
TEST_CASE("without an issuer each node uses its part") {
  GrantWorld world(kNodes, {.perSecond = 160, .burst = 160});
  world.issuer.reset();
  world.ApplyReach();
  Run(world, 400, 10s,
      [](RandomSource& aRandom) { return aRandom.Below(kNodes); });
  const double alone = GrantSettings().alone * 1600;
  CHECK(world.admitted >= 0.9 * alone);
  CHECK(world.admitted <= alone + kNodes);
}

// Guards against tokens of requests that were refused further on being lost.
TEST_CASE("a returned token admits another request") {
  GrantWorld world(1, {.perSecond = 10, .burst = 10});
  Run(world, 0, 1s, [](RandomSource&) { return 0; });
  world.Offer(0);
  world.Step(2ms);
  REQUIRE(world.admitted == 1);
  const size_t before = world.admitted;
  for (int i = 0; i < 40; ++i) {
    world.Offer(0);
    world.Step(2ms);
    world.holders[0]->Return(kOrganisation, world.clock.Now());
  }
  CHECK(world.admitted - before >= 20);
}

// Guards against waiting requests that are never decided.
TEST_CASE("every request is decided in time") {
  GrantWorld world(2, {.perSecond = 1, .burst = 1});
  for (int i = 0; i < 50; ++i) {
    world.Offer(0);
  }
  for (int i = 0; i < 100; ++i) {
    world.Step(2ms);
  }
  CHECK(world.admitted + world.refused == world.offered);
  CHECK_FALSE(world.holders[0]->HasWaiters());
}
