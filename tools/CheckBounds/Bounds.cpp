#include "Bounds.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

#include "Core/Error.h"

namespace fescueline {

namespace {
using Json = nlohmann::json;

/// Parses one line. Throws Error if it is malformed.
Bound ParseBound(const std::string& aLine, const std::string& aPlace) {
  Bound bound{.text = aLine};
  std::istringstream words(aLine);
  std::string word;
  std::string limit;
  words >> bound.program >> bound.benchmark >> word;
  if (word == "/") {
    words >> bound.divisor >> word;
  }
  bound.value = word;
  words >> word >> limit;
  bound.atLeast = word == ">=";
  const char* const end = limit.data() + limit.size();
  const auto parsed = std::from_chars(limit.data(), end, bound.limit);
  const bool complete = (word == "<=" || word == ">=") && !limit.empty() &&
                        parsed.ec == std::errc() && parsed.ptr == end &&
                        !(words >> word);
  if (!complete) {
    throw Error("bounds.read", aPlace,
                "expected PROGRAM BENCHMARK [/ BENCHMARK] VALUE <=|>= LIMIT");
  }
  return bound;
}
}  // namespace

std::vector<Bound> ReadBounds(const std::string& aPath) {
  std::ifstream file(aPath);
  if (!file) {
    throw Error("bounds.read", aPath, "the file cannot be read");
  }
  std::vector<Bound> bounds;
  std::string line;
  for (int number = 1; std::getline(file, line); ++number) {
    if (!line.empty() && line.front() != '#') {
      bounds.push_back(ParseBound(line, aPath + ":" + std::to_string(number)));
    }
  }
  return bounds;
}

std::optional<double> BenchResults::ValueOf(const Bound& aBound) {
  const auto value = this->Find(aBound, aBound.benchmark);
  if (!value || aBound.divisor.empty()) {
    return value;
  }
  const auto divisor = this->Find(aBound, aBound.divisor);
  if (!divisor || *divisor == 0) {
    return std::nullopt;
  }
  return *value / *divisor;
}

std::optional<double> BenchResults::Find(const Bound& aBound,
                                         const std::string& aBenchmark) {
  const auto [entry, added] = this->results.try_emplace(aBound.program);
  if (added) {
    std::ifstream file(this->folder / (aBound.program + ".json"));
    entry->second = Json::parse(file, nullptr, false);
  }
  if (!entry->second.is_object() || !entry->second.contains("benchmarks")) {
    return std::nullopt;
  }
  std::vector<double> values;
  for (const Json& result : entry->second["benchmarks"]) {
    if (result.value("run_name", "") == aBenchmark &&
        result.value("run_type", "") == "iteration" &&
        !result.value("error_occurred", false) &&
        result.contains(aBound.value) && result[aBound.value].is_number()) {
      values.push_back(result[aBound.value].get<double>());
    }
  }
  if (values.empty()) {
    return std::nullopt;
  }
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

}  // namespace fescueline
