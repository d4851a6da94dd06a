#include "Settings/SettingValue.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "Settings/Units.h"

namespace fescueline {

namespace {
constexpr size_t kMaxNameLength = 63;
constexpr size_t kMaxPathLength = 4096;

std::optional<double> ParseRatio(std::string_view aText) {
  double value = 0;
  const char* end = aText.data() + aText.size();
  const auto result =
      std::from_chars(aText.data(), end, value, std::chars_format::fixed);
  if (aText.empty() || result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return value;
}

bool IsAlphanumeric(char aChar) {
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9');
}

bool IsName(std::string_view aText) {
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         IsAlphanumeric(aText.front()) &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return IsAlphanumeric(aChar) || aChar == '.' || aChar == '_' ||
                  aChar == '-';
         });
}

bool IsTable(std::string_view aText) {
  constexpr std::string_view kScheme = "http://";
  if (aText == "embedded") {
    return true;
  }
  // A user name or password in the URL would be written to logs.
  return aText.starts_with(kScheme) && aText.size() > kScheme.size() &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return aChar > ' ' && aChar <= '~' && aChar != '@' && aChar != '?' &&
                  aChar != '#';
         });
}

bool IsPath(std::string_view aText) {
  return !aText.empty() && aText.size() <= kMaxPathLength &&
         aText.find('\0') == std::string_view::npos;
}

/// Stores a parsed value that lies between the parsed bounds.
template <typename T, typename Parser>
bool StoreInRange(const SettingSpec& aSpec, const std::string& aText,
                  Parser aParse, NodeSettings& aSettings) {
  const std::optional<T> value = aParse(aText);
  // The negated comparison also rejects a NaN.
  if (!value ||
      !(*value >= *aParse(aSpec.min) && *value <= *aParse(aSpec.max))) {
    return false;
  }
  aSettings.*std::get<T NodeSettings::*>(aSpec.member) = *value;
  return true;
}

bool StoreText(const SettingSpec& aSpec, const std::string& aText, bool aValid,
               NodeSettings& aSettings) {
  if (aValid) {
    aSettings.*std::get<std::string NodeSettings::*>(aSpec.member) = aText;
  }
  return aValid;
}

bool StoreAddress(const SettingSpec& aSpec, const std::string& aText,
                  NodeSettings& aSettings) {
  const auto address = SocketAddress::Parse(aText);
  if (!address) {
    return false;
  }
  if (aSpec.kind == SettingKind::AddressList) {
    (aSettings.*
     std::get<std::vector<SocketAddress> NodeSettings::*>(aSpec.member))
        .push_back(*address);
  } else {
    aSettings.*std::get<SocketAddress NodeSettings::*>(aSpec.member) = *address;
  }
  return true;
}
}  // namespace

bool StoreSetting(const SettingSpec& aSpec, const std::string& aText,
                  NodeSettings& aSettings) {
  switch (aSpec.kind) {
    case SettingKind::Name:
      return StoreText(aSpec, aText, IsName(aText), aSettings);
    case SettingKind::Table:
      return StoreText(aSpec, aText, IsTable(aText), aSettings);
    case SettingKind::Path:
      return StoreText(aSpec, aText, IsPath(aText), aSettings);
    case SettingKind::Address:
    case SettingKind::AddressList:
      return StoreAddress(aSpec, aText, aSettings);
    case SettingKind::Integer:
      return StoreInRange<uint64_t>(aSpec, aText, ParseUnsigned, aSettings);
    case SettingKind::Size:
      return StoreInRange<uint64_t>(aSpec, aText, ParseSize, aSettings);
    case SettingKind::Duration:
      return StoreInRange<Duration>(aSpec, aText, ParseDuration, aSettings);
    case SettingKind::Ratio:
      return StoreInRange<double>(aSpec, aText, ParseRatio, aSettings);
  }
  return false;
}

}  // namespace fescueline
