#include "Settings/SettingsError.h"

#include <fmt/format.h>

#include <algorithm>

namespace fescueline {

namespace {
std::string FormatListing(std::string_view aFile,
                          const std::vector<SettingProblem>& aProblems) {
  std::string listing;
  for (const SettingProblem& problem : aProblems) {
    listing += aFile;
    if (problem.line > 0) {
      listing += fmt::format(":{}", problem.line);
    }
    listing += ": ";
    if (!problem.key.empty()) {
      listing += fmt::format("{}: ", problem.key);
    }
    listing += problem.message + "\n";
  }
  return listing;
}

std::vector<SettingProblem> SortByLine(std::vector<SettingProblem> aProblems) {
  std::stable_sort(
      aProblems.begin(), aProblems.end(),
      [](const SettingProblem& aLeft, const SettingProblem& aRight) {
        return aLeft.line < aRight.line;
      });
  return aProblems;
}
}  // namespace

SettingsError::SettingsError(std::string_view aFile,
                             std::vector<SettingProblem> aProblems)
    : Error("settings.load", aFile,
            fmt::format("{} errors; first: {}", aProblems.size(),
                        aProblems.empty() ? "" : aProblems.front().message)),
      problems(SortByLine(std::move(aProblems))),
      listing(FormatListing(aFile, this->problems)) {}

}  // namespace fescueline
