#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "Core/RandomSource.h"
#include "Limits/ShareIssuer.h"
#include "Limits/ShareLedger.h"

using namespace fescueline;

namespace {
constexpr MicroTokens kToken = kMicroTokensPerToken;

/// One Admit on a ledger with many organisations, chosen at random.
void Admit(benchmark::State& aState) {
  const auto count = static_cast<uint64_t>(aState.range(0));
  const TimePoint start{std::chrono::hours(1)};
  ShareSettings settings;
  settings.shareLease = std::chrono::hours(1);
  ShareLedger ledger({.node = "n", .incarnation = {.high = 0, .low = 1}},
                     settings);
  std::vector<std::string> names;
  for (uint64_t i = 0; i < count; ++i) {
    names.push_back("organisation-" + std::to_string(i));
    Allocation allocation;
    allocation.version = 1;
    allocation.issuerIncarnation = {.high = 0, .low = i};
    allocation.total = {.rate = 1000 * kToken, .capacity = 1000 * kToken};
    ledger.Install(names.back(), allocation, start, start);
    ledger.Admit(names.back(), start);
    ShareIssuer issuer(names.back(), allocation, settings,
                       start - std::chrono::seconds(10));
    for (const ShareMessage& message :
         ledger.RequestMore(names.back(), start)) {
      const auto answers =
          issuer.Receive(std::get<ShareRequest>(message.body), start);
      ledger.Receive(std::get<ShareTransfer>(answers.at(0).body), start);
    }
  }
  RandomSource random(1);
  std::vector<uint32_t> order(1 << 16);
  for (uint32_t& index : order) {
    index = static_cast<uint32_t>(random.NextBelow(count));
  }
  TimePoint now = start;
  size_t next = 0;
  uint64_t admitted = 0;
  for (auto _ : aState) {
    now += std::chrono::microseconds(1);
    admitted += ledger.Admit(names[order[next++ & 0xffff]], now) ==
                        ShareAdmission::Admitted
                    ? 1
                    : 0;
  }
  benchmark::DoNotOptimize(admitted);
}
BENCHMARK(Admit)->Arg(8)->Arg(400)->Arg(10000);
}  // namespace
