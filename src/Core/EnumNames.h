#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace fescueline {

/// One row of an enumeration's table of names.
template <typename E>
struct EnumName {
  /// The enumerator.
  E value;
  /// Its name in settings, labels, logs and metrics.
  std::string_view name;
};

/// Specialised for each enumeration that has names, with a static constexpr
/// `std::array<EnumName<E>, N> kNames`.
template <typename E>
struct EnumNames;

/// Name of an enumerator; "invalid" for a value outside the table.
template <typename E>
constexpr std::string_view ToName(E aValue) {
  for (const auto& row : EnumNames<E>::kNames) {
    if (row.value == aValue) {
      return row.name;
    }
  }
  return "invalid";
}

/// Enumerator with the given name, if there is one.
template <typename E>
constexpr std::optional<E> FromName(std::string_view aName) {
  for (const auto& row : EnumNames<E>::kNames) {
    if (row.name == aName) {
      return row.value;
    }
  }
  return std::nullopt;
}

}  // namespace fescueline
