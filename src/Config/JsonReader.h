#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Config/LabelSet.h"

namespace fescueline {

/// Handling of fields that the record type does not define.
enum class UnknownFields : uint8_t {
  /// For records from the table, which a newer version may have written.
  Ignore,
  /// For an operator's input, where an unknown field is a mistake.
  Refuse
};

/// Reads the typed fields of one JSON object. Every method throws ConfigError
/// with the field's name. Not thread-safe.
class JsonReader {
 public:
  /// Parses the text, which must be one object of bounded size and depth.
  explicit JsonReader(std::string_view aText);

  /// A finite number in [aMin, aMax].
  double Number(std::string_view aField, double aMin, double aMax);
  /// A whole number in [aMin, aMax].
  uint64_t Integer(std::string_view aField, uint64_t aMin, uint64_t aMax);
  /// Printable ASCII text of at most aMaxLength characters.
  std::string Text(std::string_view aField, size_t aMaxLength);
  /// A valid name.
  std::string Name(std::string_view aField);
  /// Like Name, but the field may be missing; then the result is empty.
  std::string OptionalName(std::string_view aField);
  /// A list of at most aMaxCount strings; a missing field is an empty list.
  std::vector<std::string> TextList(std::string_view aField, size_t aMaxCount);
  /// An object of labels; a missing field is an empty set.
  LabelSet Labels(std::string_view aField);
  /// Throws for the first field that was not read, unless aUnknown is Ignore.
  void CheckUnknownFields(UnknownFields aUnknown) const;

 private:
  /// The field, or null if it is missing.
  const nlohmann::json* Find(std::string_view aField);
  /// The field; throws if it is missing.
  const nlohmann::json& Require(std::string_view aField);

  nlohmann::json object;
  std::set<std::string, std::less<>> readFields;
};

}  // namespace fescueline
