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
          [this, i](const std::string&,
                    const GrantHolder::Question& aQuestion) {
            if (!this->issuer || this->cut.contains(i)) {
              return false;
            }
            this->requests.push_back({i, aQuestion});
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
    for (const auto& [node, question] : asked) {
      const uint32_t tokens =
          this->issuer
              ? this->issuer->Grant(kOrganisation, question.wanted, now)
              : 0;
      this->holders[node]->OnGrant(
          kOrganisation,
          {.number = question.number,
           .tokens = tokens,
           .mayRefuse = this->issuer && this->issuer->MayRefuse(now)},
          now);
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
  std::vector<std::pair<size_t, GrantHolder::Question>> requests;
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

namespace {
/// A node without a fixed share, whose questions the test answers.
struct AskingNode {
  GrantHolder holder{
      GrantSettings{},
      [this](const std::string&, const GrantHolder::Question& aQuestion) {
        this->asked.push_back(aQuestion.number);
        return true;
      },
      [] {}};
  ManualClock clock;
  std::vector<uint64_t> asked;
  size_t admitted = 0;
  size_t refused = 0;

  explicit AskingNode(double aPerSecond = 100) {
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
  void Answer(size_t aQuestion, uint32_t aTokens) {
    this->holder.OnGrant(kOrganisation,
                         {.number = this->asked.at(aQuestion),
                          .tokens = aTokens,
                          .mayRefuse = true},
                         this->clock.Now());
  }
};
}  // namespace

// Pattern: an issuer or a connection stands still, and all answers come at once
// afterwards. Guards against tokens of an earlier moment that count as those of
// the last question, which adds them to the rate of a later window.
TEST_CASE("tokens lapse by the question that they answer") {
  AskingNode node;
  constexpr Duration kLong = 10s;
  node.Offer(kLong);
  for (int i = 0; i < 6; ++i) {
    node.Wait(160ms);
  }
  REQUIRE(node.asked.size() == 7);
  // 960 ms old.
  node.Answer(0, 5);
  CHECK(node.admitted == 0);
  // 320 ms old, with 180 ms left, though later questions are open.
  node.Answer(4, 2);
  CHECK(node.admitted == 1);
  node.Wait(190ms);
  node.Offer(0ms);
  CHECK(node.refused == 1);
  // An answer counts once.
  for (int i = 0; i < 2; ++i) {
    node.Answer(5, 1);
    node.Offer(0ms);
  }
  CHECK(node.admitted == 2);
  CHECK(node.refused == 2);
}

// Pattern: as above, with tokens of several questions. Guards against tokens of
// an early question that last as long as those of a late one.
TEST_CASE("tokens of a later question do not prolong earlier ones") {
  AskingNode node;
  node.Offer(10s);
  node.Wait(160ms);
  node.Wait(160ms);
  REQUIRE(node.asked.size() == 3);
  // Asked for 320 ms and 0 ms ago.
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

// Pattern: as above, with answers that refuse. Guards against refusals within
// the rate: what an issuer lacked then says nothing about a later request.
TEST_CASE("a late refusal refuses no later request") {
  AskingNode node;
  node.Offer(10ms);
  node.Wait(160ms);
  REQUIRE(node.refused == 1);
  node.Offer(250ms);
  REQUIRE(node.asked.size() == 2);
  node.Answer(0, 0);
  CHECK(node.refused == 1);
  node.Answer(1, 1);
  CHECK(node.admitted == 1);
}

// Guards against tokens of a higher rate that arrive after it was lowered.
TEST_CASE("tokens that were asked for at a higher rate are not used") {
  AskingNode node;
  node.Offer(10s);
  REQUIRE(node.asked.size() == 1);
  node.SetRate(10);
  node.Answer(0, 50);
  CHECK(node.admitted == 0);
}
