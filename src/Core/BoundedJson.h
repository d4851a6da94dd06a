#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>

#include "Core/EnumNames.h"
#include "Core/Error.h"

namespace fescueline {

/// Why a JSON document or field was rejected.
enum class JsonFault : uint8_t {
  Malformed,
  TooLong,
  TooDeep,
  DuplicateField,
  WrongType,
  OutOfRange
};

template <>
struct EnumNames<JsonFault> {
  static constexpr std::array<EnumName<JsonFault>, 6> kNames{
      {{JsonFault::Malformed, "is not valid JSON"},
       {JsonFault::TooLong, "is too long"},
       {JsonFault::TooDeep, "is nested too deeply"},
       {JsonFault::DuplicateField, "names a field twice"},
       {JsonFault::WrongType, "has the wrong type"},
       {JsonFault::OutOfRange, "is out of range"}}};
};

/// A rejected JSON document or field.
class JsonError : public Error {
 public:
  JsonError(JsonFault aFault, std::string_view aField);

  JsonFault Fault() const { return this->fault; }

 private:
  JsonFault fault;
};

/// Limits on a JSON document from outside the process.
struct JsonLimits {
  /// Maximum size of the document in bytes.
  size_t maxBytes = size_t{4} * 1024 * 1024;
  /// Maximum nesting depth. Copying and serialising a document recurse.
  int maxNesting = 16;
  /// Whether an object may name a field twice; the last value counts.
  bool allowDuplicateFields = true;
};

/// Parses a document. Throws JsonError if it is malformed or exceeds a limit.
nlohmann::json ParseJson(std::string_view aText, const JsonLimits& aLimits);

/// A whole number in [0, aMax]. Throws JsonError with the field's name.
uint64_t WholeNumber(const nlohmann::json& aValue, std::string_view aField,
                     uint64_t aMax);
/// A number in [aMin, aMax]. Throws JsonError with the field's name.
double NumberBetween(const nlohmann::json& aValue, std::string_view aField,
                     double aMin, double aMax);

}  // namespace fescueline
