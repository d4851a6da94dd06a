#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "Config/ConfigReplica.h"

using namespace fescueline;

namespace {
std::string KeyText(int64_t aIndex) { return "fk_" + std::to_string(aIndex); }

TableRecord MakeRecord(std::string aKey, std::string aValue,
                       uint64_t aVersion) {
  return {.key = std::move(aKey),
          .value = std::move(aValue),
          .version = aVersion,
          .deleted = false};
}

TableRecord MakeMember(int64_t aIndex, uint64_t aVersion) {
  const MemberRecord member{
      .incarnation = {.high = aVersion, .low = static_cast<uint64_t>(aIndex)},
      .dataCentre = "d" + std::to_string(aIndex % 8),
      .region = "r" + std::to_string(aIndex % 3),
      .service = "service-" + std::to_string(aIndex % 400),
      .peerAddress = "10.0.0.1:7001",
      .controlAddress = "10.0.0.1:7002"};
  return MakeRecord("member/node-" + std::to_string(aIndex), member.ToJson(),
                    aVersion);
}

TableRecord MakeRoute(int64_t aIndex, uint64_t aVersion) {
  const std::string number = std::to_string(aIndex);
  return MakeRecord("route/route-" + number,
                    R"({"service":"service-)" + std::to_string(aIndex % 400) +
                        R"(","path_prefix":"/api/v1/service-)" + number +
                        R"(","labels":{"importance":"high"}})",
                    aVersion);
}

TableRecord MakeRule(int64_t aIndex, uint64_t aVersion) {
  const std::string service = std::to_string(aIndex % 400);
  return MakeRecord("rule/rule-" + std::to_string(aIndex),
                    R"({"selector":"service=service-)" + service +
                        R"(,method!=PUT","labels":{"deadline":"3s"}})",
                    aVersion);
}

/// A configuration with aCount keys, routes, rules and members.
TableChanges MakeChanges(int64_t aCount) {
  TableChanges changes;
  changes.version = 1;
  for (int64_t index = 0; index < aCount; ++index) {
    changes.records.push_back(
        MakeRecord("key/" + ToHex(AsBytes(Sha256(KeyText(index)))),
                   R"({"id":"k1","organisation":"acme","state":"active"})", 1));
    changes.records.push_back(MakeRoute(index, 1));
    changes.records.push_back(MakeRule(index, 1));
    changes.records.push_back(MakeMember(index, 1));
  }
  return changes;
}

void FindKey(benchmark::State& aState) {
  ConfigReplica replica;
  replica.Apply(MakeChanges(aState.range(0)));
  const auto snapshot = replica.Snapshot();
  std::vector<Digest256> hashes;
  for (int64_t index = 0; index < aState.range(0); ++index) {
    hashes.push_back(Sha256(KeyText(index)));
  }
  size_t next = 0;
  for (auto step : aState) {
    benchmark::DoNotOptimize(snapshot->FindKey(hashes[next]));
    next = (next + 7) % hashes.size();
  }
}

void FindRouteAndDecide(benchmark::State& aState) {
  ConfigReplica replica;
  replica.Apply(MakeChanges(aState.range(0)));
  const auto snapshot = replica.Snapshot();
  std::vector<std::string> paths;
  for (int64_t index = 0; index < aState.range(0); ++index) {
    paths.push_back("/api/v1/service-" + std::to_string(index) + "/fees/7");
  }
  size_t next = 0;
  for (auto step : aState) {
    const Route* route = snapshot->FindRoute("GET", paths[next]);
    benchmark::DoNotOptimize(snapshot->ResolvePolicy(
        {.route = route, .method = "GET", .organisation = "acme"}));
    next = (next + 7) % paths.size();
  }
}

void ApplyAll(benchmark::State& aState) {
  const TableChanges changes = MakeChanges(aState.range(0));
  for (auto step : aState) {
    ConfigReplica replica;
    benchmark::DoNotOptimize(replica.Apply(changes));
  }
  aState.SetItemsProcessed(aState.iterations() *
                           static_cast<int64_t>(changes.records.size()));
}

template <TableRecord (*Make)(int64_t, uint64_t)>
void ApplyOne(benchmark::State& aState) {
  ConfigReplica replica;
  replica.Apply(MakeChanges(aState.range(0)));
  uint64_t version = 1;
  for (auto step : aState) {
    ++version;
    TableChanges change;
    change.version = version;
    change.records.push_back(
        Make(static_cast<int64_t>(version) % aState.range(0), version));
    benchmark::DoNotOptimize(replica.Apply(change));
  }
}

void Snapshot(benchmark::State& aState) {
  static ConfigReplica sReplica;
  for (auto step : aState) {
    benchmark::DoNotOptimize(sReplica.Snapshot());
  }
}

void Sizes(benchmark::internal::Benchmark* aBenchmark) {
  for (const int64_t count : {8, 400, 10'000}) {
    aBenchmark->Arg(count);
  }
}
}  // namespace

BENCHMARK(Snapshot)->Threads(1)->Threads(2);
BENCHMARK(FindKey)->Apply(Sizes);
BENCHMARK(FindRouteAndDecide)->Apply(Sizes);
BENCHMARK(ApplyAll)->Apply(Sizes);
BENCHMARK(ApplyOne<MakeMember>)->Apply(Sizes);
BENCHMARK(ApplyOne<MakeRoute>)->Apply(Sizes);
BENCHMARK(ApplyOne<MakeRule>)->Apply(Sizes);
