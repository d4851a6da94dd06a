#include <CLI/CLI.hpp>
#include <iostream>

#include "Bounds.h"

/// Checks the results of `make bench` against a bounds file. Exits with 1 if a
/// bound is violated or its benchmark was not measured.
int main(int aCount, char** aArguments) {
  CLI::App app("Checks benchmark results against bounds.");
  std::string bounds;
  std::string results;
  app.add_option("BOUNDS", bounds, "Bounds file")->required();
  app.add_option("RESULTS", results, "Folder with JSON results")->required();
  CLI11_PARSE(app, aCount, aArguments);
  try {
    fescueline::BenchResults measured(results);
    int broken = 0;
    int checked = 0;
    for (const auto& bound : fescueline::ReadBounds(bounds)) {
      const auto value = measured.ValueOf(bound);
      const bool holds = value && (bound.atLeast ? *value >= bound.limit
                                                 : *value <= bound.limit);
      broken += holds ? 0 : 1;
      ++checked;
      std::cout << (holds ? "ok      " : "BROKEN  ") << bound.text << "  (";
      if (value) {
        std::cout << *value;
      } else {
        std::cout << "not measured";
      }
      std::cout << ")\n";
    }
    std::cout << checked << " bounds, " << broken << " broken\n";
    return broken == 0 && checked > 0 ? 0 : 1;
  } catch (const std::exception& failure) {
    std::cerr << "check-bounds: " << failure.what() << '\n';
    return 1;
  }
}
