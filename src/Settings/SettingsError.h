#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Core/Error.h"

namespace fescueline {

/// One mistake in a settings file.
struct SettingProblem {
  /// Line in the file, from 1; 0 if the mistake has no line.
  int line = 0;
  /// Path of the key; empty if the mistake concerns the file.
  std::string key;
  /// What is wrong and what is allowed; holds no value from the file.
  std::string message;
};

/// A settings file that cannot be used, with all its mistakes.
class SettingsError : public Error {
 public:
  SettingsError(std::string_view aFile, std::vector<SettingProblem> aProblems);

  const std::vector<SettingProblem>& Problems() const { return this->problems; }
  /// One line per mistake: "file:line: key: message".
  const std::string& Listing() const { return this->listing; }

 private:
  /// The mistakes in the order of their lines.
  std::vector<SettingProblem> problems;
  /// Text of all mistakes.
  std::string listing;
};

}  // namespace fescueline
