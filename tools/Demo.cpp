#include <fmt/format.h>

#include <cstdio>
#include <exception>
#include <future>
#include <iostream>

#include "Core/Error.h"
#include "EmbeddedFleet.h"
#include "Log/Log.h"
#include "Traffic.h"

namespace fescueline {

namespace {
constexpr Duration kReadyLimit = std::chrono::seconds(10);
constexpr Duration kLatencyLength = std::chrono::seconds(2);
constexpr Duration kRateLength = std::chrono::seconds(4);
constexpr Duration kOverloadLength = std::chrono::seconds(4);
constexpr Duration kRecoveryLimit = std::chrono::seconds(2);
constexpr Duration kAfterLength = std::chrono::seconds(1);
constexpr size_t kTargetsPerService = 2;
/// Rate and burst of the two organisations in the comparison of rates.
constexpr double kRate = 100;
constexpr double kBurst = 50;
/// Rate that does not limit the overload.
constexpr double kAmpleRate = 20000;
/// Slots and work of a target of `orders`: two of them can serve 400 requests
/// per second.
constexpr uint32_t kOrderSlots = 4;
constexpr uint64_t kOrderWorkMicroseconds = 20000;
constexpr double kOrderCapacity = 400;
constexpr uint32_t kMaxTries = 4;

EmbeddedFleet::Settings FleetSettings() {
  const StandInTarget::Settings chained{.workMicroseconds = 1000,
                                        .calls = {"/ledger"}};
  const StandInTarget::Settings plain{.workMicroseconds = 1000};
  const StandInTarget::Settings narrow{
      .slots = kOrderSlots, .workMicroseconds = kOrderWorkMicroseconds};
  EmbeddedFleet::Settings settings;
  for (size_t i = 0; i < kTargetsPerService; ++i) {
    settings.instances.push_back({.service = "desk", .target = chained});
    settings.instances.push_back({.service = "ledger", .target = plain});
    settings.instances.push_back({.service = "fees", .target = plain});
    settings.instances.push_back({.service = "orders", .target = narrow});
  }
  return settings;
}

/// The fleet with its records, and the traffic that is sent to it.
class Demo {
 public:
  Demo() : fleet(FleetSettings()) {}

  void Run() {
    if (!this->fleet.WaitReady(kReadyLimit)) {
      throw Error("demo.start", "fleet", "the nodes did not become ready");
    }
    this->Configure();
    this->MeasureLatency();
    this->ExceedRate();
    this->Overload();
  }

 private:
  std::vector<std::string> Callers() const {
    std::vector<std::string> urls;
    for (size_t i = 0; i < this->fleet.Size(); ++i) {
      urls.push_back(this->fleet.CallerUrl(i));
    }
    return urls;
  }

  /// Creates all records. A change is reported when it is in force in the
  /// whole fleet, so independent ones are sent together.
  void Configure() {
    std::vector<std::future<void>> changes;
    const auto add = [&changes](auto aChange) {
      changes.push_back(std::async(std::launch::async, std::move(aChange)));
    };
    const auto wait = [&changes] {
      for (auto& change : changes) {
        change.get();
      }
      changes.clear();
    };
    add([this] { this->fleet.CreateOrganisation("calm", kRate, kBurst); });
    add([this] { this->fleet.CreateOrganisation("eager", kRate, kBurst); });
    add([this] {
      this->fleet.CreateOrganisation("ample", kAmpleRate, kAmpleRate);
    });
    add([this] { this->fleet.CreateRoute("desk", "desk", "/desk"); });
    add([this] { this->fleet.CreateRoute("ledger", "ledger", "/ledger"); });
    add([this] { this->fleet.CreateRoute("fees", "fees", "/fees"); });
    for (const char* importance : {"critical", "high", "normal", "low"}) {
      add([this, importance] {
        this->fleet.CreateRoute(
            std::string("orders-") + importance, "orders",
            std::string("/orders/") + importance,
            fmt::format(R"({{"importance":"{}"}})", importance));
      });
    }
    wait();
    add([this] { this->calmKey = this->fleet.GrantKey("calm"); });
    add([this] { this->eagerKey = this->fleet.GrantKey("eager"); });
    add([this] { this->ampleKey = this->fleet.GrantKey("ample"); });
    wait();
  }

  /// Compares calls through the nodes with direct calls to the targets.
  void MeasureLatency() {
    constexpr double kPerSecond = 100;
    std::vector<std::string> targets;
    for (size_t i = 0; i < this->fleet.Size(); ++i) {
      // The third instance of each group of services serves `fees`.
      if (i % (this->fleet.Size() / kTargetsPerService) == 2) {
        targets.push_back(
            fmt::format("http://127.0.0.1:{}", this->fleet.TargetAt(i).Port()));
      }
    }
    const TrafficStream stream{.name = "fees",
                               .key = this->ampleKey,
                               .path = "/fees",
                               .perSecond = kPerSecond};
    TrafficStream keyless = stream;
    keyless.key.clear();
    const auto direct =
        Traffic(this->fleet.Client(), targets).Run({keyless}, kLatencyLength);
    const auto through = Traffic(this->fleet.Client(), this->Callers())
                             .Run({stream}, kLatencyLength);
    const auto chain = Traffic(this->fleet.Client(), this->Callers())
                           .Run({{.name = "desk",
                                  .key = this->ampleKey,
                                  .path = "/desk",
                                  .perSecond = kPerSecond}},
                                kLatencyLength);
    fmt::print("Latency at {:.0f} requests/s, ms\n", kPerSecond);
    fmt::print("{:<28}{:>8}{:>8}{:>10}\n", "", "p50", "p99", "served");
    PrintLatency("direct", direct[0]);
    PrintLatency("through the nodes", through[0]);
    fmt::print("{:<28}{:>8.2f}{:>8.2f}\n", "added",
               through[0].Percentile(0.5) - direct[0].Percentile(0.5),
               through[0].Percentile(0.99) - direct[0].Percentile(0.99));
    PrintLatency("chain of two calls", chain[0]);
  }

