#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Config/LabelSet.h"

namespace fescueline {

/// What to do with fields that a record does not have.
enum class UnknownFields : uint8_t {
  /// For records from the table, which a newer version may have written.
  Ignore,
  /// For an operator's input, where an unknown field is a mistake.
  Refuse
};

/// Reads the typed fields of one JSON object. Every method throws ConfigError
/// with the field's name. One thread at a time.
class JsonReader {
 public:
  /// Parses the text, which must be one object of bounded size and depth.
  explicit JsonReader(std::string_view aText);

  /// A finite number in [aLow, aHigh].
  double Number(std::string_view aField, double aLow, double aHigh);
  /// A whole number in [aLow, aHigh].
  uint64_t Integer(std::string_view aField, uint64_t aLow, uint64_t aHigh);
  /// Printable ASCII text of at most aLongest characters.
  std::string Text(std::string_view aField, size_t aLongest);
  /// A valid name.
  std::string Name(std::string_view aField);
  /// Like Name, but the field may be missing; then the result is empty.
  std::string OptionalName(std::string_view aField);
  /// A list of at most aMost texts; a missing field is an empty list.
  std::vector<std::string> Texts(std::string_view aField, size_t aMost);
  /// An object of labels; a missing field is an empty set.
  LabelSet Labels(std::string_view aField);
  /// Refuses fields that were not read, if asked to.
  void Finish(UnknownFields aUnknown) const;

 private:
  /// The field, or null if it is missing.
  const nlohmann::json* Find(std::string_view aField);
  /// The field; throws if it is missing.
  const nlohmann::json& Require(std::string_view aField);

  /// The parsed object.
  nlohmann::json object;
  /// Fields that were read.
  std::set<std::string, std::less<>> seen;
};

}  // namespace fescueline
