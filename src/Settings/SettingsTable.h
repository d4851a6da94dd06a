#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Core/EnumNames.h"
#include "Settings/NodeSettings.h"

namespace fescueline {

/// Syntax of a setting's value.
enum class SettingKind : uint8_t {
  Name,
  Address,
  AddressList,
  Table,
  Path,
  Integer,
  Duration,
  Size,
  Ratio
};

template <>
struct EnumNames<SettingKind> {
  static constexpr std::array<EnumName<SettingKind>, 9> kNames{
      {{SettingKind::Name, "name"},
       {SettingKind::Address, "address"},
       {SettingKind::AddressList, "list of addresses"},
       {SettingKind::Table, "URL"},
       {SettingKind::Path, "path"},
       {SettingKind::Integer, "number"},
       {SettingKind::Duration, "duration"},
       {SettingKind::Size, "size"},
       {SettingKind::Ratio, "ratio"}}};
};

/// Member of NodeSettings that a setting is stored in.
using SettingMember =
    std::variant<std::string NodeSettings::*, SocketAddress NodeSettings::*,
                 std::vector<SocketAddress> NodeSettings::*,
                 uint64_t NodeSettings::*, Duration NodeSettings::*,
                 double NodeSettings::*>;

/// One row of the table of settings.
struct SettingSpec {
  /// Path in the file, such as "limits.freshness_limit".
  std::string_view key;
  /// Syntax and unit of the value.
  SettingKind kind;
  /// Value if the key is missing; empty if there is no default.
  std::string_view defaultValue;
  bool required;
  /// Lowest allowed value; empty for kinds without an order.
  std::string_view min;
  /// Highest allowed value; empty for kinds without an order.
  std::string_view max;
  /// Purpose, for docs/settings.md.
  std::string_view description;
  /// Where the value is stored.
  SettingMember member;
};

/// All settings, in the order of docs/settings.md. The loader and that page are
/// derived from it.
std::span<const SettingSpec> SettingsTable();

/// The allowed values, such as "a duration from 1s to 1m".
std::string DescribeAllowed(const SettingSpec& aSpec);

/// The setting's row in docs/settings.md.
std::string DescribeRow(const SettingSpec& aSpec);

}  // namespace fescueline
