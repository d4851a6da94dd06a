#include "Settings/SettingsLoader.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <utility>

#include "Settings/SettingValue.h"
#include "Settings/Units.h"

namespace fescueline {

namespace {
// Far above the size of any settings file; bounds what the YAML parser may
// expand.
constexpr size_t kMaxFileBytes = 64UL * 1024;
constexpr size_t kMaxSecretFileBytes = 4096;
constexpr size_t kMinSecretLength = 32;
constexpr size_t kMaxSeeds = 64;
// After two failed refreshes, the third still arrives in time.
constexpr int kRefreshesPerFreshnessLimit = 4;

constexpr const char* kFleetSecretVariable = "FESCUELINE_FLEET_SECRET";
constexpr const char* kOperatorCredentialVariable =
    "FESCUELINE_OPERATOR_CREDENTIAL";

std::optional<std::string> ReadText(const std::string& aPath,
                                    size_t aMaxBytes) {
  std::ifstream file(aPath, std::ios::binary);
  std::string text(aMaxBytes + 1, '\0');
  if (!file.read(text.data(), static_cast<std::streamsize>(text.size())) &&
      !file.eof()) {
    return std::nullopt;
  }
  text.resize(static_cast<size_t>(file.gcount()));
  return text;
}

const SettingSpec* FindSpec(std::string_view aKey) {
  for (const SettingSpec& spec : SettingsTable()) {
    if (spec.key == aKey) {
      return &spec;
    }
  }
  return nullptr;
}

bool IsSection(const std::string& aKey) {
  const auto table = SettingsTable();
  return std::any_of(table.begin(), table.end(), [&](const SettingSpec& aSpec) {
    return aSpec.key.starts_with(aKey + ".");
  });
}

int LineOf(const YAML::Mark& aMark) { return aMark.line + 1; }

/// A key from the file, shortened and without unprintable characters, for
/// messages.
std::string PrintableKey(std::string aKey) {
  constexpr size_t kMaxKeyLength = 80;
  aKey.resize(std::min(aKey.size(), kMaxKeyLength));
  std::replace_if(
      aKey.begin(), aKey.end(),
      [](char aChar) { return aChar < ' ' || aChar > '~'; }, '?');
  return aKey;
}
}  // namespace

SettingsLoader::SettingsLoader()
    : SettingsLoader([](const std::string& aName) {
        const char* value = std::getenv(aName.c_str());
        return value == nullptr ? std::nullopt
                                : std::optional<std::string>(value);
      }) {}

SettingsLoader::SettingsLoader(Environment aEnvironment)
    : environment(std::move(aEnvironment)) {}

NodeSettings SettingsLoader::Load(const std::string& aPath) {
  this->path = aPath;
  this->settings = NodeSettings();
  this->problems.clear();
  this->presentSettings.clear();
  this->validSettings.clear();
  this->ReadFile(aPath);
  if (!this->problems.empty() && this->presentSettings.empty()) {
    throw SettingsError(aPath, this->problems);
  }
  this->ApplyDefaults();
  this->ReadSecret("fleet_secret_file", kFleetSecretVariable,
                   this->settings.fleetSecretFile, this->settings.fleetSecret);
  this->ReadSecret("operator_credential_file", kOperatorCredentialVariable,
                   this->settings.operatorCredentialFile,
                   this->settings.operatorCredential);
  this->CheckCombinations();
  this->CheckListeners();
  if (!this->problems.empty()) {
    throw SettingsError(aPath, this->problems);
  }
  return this->settings;
}

void SettingsLoader::ReadFile(const std::string& aPath) {
  const auto text = ReadText(aPath, kMaxFileBytes);
  if (!text) {
    this->Report(0, "", "cannot be read");
    return;
  }
  if (text->size() > kMaxFileBytes) {
    this->Report(0, "", "is larger than " + FormatSize(kMaxFileBytes));
    return;
  }
  try {
    const YAML::Node root = YAML::Load(*text);
    if (!root.IsMap()) {
      this->Report(1, "", "must be a YAML map of settings");
      return;
    }
    this->ReadMap(root, "");
  } catch (const YAML::Exception& error) {
    this->Report(error.mark.is_null() ? 0 : fescueline::LineOf(error.mark), "",
                 "is not valid YAML: " + error.msg);
  }
}

void SettingsLoader::ReadMap(const YAML::Node& aMap,
                             const std::string& aPrefix) {
  std::set<std::string> names;
  for (const auto& entry : aMap) {
    const int line = fescueline::LineOf(entry.first.Mark());
    if (!entry.first.IsScalar()) {
      this->Report(line, aPrefix, "a key must be a word");
      continue;
    }
    const std::string name = entry.first.Scalar();
    const std::string key =
        aPrefix.empty() ? name : fmt::format("{}.{}", aPrefix, name);
    const std::string shown = PrintableKey(key);
    if (!names.insert(name).second) {
      this->Report(line, shown, "is set twice");
    } else if (name.find('.') != std::string::npos && FindSpec(key)) {
      this->Report(line, shown, "must not be written as one key");
    } else if (const SettingSpec* spec = FindSpec(key)) {
      this->presentSettings.push_back({.spec = spec, .line = line});
      this->ReadValue(*spec, entry.second);
    } else if (!IsSection(key)) {
      this->Report(line, shown, "unknown key; see docs/settings.md");
    } else if (!entry.second.IsMap()) {
      this->Report(line, shown, "must be a map of settings");
    } else {
      this->ReadMap(entry.second, key);
    }
  }
}

void SettingsLoader::ReadValue(const SettingSpec& aSpec,
                               const YAML::Node& aNode) {
  if (aSpec.kind == SettingKind::AddressList) {
    this->ReadList(aSpec, aNode);
  } else if (aNode.IsScalar() &&
             StoreSetting(aSpec, aNode.Scalar(), this->settings)) {
    this->validSettings.push_back(&aSpec);
  } else {
    this->Report(this->LineOf(aSpec.key), std::string(aSpec.key),
                 "must be " + DescribeAllowed(aSpec));
  }
}

void SettingsLoader::ReadList(const SettingSpec& aSpec,
                              const YAML::Node& aNode) {
  const bool valid =
      aNode.IsSequence() && aNode.size() <= kMaxSeeds &&
      std::all_of(aNode.begin(), aNode.end(), [&](const YAML::Node& aItem) {
        return aItem.IsScalar() &&
               StoreSetting(aSpec, aItem.Scalar(), this->settings);
      });
  if (valid) {
    this->validSettings.push_back(&aSpec);
  } else {
    this->Report(this->LineOf(aSpec.key), std::string(aSpec.key),
                 fmt::format("must be {}, with at most {} entries",
                             DescribeAllowed(aSpec), kMaxSeeds));
  }
}

void SettingsLoader::ApplyDefaults() {
  for (const SettingSpec& spec : SettingsTable()) {
    if (this->LineOf(spec.key) != 0) {
      continue;
    }
    if (spec.required) {
      this->Report(0, std::string(spec.key),
                   "is missing; must be " + DescribeAllowed(spec));
    } else if (!spec.defaultValue.empty() &&
               StoreSetting(spec, std::string(spec.defaultValue),
                            this->settings)) {
      this->validSettings.push_back(&spec);
    }
  }
}

void SettingsLoader::ReadSecret(const std::string& aKey,
                                const std::string& aVariable,
                                const std::string& aFile, Secret& aSecret) {
  const auto fromVariable = this->environment(aVariable);
  const int line = this->LineOf(aKey);
  if (line != 0 && fromVariable) {
    this->Report(
        line, aKey,
        fmt::format("must not be set when environment {} is set", aVariable));
    return;
  }
  std::string secret = fromVariable.value_or("");
  if (this->HasValue(aKey)) {
    const auto directory = std::filesystem::path(this->path).parent_path();
    const auto content =
        ReadText((directory / aFile).string(), kMaxSecretFileBytes);
    if (!content || content->size() > kMaxSecretFileBytes) {
      this->Report(line, aKey,
                   fmt::format("the file must be readable and at most {}",
                               FormatSize(kMaxSecretFileBytes)));
      return;
    }
    secret = content->substr(0, content->find_last_not_of(" \t\r\n") + 1);
  }
  if (secret.empty() && line == 0 && !fromVariable) {
    if (aVariable == kFleetSecretVariable) {
      this->Report(
          0, aKey,
          fmt::format("is missing; set it or environment {}", aVariable));
    }
    return;
  }
  if (secret.size() < kMinSecretLength) {
    if (line == 0 || this->HasValue(aKey)) {
      this->Report(line, aKey,
                   fmt::format("the secret must be at least {} characters",
                               kMinSecretLength));
    }
    return;
  }
  aSecret = Secret(std::move(secret));
}

void SettingsLoader::CheckCombinations() {
  const NodeSettings& loaded = this->settings;
  if (this->HasValue("limits.freshness_limit") &&
      this->HasValue("limits.refresh_interval") &&
      loaded.freshnessLimit <
          kRefreshesPerFreshnessLimit * loaded.refreshInterval) {
    this->Report(this->LineOf("limits.freshness_limit"),
                 "limits.freshness_limit",
                 fmt::format("must be at least {} times "
                             "limits.refresh_interval ({})",
                             kRefreshesPerFreshnessLimit,
                             FormatDuration(loaded.refreshInterval)));
  }
  if (loaded.IsTableEmbedded() && !loaded.seeds.empty()) {
    this->Report(this->LineOf("seeds"), "seeds",
                 "must be empty when table is embedded, since the other nodes "
                 "would have another table");
  }
  if (!loaded.operatorCredential.IsEmpty() &&
      loaded.operatorCredential.Reveal() == loaded.fleetSecret.Reveal()) {
    this->Report(this->LineOf("operator_credential_file"),
                 "operator_credential_file",
                 "must differ from the fleet secret");
  }
}

void SettingsLoader::CheckListeners() {
  std::vector<std::pair<const SettingSpec*, SocketAddress>> listeners;
  for (const SettingSpec& spec : SettingsTable()) {
    if (spec.kind != SettingKind::Address || !this->HasValue(spec.key)) {
      continue;
    }
    const std::string key(spec.key);
    const auto& address =
        this->settings.*std::get<SocketAddress NodeSettings::*>(spec.member);
    if (key.starts_with("advertise.")) {
      if (address.IsWildcard() || address.port == 0) {
        this->Report(this->LineOf(key), key,
                     "must be an address that other nodes can reach, not a "
                     "wildcard or port 0");
      }
      continue;
    }
    if (key == "listen.target" && !address.IsLoopback()) {
      this->Report(this->LineOf(key), key,
                   "must be a loopback address, since calls on it are taken "
                   "as the target's own");
    }
    for (const auto& [other, taken] : listeners) {
      const bool overlaps = taken.host == address.host || taken.IsWildcard() ||
                            address.IsWildcard();
      if (address.port != 0 && taken.port == address.port && overlaps) {
        this->Report(this->LineOf(key), key,
                     fmt::format("must not share a port with {}", other->key));
      }
    }
    listeners.emplace_back(&spec, address);
  }
}

void SettingsLoader::Report(int aLine, const std::string& aKey,
                            std::string aMessage) {
  this->problems.push_back(
      {.line = aLine, .key = aKey, .message = std::move(aMessage)});
}

int SettingsLoader::LineOf(std::string_view aKey) const {
  for (const PresentSetting& setting : this->presentSettings) {
    if (setting.spec->key == aKey) {
      return setting.line;
    }
  }
  return 0;
}

bool SettingsLoader::HasValue(std::string_view aKey) const {
  return std::any_of(
      this->validSettings.begin(), this->validSettings.end(),
      [&](const SettingSpec* aSpec) { return aSpec->key == aKey; });
}

int CheckSettings(const std::string& aPath, std::ostream& aOutput) {
  try {
    SettingsLoader().Load(aPath);
  } catch (const SettingsError& error) {
    aOutput << error.Listing();
    return 1;
  }
  aOutput << aPath << ": valid\n";
  return 0;
}

}  // namespace fescueline
