#pragma once

#include <filesystem>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace fescueline {

/// One line of the file of bounds.
struct Bound {
  /// The line, for the report.
  std::string text;
  /// Benchmark program, such as RoutingBench.
  std::string program;
  /// Name of the benchmark.
  std::string benchmark;
  /// Benchmark whose value divides; empty if the bound is not a ratio.
  std::string divisor;
  /// Counter or field of the result.
  std::string value;
  /// Whether the bound is the smallest allowed value, not the largest.
  bool atLeast = false;
  double limit = 0;
};

/// Reads the file of bounds. Throws Error, with the line, for a malformed one.
std::vector<Bound> ReadBounds(const std::string& aPath);

/// Results that `make bench` wrote. One thread.
class BenchResults {
 public:
  explicit BenchResults(std::filesystem::path aFolder)
      : folder(std::move(aFolder)) {}

  /// Value of the bound's benchmark, or ratio; nothing if it was not measured.
  std::optional<double> ValueOf(const Bound& aBound);

 private:
  /// Value of a benchmark: the median of its repetitions.
  std::optional<double> Find(const Bound& aBound,
                             const std::string& aBenchmark);

  std::filesystem::path folder;
  /// Results by program.
  std::map<std::string, nlohmann::json> results;
};

}  // namespace fescueline
