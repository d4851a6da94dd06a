#include "PathMeasurement.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "ProcessorTime.h"

namespace fescueline {

namespace {
using Json = nlohmann::json;

constexpr double kPerMille = 1000.0;

std::string RequestBytes(const std::string& aPath, const std::string& aKey) {
  return "GET " + aPath + " HTTP/1.1\r\nHost: target\r\n" +
         (aKey.empty() ? "" : "Authorization: Bearer " + aKey + "\r\n") +
         "\r\n";
}

void Append(LoadResult& aAll, LoadResult aMore) {
  aAll.latencies.insert(aAll.latencies.end(), aMore.latencies.begin(),
                        aMore.latencies.end());
  aAll.refused += aMore.refused;
  aAll.failed += aMore.failed;
}

/// Quantile of sorted latencies, in milliseconds rounded to microseconds.
double Quantile(const std::vector<Duration>& aSorted, double aShare) {
  if (aSorted.empty()) {
    return 0;
  }
  const auto rank = static_cast<size_t>(
      std::ceil(aShare * static_cast<double>(aSorted.size())));
  const double microseconds =
      ToSeconds(aSorted[std::max<size_t>(rank, 1) - 1]) * kPerMille * kPerMille;
  return std::round(microseconds) / kPerMille;
}

Json Summary(LoadResult& aResult) {
  std::sort(aResult.latencies.begin(), aResult.latencies.end());
  return {{"complete", aResult.latencies.size()},
          {"refused", aResult.refused},
          {"failed", aResult.failed},
          {"p50_ms", Quantile(aResult.latencies, 0.5)},
          {"p99_ms", Quantile(aResult.latencies, 0.99)},
          {"p99.9_ms", Quantile(aResult.latencies, 0.999)}};
}
}  // namespace

PathMeasurement::PathMeasurement(const Settings& aSettings)
    : settings(aSettings),
      direct({.io = this->io,
              .server = aSettings.direct,
              .request = RequestBytes(aSettings.path, "")}),
      through({.io = this->io,
               .server = aSettings.node,
               .request = RequestBytes(aSettings.path, aSettings.key)}) {}

std::vector<Duration> PathMeasurement::NodeTimes() const {
  std::vector<Duration> times;
  std::transform(this->settings.nodePids.begin(), this->settings.nodePids.end(),
                 std::back_inserter(times), &ProcessorTime);
  return times;
}

Json PathMeasurement::Measure(double aRate) {
  const Duration slice = this->settings.length / this->settings.slices;
  LoadResult directAll;
  LoadResult throughAll;
  std::vector<Duration> used(this->settings.nodePids.size());
  for (int i = 0; i < this->settings.slices; ++i) {
    const uint64_t seed = this->nextSeed++;
    Append(directAll, this->direct.Run(aRate, slice, seed));
    const std::vector<Duration> before = this->NodeTimes();
    Append(throughAll, this->through.Run(aRate, slice, seed));
    const std::vector<Duration> after = this->NodeTimes();
    for (size_t node = 0; node < used.size(); ++node) {
      used[node] += after[node] - before[node];
    }
  }
  Json directJson = Summary(directAll);
  Json throughJson = Summary(throughAll);
  Json added = Json::object();
  for (const char* quantile : {"p50_ms", "p99_ms", "p99.9_ms"}) {
    const double difference = throughJson[quantile].get<double>() -
                              directJson[quantile].get<double>();
    added[quantile] = std::round(difference * kPerMille) / kPerMille;
  }
  Json perCore = Json::array();
  for (const Duration time : used) {
    const double seconds = std::max(ToSeconds(time), 0.01);
    perCore.push_back(
        std::round(static_cast<double>(throughAll.latencies.size()) / seconds));
  }
  return {{"rate", aRate},
          {"direct", directJson},
          {"through", throughJson},
          {"added", added},
          {"requests_per_core_second", perCore}};
}

}  // namespace fescueline
