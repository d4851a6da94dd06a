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

/// Loads a node's settings from a YAML file as described by SettingsTable.
/// Reports all errors of a file at once. Not thread-safe.
class SettingsLoader {
 public:
  /// Value of an environment variable, if it is set.
  using Environment =
      std::function<std::optional<std::string>(const std::string& aName)>;

  /// Uses the environment of the process.
  SettingsLoader();
  explicit SettingsLoader(Environment aEnvironment);

  /// Throws SettingsError with all errors of the file.
  NodeSettings Load(const std::string& aPath);

 private:
  /// A setting that occurs in the file.
  struct PresentSetting {
    const SettingSpec* spec;
    int line;
  };

  void ReadFile(const std::string& aPath);
  void ReadMap(const YAML::Node& aMap, const std::string& aPrefix);
  void ReadValue(const SettingSpec& aSpec, const YAML::Node& aNode);
  void ReadList(const SettingSpec& aSpec, const YAML::Node& aNode);
  void ApplyDefaults();
  void ReadSecret(const std::string& aKey, const std::string& aVariable,
                  const std::string& aFile, Secret& aSecret);
  void CheckCombinations();
  void CheckListeners();
  void Report(int aLine, const std::string& aKey, std::string aMessage);
  /// Line of a key; 0 if the file does not set it.
  int LineOf(std::string_view aKey) const;
  /// Whether the key has a value, from the file or by default.
  bool HasValue(std::string_view aKey) const;

  Environment environment;
  std::string path;
  NodeSettings settings;
  std::vector<SettingProblem> problems;
  std::vector<PresentSetting> presentSettings;
  /// Settings with a valid value, from the file or by default.
  std::vector<const SettingSpec*> validSettings;
};

/// Loads the file and prints "FILE: valid" or all errors. Returns the exit code
/// of the command `check`: 0 if the file is valid, else 1.
int CheckSettings(const std::string& aPath, std::ostream& aOutput);

}  // namespace fescueline
