#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescueline {

/// One label: a name and its value.
struct Label {
  std::string name;
  std::string value;

  auto operator<=>(const Label&) const = default;
};

/// Labels of a route or a rule, sorted by name. Not thread-safe.
class LabelSet {
 public:
  LabelSet() = default;
  LabelSet(std::initializer_list<Label> aLabels);

  /// Adds a label or replaces its value.
  void Set(std::string_view aName, std::string_view aValue);
  /// Value of a label, if it is set.
  std::optional<std::string_view> Find(std::string_view aName) const;
  /// All labels in the order of their names.
  const std::vector<Label>& Items() const { return this->items; }

  bool operator==(const LabelSet&) const = default;

 private:
  /// Sorted by name, names unique.
  std::vector<Label> items;
};

/// Whether the text may name an organisation, route, rule, node or label:
/// 1 to 63 letters, digits, '.', '_' or '-', beginning with a letter or digit.
bool IsValidName(std::string_view aText);

/// Whether the text may be the value of a label: a valid name or empty.
bool IsValidLabelValue(std::string_view aText);

/// What IsValidName allows, for error messages.
inline constexpr std::string_view kNameRule =
    "must be 1 to 63 letters, digits, '.', '_' or '-', beginning with a "
    "letter or digit";

}  // namespace fescueline
