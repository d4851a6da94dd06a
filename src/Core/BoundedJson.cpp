#include "Core/BoundedJson.h"

#include <cmath>
#include <set>
#include <string>
#include <vector>

namespace fescueline {

using Json = nlohmann::json;

JsonError::JsonError(JsonFault aFault, std::string_view aField)
    : Error("json.decode", aField, ToName(aFault)), fault(aFault) {}

Json ParseJson(std::string_view aText, const JsonLimits& aLimits) {
  if (aText.size() > aLimits.maxBytes) {
    throw JsonError(JsonFault::TooLong, "");
  }
  /// Fields of the objects that are open.
  std::vector<std::set<std::string>> fields;
  const auto checkStructure = [&](int aDepth, Json::parse_event_t aEvent,
                                  Json& aParsed) {
    using Event = Json::parse_event_t;
    if (aDepth > aLimits.maxNesting) {
      throw JsonError(JsonFault::TooDeep, "");
    }
    if (aLimits.allowDuplicateFields) {
      return true;
    }
    if (aEvent == Event::object_start) {
      fields.emplace_back();
    } else if (aEvent == Event::object_end) {
      fields.pop_back();
    } else if (aEvent == Event::key &&
               !fields.back().insert(aParsed.get<std::string>()).second) {
      throw JsonError(JsonFault::DuplicateField, "");
    }
    return true;
  };
  try {
    return Json::parse(aText, checkStructure);
  } catch (const Json::exception&) {
    // The library's message may quote untrusted input.
    throw JsonError(JsonFault::Malformed, "");
  }
}

uint64_t WholeNumber(const Json& aValue, std::string_view aField,
                     uint64_t aMax) {
  if (!aValue.is_number_unsigned()) {
    throw JsonError(JsonFault::WrongType, aField);
  }
  const auto number = aValue.get<uint64_t>();
  if (number > aMax) {
    throw JsonError(JsonFault::OutOfRange, aField);
  }
  return number;
}

double NumberBetween(const Json& aValue, std::string_view aField, double aMin,
                     double aMax) {
  if (!aValue.is_number()) {
    throw JsonError(JsonFault::WrongType, aField);
  }
  const auto number = aValue.get<double>();
  if (!(number >= aMin && number <= aMax)) {
    throw JsonError(JsonFault::OutOfRange, aField);
  }
  return number;
}

}  // namespace fescueline
