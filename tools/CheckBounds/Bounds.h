#pragma once

#include <filesystem>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace fescueline {

/// One line of the bounds file.
struct Bound {
  /// The line as read, for the report.
  std::string text;
  /// Benchmark program, such as RoutingBench.
  std::string program;
  std::string benchmark;
  /// Benchmark whose value is the divisor; empty if the bound is not a ratio.
  std::string divisor;
  /// Name of the counter or field in the result.
  std::string value;
  /// Whether the limit is a minimum; otherwise it is a maximum.
  bool atLeast = false;
  double limit = 0;
};

/// Reads a bounds file. Throws Error with the line number for a malformed line.
std::vector<Bound> ReadBounds(const std::string& aPath);

/// Benchmark results written by `make bench`. Not thread-safe.
class BenchResults {
 public:
  explicit BenchResults(std::filesystem::path aFolder)
      : folder(std::move(aFolder)) {}

  /// Value or ratio that the bound limits; nullopt if it was not measured.
  std::optional<double> ValueOf(const Bound& aBound);

 private:
  /// Median of a benchmark's repetitions; nullopt if it was not measured.
  std::optional<double> Find(const Bound& aBound,
                             const std::string& aBenchmark);

  std::filesystem::path folder;
  /// Parsed result files by program.
  std::map<std::string, nlohmann::json> results;
};

}  // namespace fescueline
