#pragma once

#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "Settings/NodeSettings.h"
#include "Settings/SettingsError.h"
#include "Settings/SettingsTable.h"

namespace YAML {
class Node;
}

namespace fescueline {

/// Loads a node's settings from a YAML file, guided by SettingsTable. Reports
/// all mistakes of a file at once. One thread at a time.
class SettingsLoader {
 public:
  /// Value of an environment variable, if it is set.
  using Environment =
      std::function<std::optional<std::string>(const std::string& aName)>;

  /// Reads the environment of the process.
  SettingsLoader();
  explicit SettingsLoader(Environment aEnvironment);

  /// Throws SettingsError with every mistake found.
  NodeSettings Load(const std::string& aPath);

 private:
  /// Where a value came from.
  struct Origin {
    /// Row of the table.
    const SettingSpec* spec;
    /// Line in the file.
    int line;
  };

  void ReadFile(const std::string& aPath);
  void ReadMap(const YAML::Node& aMap, const std::string& aPrefix);
  void ReadValue(const SettingSpec& aSpec, const YAML::Node& aNode);
  void ReadList(const SettingSpec& aSpec, const YAML::Node& aNode);
  void ApplyFallbacks();
  void ReadSecret(const std::string& aKey, const std::string& aVariable,
                  const std::string& aFile, Secret& aSecret);
  void CheckCombinations();
  void CheckListeners();
  void Report(int aLine, const std::string& aKey, std::string aMessage);
  /// Line of a key; 0 if the file does not set it.
  int LineOf(std::string_view aKey) const;
  /// Whether the key has a value, from the file or by default.
  bool HasValue(std::string_view aKey) const;

  /// Source of environment variables.
  Environment environment;
  /// File being loaded.
  std::string path;
  /// Result so far.
  NodeSettings settings;
  /// Mistakes so far.
  std::vector<SettingProblem> problems;
  /// Keys that appeared in the file.
  std::vector<Origin> present;
  /// Keys that have a valid value.
  std::vector<const SettingSpec*> valid;
};

/// Loads the file and prints "FILE: valid" or all mistakes. The exit code of
/// the command `check`: 0 if the file is valid, else 1.
int CheckSettings(const std::string& aPath, std::ostream& aOutput);

}  // namespace fescueline
