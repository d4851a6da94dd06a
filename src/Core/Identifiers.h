#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace fescueline {

/// Random 128-bit identifier of a root request, an attempt or a node's
/// incarnation, which is one run of its process.
struct Id128 {
  /// Upper 64 bits.
  uint64_t high = 0;
  /// Lower 64 bits.
  uint64_t low = 0;

  /// New identifier from the thread's random source. Collisions are
  /// negligible; identifiers are not secrets.
  static Id128 Generate();
  /// Parses 32 hexadecimal digits.
  static std::optional<Id128> Parse(std::string_view aText);
  /// 32 lower-case hexadecimal digits.
  std::string ToString() const;
  /// Whether the identifier was never set.
  bool IsZero() const { return this->high == 0 && this->low == 0; }

  auto operator<=>(const Id128&) const = default;
};

}  // namespace fescueline

template <>
struct std::hash<fescueline::Id128> {
  size_t operator()(const fescueline::Id128& aId) const noexcept {
    return aId.high ^ (aId.low * 0x9e3779b97f4a7c15ULL);
  }
};
