#include <doctest/doctest.h>

#include <thread>

#include "Process/ProcessFleet.h"

using namespace fescueline;
using namespace fescueline::test;

namespace {
constexpr double kRate = 50;
constexpr double kBurst = 20;

/// A fleet under a load of three times an organisation's rate, spread over all
/// nodes.
class Demand {
 public:
  Demand() {
    REQUIRE(this->fleet.WaitReady());
    this->key = this->fleet.CreateCaller("acme", kRate, kBurst);
    this->fleet.CreateRoute("fees", "fees");
    REQUIRE(this->fleet.WaitServed(0, this->key, "/fees"));
    this->before = this->fleet.ExecutionCount();
    this->startedAt = SteadyClock().Now();
  }

  void Run(Duration aTime) {
    const TimePoint end = SteadyClock().Now() + aTime;
    for (; SteadyClock().Now() < end; ++this->sent) {
      this->series.Start(
          this->client, "r-" + std::to_string(this->sent),
          {.url =
               this->fleet.CallerUrl(this->sent % this->fleet.Size()) + "/fees",
           .headers = Bearer(this->key),
           .timeout = std::chrono::seconds(20)});
      std::this_thread::sleep_for(FromSeconds(1 / (3 * kRate)));
    }
  }

  /// Node that issues the shares.
  size_t Issuer() {
    const Reply reply =
        this->fleet.CallAdmin("GET", "/v1/config/alloc/acme", "", 0);
    CAPTURE(reply.body);
    const std::string node = reply.Json()["value"]["issuer"];
    return std::stoul(node.substr(node.find('-') + 1)) - 1;
  }

  void Check(double aLeastShare) {
    REQUIRE(this->series.WaitAll(std::chrono::seconds(40)));
    const double seconds = ToSeconds(SteadyClock().Now() - this->startedAt);
    const auto ran =
        static_cast<double>(this->fleet.ExecutionCount() - this->before);
    MESSAGE("ran " << ran << " in " << seconds << " s, sent " << this->sent);
    CHECK(ran <= kRate * seconds + kBurst);
    // The rate must not be kept by refusing everything.
    CHECK(ran >= aLeastShare * kRate * seconds);
  }

  ProcessFleet fleet{{.instances = std::vector<ProcessFleet::Instance>(3)}};

 private:
  HttpClient client;
  CallSeries series;
  std::string key;
  uint64_t before = 0;
  size_t sent = 0;
  TimePoint startedAt;
};
}  // namespace

// Guards against nodes that each admit the whole rate.
TEST_CASE("process-rate-over-demand") {
  Demand demand;
  demand.Run(std::chrono::seconds(6));
  demand.Check(0.5);
}

// Guards against a second allocation that is spent in addition to the shares of
// the first when the issuer fails.
TEST_CASE("process-rate-issuer-killed") {
  Demand demand;
  demand.Run(std::chrono::seconds(2));
  const size_t issuer = demand.Issuer();
  demand.fleet.Node(issuer).Kill();
  demand.Run(std::chrono::seconds(5));
  demand.fleet.StartNode(issuer);
  demand.Run(std::chrono::seconds(8));
  demand.Check(0.1);
}

// Guards against a paused node that spends shares which were declared lost and
// issued again during the pause.
TEST_CASE("process-rate-node-frozen") {
  Demand demand;
  demand.Run(std::chrono::seconds(2));
  const size_t frozen = (demand.Issuer() + 1) % demand.fleet.Size();
  demand.fleet.Node(frozen).Freeze();
  demand.Run(std::chrono::seconds(5));
  demand.fleet.Node(frozen).Thaw();
  demand.Run(std::chrono::seconds(4));
  demand.Check(0.1);
}

// Guards against a paused issuer, replaced during its pause, that spends shares
// which were declared lost and issued again meanwhile.
TEST_CASE("process-rate-issuer-frozen") {
  Demand demand;
  demand.Run(std::chrono::seconds(2));
  const size_t issuer = demand.Issuer();
  demand.fleet.Node(issuer).Freeze();
  demand.Run(std::chrono::seconds(9));
  demand.fleet.Node(issuer).Thaw();
  demand.Run(std::chrono::seconds(4));
  demand.Check(0.1);
}
