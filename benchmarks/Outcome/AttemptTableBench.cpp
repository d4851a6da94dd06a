#include <benchmark/benchmark.h>

#include "Outcome/AttemptTable.h"

using namespace fescueline;
using namespace std::chrono_literals;

namespace {
/// Spread like random identifiers, which the hash function assumes.
Id128 Attempt(uint64_t aNumber) {
  return Id128{.high = aNumber * 0xd6e8feb86659fd93ULL,
               .low = aNumber * 0xa0761d6478bd642fULL};
}

/// One Begin, Query and Finish in a table that stays at the given size: each
/// iteration starts one attempt and another one expires.
void BM_AttemptLifecycle(benchmark::State& aState) {
  const auto size = static_cast<uint64_t>(aState.range(0));
  AttemptTable table{AttemptTableSettings{.maxAttempts = size + 2}};
  ManualClock clock;
  const auto response = std::make_shared<StoredResponse>(StoredResponse{
      .status = 200, .headers = {}, .body = std::string(200, 'x')});
  uint64_t next = 0;
  uint64_t refused = 0;
  const Duration step = Duration(60s) / size;
  for (auto unused : aState) {
    clock.Advance(step);
    const Id128 attempt = Attempt(next++);
    refused += table.Begin(attempt, clock.Now()) != BeginResult::Started;
    benchmark::DoNotOptimize(table.Query(attempt, 1s, clock.Now()));
    table.Finish(
        attempt,
        {.outcome = Outcome::Ran, .cause = Cause::None, .response = response},
        clock.Now());
  }
  aState.counters["entries"] = static_cast<double>(table.Attempts());
  aState.counters["refused"] = static_cast<double>(refused);
}
BENCHMARK(BM_AttemptLifecycle)->Arg(100)->Arg(4096);
}  // namespace
