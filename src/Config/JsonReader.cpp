#include "Config/JsonReader.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "Config/ConfigError.h"
#include "Config/PolicyLabels.h"

namespace fescueline {

namespace {
// Larger than any valid record: 64 labels or 1,000 voucher names.
constexpr size_t kLargestDocument = 256UL * 1024;
// Records nest two levels; the parser's recursion must stay bounded.
constexpr int kDeepestNesting = 8;
constexpr size_t kMostLabels = 64;
constexpr size_t kLongestListItem = 255;

bool IsPrintable(std::string_view aText) {
  return std::all_of(aText.begin(), aText.end(),
                     [](char aChar) { return aChar >= ' ' && aChar <= '~'; });
}

std::string TextOf(const nlohmann::json& aValue, std::string_view aField,
                   size_t aLongest) {
  if (!aValue.is_string()) {
    throw ConfigError(aField, "must be a string");
  }
  auto text = aValue.get<std::string>();
  if (text.size() > aLongest) {
    throw ConfigError(aField,
                      fmt::format("must be at most {} characters", aLongest));
  }
  if (!IsPrintable(text)) {
    throw ConfigError(aField, "must be printable ASCII characters");
  }
  return text;
}
}  // namespace

JsonReader::JsonReader(std::string_view aText) {
  if (aText.size() > kLargestDocument) {
    throw ConfigError("", fmt::format("the record must be at most {} bytes",
                                      kLargestDocument));
  }
  std::vector<std::set<std::string>> keys;
  const auto checkStructure = [&](int aDepth,
                                  nlohmann::json::parse_event_t aEvent,
                                  nlohmann::json& aParsed) {
    using Event = nlohmann::json::parse_event_t;
    if (aDepth > kDeepestNesting) {
      throw ConfigError("", "the record is nested too deeply");
    }
    if (aEvent == Event::object_start) {
      keys.emplace_back();
    } else if (aEvent == Event::object_end) {
      keys.pop_back();
    } else if (aEvent == Event::key &&
               !keys.back().insert(aParsed.get<std::string>()).second) {
      throw ConfigError("", "the record names a field twice");
    }
    return true;
  };
  try {
    this->object = nlohmann::json::parse(aText, checkStructure);
  } catch (const nlohmann::json::exception&) {
    // The library's message may repeat hostile input.
    throw ConfigError("", "the record is not valid JSON");
  }
  if (!this->object.is_object()) {
    throw ConfigError("", "the record must be a JSON object");
  }
}

const nlohmann::json* JsonReader::Find(std::string_view aField) {
  const auto position = this->object.find(aField);
  if (position == this->object.end()) {
    return nullptr;
  }
  this->seen.emplace(aField);
  return &*position;
}

const nlohmann::json& JsonReader::Require(std::string_view aField) {
  const nlohmann::json* value = this->Find(aField);
  if (value == nullptr) {
    throw ConfigError(aField, "is missing");
  }
  return *value;
}

double JsonReader::Number(std::string_view aField, double aLow, double aHigh) {
  const nlohmann::json& value = this->Require(aField);
  const double number = value.is_number() ? value.get<double>() : NAN;
  if (!(number >= aLow && number <= aHigh)) {
    throw ConfigError(
        aField, fmt::format("must be a number from {} to {}", aLow, aHigh));
  }
  return number;
}

uint64_t JsonReader::Integer(std::string_view aField, uint64_t aLow,
                             uint64_t aHigh) {
  const nlohmann::json& value = this->Require(aField);
  if (!value.is_number_unsigned() || value.get<uint64_t>() < aLow ||
      value.get<uint64_t>() > aHigh) {
    throw ConfigError(
        aField,
        fmt::format("must be a whole number from {} to {}", aLow, aHigh));
  }
  return value.get<uint64_t>();
}

std::string JsonReader::Text(std::string_view aField, size_t aLongest) {
  return TextOf(this->Require(aField), aField, aLongest);
}

std::string JsonReader::Name(std::string_view aField) {
  const nlohmann::json& value = this->Require(aField);
  if (!value.is_string() || !IsValidName(value.get_ref<const std::string&>())) {
    throw ConfigError(aField, kNameRule);
  }
  return value.get<std::string>();
}

std::string JsonReader::OptionalName(std::string_view aField) {
  return this->object.contains(aField) ? this->Name(aField) : std::string();
}

std::vector<std::string> JsonReader::Texts(std::string_view aField,
                                           size_t aMost) {
  std::vector<std::string> texts;
  const nlohmann::json* list = this->Find(aField);
  if (list == nullptr) {
    return texts;
  }
  if (!list->is_array() || list->size() > aMost) {
    throw ConfigError(
        aField, fmt::format("must be a list of at most {} strings", aMost));
  }
  for (size_t index = 0; index < list->size(); ++index) {
    texts.push_back(TextOf((*list)[index], fmt::format("{}[{}]", aField, index),
                           kLongestListItem));
  }
  return texts;
}

LabelSet JsonReader::Labels(std::string_view aField) {
  LabelSet labels;
  const nlohmann::json* list = this->Find(aField);
  if (list == nullptr) {
    return labels;
  }
  if (!list->is_object() || list->size() > kMostLabels) {
    throw ConfigError(
        aField,
        fmt::format("must be an object of at most {} labels", kMostLabels));
  }
  for (const auto& [name, value] : list->items()) {
    if (!value.is_string()) {
      throw ConfigError(IsValidName(name) ? fmt::format("{}.{}", aField, name)
                                          : std::string(aField),
                        "must be a string");
    }
    CheckLabel(Label{.name = name, .value = value.get<std::string>()});
    labels.Set(name, value.get_ref<const std::string&>());
  }
  return labels;
}

void JsonReader::Finish(UnknownFields aUnknown) const {
  if (aUnknown == UnknownFields::Ignore) {
    return;
  }
  for (const auto& [name, value] : this->object.items()) {
    if (!this->seen.contains(name)) {
      throw ConfigError(IsValidName(name) ? name : std::string(),
                        "unknown field");
    }
  }
}

}  // namespace fescueline
