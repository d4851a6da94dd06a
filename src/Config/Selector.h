#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/EnumNames.h"

namespace fescueline {

/// Condition that a requirement puts on a label.
enum class SelectorOperator : uint8_t { In, NotIn, Exists, Absent };

template <>
struct EnumNames<SelectorOperator> {
  static constexpr std::array<EnumName<SelectorOperator>, 4> kNames{
      {{SelectorOperator::In, "in"},
       {SelectorOperator::NotIn, "notin"},
       {SelectorOperator::Exists, "exists"},
       {SelectorOperator::Absent, "absent"}}};
};

/// One requirement of a selector. `a=b` is `a in (b)`.
struct Requirement {
  std::string label;
  SelectorOperator condition = SelectorOperator::Exists;
  /// Allowed or excluded values; empty for Exists and Absent.
  std::vector<std::string> values;

  bool operator==(const Requirement&) const = default;

  /// Whether a label with the given value (nothing if unset) satisfies the
  /// requirement. An unset label satisfies NotIn.
  bool Accepts(std::optional<std::string_view> aValue) const;
};

/// Label selector: all requirements must hold. The empty selector matches
/// everything. Immutable after parsing.
class Selector {
 public:
  Selector() = default;

  /// Parses the label selector syntax; throws ConfigError with the column of
  /// the first error.
  static Selector Parse(std::string_view aText);

  /// Whether all requirements hold. aLookup maps a label's name to
  /// std::optional<std::string_view>.
  template <typename Lookup>
  bool Matches(const Lookup& aLookup) const {
    return std::all_of(this->requirements.begin(), this->requirements.end(),
                       [&](const Requirement& aRequirement) {
                         return aRequirement.Accepts(
                             aLookup(std::string_view(aRequirement.label)));
                       });
  }

  /// The only value that the selector allows for the label; nothing if it
  /// allows several or any.
  std::optional<std::string_view> RequiredValue(std::string_view aLabel) const;
  /// Requirements in the order of the text.
  const std::vector<Requirement>& Requirements() const {
    return this->requirements;
  }
  /// The text as parsed.
  const std::string& Text() const { return this->text; }

  bool operator==(const Selector&) const = default;

 private:
  std::string text;
  std::vector<Requirement> requirements;
};

}  // namespace fescueline