  static void PrintLatency(const char* aName, const TrafficResult& aResult) {
    fmt::print("{:<28}{:>8.2f}{:>8.2f}{:>6}/{}\n", aName,
               aResult.Percentile(0.5), aResult.Percentile(0.99),
               aResult.served, aResult.requests);
  }

  /// Sends traffic of two organisations: one keeps to its rate, the other sends
  /// several times as much.
  void ExceedRate() {
    constexpr double kCalm = 0.8;
    constexpr double kEager = 5;
    const std::vector<TrafficStream> streams = {{.name = "calm",
                                                 .key = this->calmKey,
                                                 .path = "/desk",
                                                 .perSecond = kRate * kCalm},
                                                {.name = "eager",
                                                 .key = this->eagerKey,
                                                 .path = "/desk",
                                                 .perSecond = kRate * kEager}};
    fmt::print(
        "\nTwo organisations with {:.0f} requests/s and a burst of {:.0f} each "
        "for {:.0f} s;\none sends {:.0f}/s, the other {:.0f}/s. At most {:.0f} "
        "of each can be admitted.\n",
        kRate, kBurst, ToSeconds(kRateLength), kRate * kCalm, kRate * kEager,
        kRate * ToSeconds(kRateLength) + kBurst);
    Print("organisation", streams,
          Traffic(this->fleet.Client(), this->Callers())
              .Run(streams, kRateLength));
  }

  /// Sends twice the capacity of `orders`, in four importance classes, from
  /// clients that ignore Retry-After.
  void Overload() {
    const std::vector<TrafficStream> streams = {
        this->Orders("critical", 0.2), this->Orders("high", 0.4),
        this->Orders("normal", 0.6), this->Orders("low", 0.8)};
    fmt::print(
        "\nOverload of the service orders: 2 times its capacity of {:.0f}/s "
        "for {:.0f} s;\nclients try up to {} times, 20 ms apart.\n",
        kOrderCapacity, ToSeconds(kOverloadLength), kMaxTries);
    Traffic traffic(this->fleet.Client(), this->Callers());
    const auto results = traffic.Run(streams, kOverloadLength);
    Print("importance", streams, results);
    uint64_t served = 0;
    for (const TrafficResult& result : results) {
      served += result.served;
    }
    fmt::print("goodput {:.0f}/s\n",
               static_cast<double>(served) / ToSeconds(kOverloadLength));

    const std::vector<TrafficStream> after = {
        this->Orders("critical", 0.1), this->Orders("high", 0.1),
        this->Orders("normal", 0.1), this->Orders("low", 0.2)};
    traffic.Run(after, kRecoveryLimit);
    fmt::print("\nHalf of its capacity, {:.0f} s after the overload\n",
               ToSeconds(kRecoveryLimit));
    Print("importance", after, traffic.Run(after, kAfterLength));
  }

  /// Requests of one importance class at a fraction of the service's capacity.
  TrafficStream Orders(const std::string& aImportance, double aShare) const {
    return {.name = aImportance,
            .key = this->ampleKey,
            .path = "/orders/" + aImportance,
            .perSecond = kOrderCapacity * aShare,
            .maxTries = kMaxTries};
  }

  static void Print(const char* aHeading,
                    const std::vector<TrafficStream>& aStreams,
                    const std::vector<TrafficResult>& aResults) {
    fmt::print("{:<14}{:>9}{:>8}{:>8}{:>9}{:>9}  {}\n", aHeading, "requests",
               "tries", "served", "p50 ms", "p99 ms", "refused tries by cause");
    for (size_t i = 0; i < aStreams.size(); ++i) {
      const TrafficResult& result = aResults[i];
      std::string causes;
      for (const auto& [cause, count] : result.refused) {
        causes +=
            fmt::format("{}{} {}", causes.empty() ? "" : ", ", cause, count);
      }
      fmt::print("{:<14}{:>9}{:>8}{:>8}{:>9.1f}{:>9.1f}  {}\n",
                 aStreams[i].name, result.requests, result.tries, result.served,
                 result.Percentile(0.5), result.Percentile(0.99),
                 causes.empty() ? "none" : causes);
    }
  }

  EmbeddedFleet fleet;
  std::string calmKey;
  std::string eagerKey;
  std::string ampleKey;
};
}  // namespace

}  // namespace fescueline

/// Runs a small fleet in one process and prints the results of its traffic.
int main() {
  try {
    fescueline::DisableLog();
    // Line buffering shows each part as soon as it is done, also in a pipe.
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    fescueline::Demo().Run();
  } catch (const std::exception& failure) {
    std::cerr << "fescueline-demo: " << failure.what() << '\n';
    return 1;
  }
  return 0;
}
