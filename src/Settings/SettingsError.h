#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Core/Error.h"

namespace fescueline {

/// One error in a settings file.
struct SettingProblem {
  /// Line in the file, from 1; 0 if the error has no line.
  int line = 0;
  /// Path of the key; empty if the error concerns the whole file.
  std::string key;
  /// What is wrong and what is allowed. Does not quote the invalid value, which
  /// may contain a secret, such as a password in a URL.
  std::string message;
};

/// Invalid settings file, with all its errors.
class SettingsError : public Error {
 public:
  SettingsError(std::string_view aFile, std::vector<SettingProblem> aProblems);

  const std::vector<SettingProblem>& Problems() const { return this->problems; }
  /// One line per error: "file:line: key: message".
  const std::string& Listing() const { return this->listing; }

 private:
  /// Sorted by line.
  std::vector<SettingProblem> problems;
  std::string listing;
};

}  // namespace fescueline
