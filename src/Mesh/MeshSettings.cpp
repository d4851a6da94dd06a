#include "Mesh/MeshSettings.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "Core/Error.h"
#include "Settings/Units.h"

namespace fescueline {

namespace {
/// Least memory and descriptors with which a node can serve a small fleet.
constexpr uint64_t kLeastMemory = uint64_t{32} << 20;
constexpr uint64_t kLeastDescriptors = 64;

/// A key of the file. `store` parses a value into the settings and returns
/// false if it is malformed.
struct KeyRule {
  bool required = false;
  std::function<bool(MeshSettings&, const std::string&)> store;
};

KeyRule Text(std::string MeshSettings::*aMember, bool aRequired = true) {
  return {aRequired,
          [aMember](MeshSettings& aSettings, const std::string& aText) {
            aSettings.*aMember = aText;
            return !aText.empty();
          }};
}

KeyRule Address(SocketAddress MeshSettings::*aMember) {
  return {true, [aMember](MeshSettings& aSettings, const std::string& aText) {
            const auto address = SocketAddress::Parse(aText);
            if (address) {
              aSettings.*aMember = *address;
            }
            return address.has_value();
          }};
}

KeyRule Time(Duration MeshSettings::*aMember) {
  return {false, [aMember](MeshSettings& aSettings, const std::string& aText) {
            const auto duration = ParseDuration(aText);
            if (duration) {
              aSettings.*aMember = *duration;
            }
            return duration.has_value();
          }};
}

KeyRule Number(double MeshSettings::*aMember) {
  return {false, [aMember](MeshSettings& aSettings, const std::string& aText) {
            size_t used = 0;
            try {
              aSettings.*aMember = std::stod(aText, &used);
            } catch (const std::exception&) {
              // The caller reports a malformed value.
              return false;
            }
            return used == aText.size() && aSettings.*aMember >= 0;
          }};
}

/// Whether the platform has not filled in the placeholder of a template, as it
/// does not know the field.
bool IsUnfilled(std::string_view aText) {
  return aText.empty() || aText == "MiB" || aText.starts_with("{{");
}

/// A number with a default, which an unfilled placeholder keeps.
KeyRule Whole(uint64_t MeshSettings::*aMember, uint64_t aLeast,
              std::optional<uint64_t> (*aParse)(std::string_view)) {
  return {false, [=](MeshSettings& aSettings, const std::string& aText) {
            if (IsUnfilled(aText)) {
              return true;
            }
            const auto value = aParse(aText);
            if (value) {
              aSettings.*aMember = *value;
            }
            return value.has_value() && *value >= aLeast;
          }};
}

const std::map<std::string, KeyRule>& Rules() {
  static const std::map<std::string, KeyRule> sRules = {
      {"node", Text(&MeshSettings::node)},
      {"data_centre", Text(&MeshSettings::dataCentre)},
      {"region", Text(&MeshSettings::region)},
      {"service", Text(&MeshSettings::service)},
      {"target", Address(&MeshSettings::target)},
      {"listen.callers", Address(&MeshSettings::listenCallers)},
      {"listen.peers", Address(&MeshSettings::listenPeers)},
      {"listen.ready", Address(&MeshSettings::listenReady)},
      {"listen.reports", Address(&MeshSettings::listenReports)},
      {"fleet_secret", Text(&MeshSettings::fleetSecret)},
      {"store", Address(&MeshSettings::store)},
      {"freshness_limit", Time(&MeshSettings::freshnessLimit)},
      {"drain_limit", Time(&MeshSettings::drainLimit)},
      {"stop_limit", Time(&MeshSettings::stopLimit)},
      {"report_interval", Time(&MeshSettings::reportInterval)},
      {"retry.ratio", Number(&MeshSettings::retryRatio)},
      {"retry.floor", Number(&MeshSettings::retryFloor)},
      {"retry.window", Time(&MeshSettings::retryWindow)},
      {"memory_limit",
       Whole(&MeshSettings::memoryLimit, kLeastMemory, ParseSize)},
      {"descriptor_limit", Whole(&MeshSettings::descriptorLimit,
                                 kLeastDescriptors, ParseUnsigned)}};
  return sRules;
}

using Texts = std::map<std::string, std::pair<std::string, int>>;

void Flatten(const YAML::Node& aMap, const std::string& aPrefix,
             Texts& aTexts) {
  for (const auto& entry : aMap) {
    const std::string key = aPrefix + entry.first.as<std::string>();
    if (entry.second.IsMap()) {
      Flatten(entry.second, key + ".", aTexts);
    } else {
      aTexts[key] = {entry.second.IsScalar() ? entry.second.Scalar() : "",
                     entry.first.Mark().line + 1};
    }
  }
}
}  // namespace

MeshSettings LoadMeshSettings(const std::string& aPath) {
  Texts texts;
  try {
    Flatten(YAML::LoadFile(aPath), "", texts);
  } catch (const YAML::Exception& failure) {
    throw Error("settings.load", aPath, failure.what());
  }
  MeshSettings settings;
  std::vector<std::string> problems;
  for (const auto& [key, text] : texts) {
    const auto rule = Rules().find(key);
    if (rule == Rules().end()) {
      problems.push_back(
          fmt::format("{}:{}: {}: unknown key", aPath, text.second, key));
    } else if (!rule->second.store(settings, text.first)) {
      problems.push_back(fmt::format("{}:{}: {}: \"{}\" is malformed", aPath,
                                     text.second, key, text.first));
    }
  }
  for (const auto& [key, rule] : Rules()) {
    if (rule.required && !texts.contains(key)) {
      problems.push_back(fmt::format("{}: {}: missing", aPath, key));
    }
  }
  if (!problems.empty()) {
    throw Error("settings.load", aPath,
                fmt::format("{}", fmt::join(problems, "\n")));
  }
  return settings;
}

}  // namespace fescueline
