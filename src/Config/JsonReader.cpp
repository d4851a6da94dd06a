#include "Config/JsonReader.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "Config/ConfigError.h"
#include "Config/PolicyLabels.h"
#include "Core/BoundedJson.h"

namespace fescueline {

namespace {
// Above the size of any valid record: 64 labels or 1,000 voucher names. Records
// nest two levels.
constexpr JsonLimits kRecordLimits{.maxBytes = size_t{256} * 1024,
                                   .maxNesting = 8,
                                   .allowDuplicateFields = false};
constexpr size_t kMaxLabels = 64;
constexpr size_t kMaxListItemLength = 255;

bool IsPrintable(std::string_view aText) {
  return std::all_of(aText.begin(), aText.end(),
                     [](char aChar) { return aChar >= ' ' && aChar <= '~'; });
}

std::string TextOf(const nlohmann::json& aValue, std::string_view aField,
                   size_t aMaxLength) {
  if (!aValue.is_string()) {
    throw ConfigError(aField, "must be a string");
  }
  auto text = aValue.get<std::string>();
  if (text.size() > aMaxLength) {
    throw ConfigError(aField,
                      fmt::format("must be at most {} characters", aMaxLength));
  }
  if (!IsPrintable(text)) {
    throw ConfigError(aField, "must be printable ASCII characters");
  }
  return text;
}
}  // namespace

JsonReader::JsonReader(std::string_view aText) {
  if (aText.size() > kRecordLimits.maxBytes) {
    throw ConfigError("", fmt::format("the record must be at most {} bytes",
                                      kRecordLimits.maxBytes));
  }
  try {
    this->object = ParseJson(aText, kRecordLimits);
  } catch (const JsonError& failure) {
    throw ConfigError("",
                      fmt::format("the record {}", ToName(failure.Fault())));
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
  this->readFields.emplace(aField);
  return &*position;
}

const nlohmann::json& JsonReader::Require(std::string_view aField) {
  const nlohmann::json* value = this->Find(aField);
  if (value == nullptr) {
    throw ConfigError(aField, "is missing");
  }
  return *value;
}

double JsonReader::Number(std::string_view aField, double aMin, double aMax) {
  const nlohmann::json& value = this->Require(aField);
  const double number = value.is_number() ? value.get<double>() : NAN;
  if (!(number >= aMin && number <= aMax)) {
    throw ConfigError(
        aField, fmt::format("must be a number from {} to {}", aMin, aMax));
  }
  return number;
}

uint64_t JsonReader::Integer(std::string_view aField, uint64_t aMin,
                             uint64_t aMax) {
  const nlohmann::json& value = this->Require(aField);
  if (!value.is_number_unsigned() || value.get<uint64_t>() < aMin ||
      value.get<uint64_t>() > aMax) {
    throw ConfigError(
        aField,
        fmt::format("must be a whole number from {} to {}", aMin, aMax));
  }
  return value.get<uint64_t>();
}

std::string JsonReader::Text(std::string_view aField, size_t aMaxLength) {
  return TextOf(this->Require(aField), aField, aMaxLength);
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

std::vector<std::string> JsonReader::TextList(std::string_view aField,
                                              size_t aMaxCount) {
  std::vector<std::string> texts;
  const nlohmann::json* list = this->Find(aField);
  if (list == nullptr) {
    return texts;
  }
  if (!list->is_array() || list->size() > aMaxCount) {
    throw ConfigError(
        aField, fmt::format("must be a list of at most {} strings", aMaxCount));
  }
  for (size_t index = 0; index < list->size(); ++index) {
    texts.push_back(TextOf((*list)[index], fmt::format("{}[{}]", aField, index),
                           kMaxListItemLength));
  }
  return texts;
}

LabelSet JsonReader::Labels(std::string_view aField) {
  LabelSet labels;
  const nlohmann::json* list = this->Find(aField);
  if (list == nullptr) {
    return labels;
  }
  if (!list->is_object() || list->size() > kMaxLabels) {
    throw ConfigError(
        aField,
        fmt::format("must be an object of at most {} labels", kMaxLabels));
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

void JsonReader::CheckUnknownFields(UnknownFields aUnknown) const {
  if (aUnknown == UnknownFields::Ignore) {
    return;
  }
  for (const auto& [name, value] : this->object.items()) {
    if (!this->readFields.contains(name)) {
      throw ConfigError(IsValidName(name) ? name : std::string(),
                        "unknown field");
    }
  }
}

}  // namespace fescueline
