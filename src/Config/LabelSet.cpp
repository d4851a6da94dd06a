#include "Config/LabelSet.h"

#include <algorithm>

namespace fescueline {

namespace {
constexpr size_t kMaxNameLength = 63;

bool IsAlphanumeric(char aChar) {
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9');
}

bool IsBefore(const Label& aLabel, std::string_view aName) {
  return aLabel.name < aName;
}

template <typename Items>
auto LowerBound(Items& aItems, std::string_view aName) {
  return std::lower_bound(aItems.begin(), aItems.end(), aName, &IsBefore);
}
}  // namespace

LabelSet::LabelSet(std::initializer_list<Label> aLabels) {
  for (const Label& label : aLabels) {
    this->Set(label.name, label.value);
  }
}

void LabelSet::Set(std::string_view aName, std::string_view aValue) {
  auto position = LowerBound(this->items, aName);
  if (position != this->items.end() && position->name == aName) {
    position->value = aValue;
    return;
  }
  this->items.insert(position, Label{.name = std::string(aName),
                                     .value = std::string(aValue)});
}

std::optional<std::string_view> LabelSet::Find(std::string_view aName) const {
  const auto position = LowerBound(this->items, aName);
  if (position == this->items.end() || position->name != aName) {
    return std::nullopt;
  }
  return position->value;
}

bool IsValidName(std::string_view aText) {
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         IsAlphanumeric(aText.front()) &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return IsAlphanumeric(aChar) || aChar == '.' || aChar == '_' ||
                  aChar == '-';
         });
}

bool IsValidLabelValue(std::string_view aText) {
  return aText.empty() || IsValidName(aText);
}

}  // namespace fescueline
