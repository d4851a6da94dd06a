#include "Platform/TableCodec.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "Core/BoundedJson.h"

namespace fescueline {

namespace {

using Json = nlohmann::json;

constexpr JsonLimits kTableLimits{.maxBytes = size_t{64} * 1024 * 1024};

std::string Dump(const Json& aJson) {
  try {
    return aJson.dump();
  } catch (const Json::exception& error) {
    throw TableFormatError(error.what());
  }
}

Json Parse(std::string_view aText) {
  try {
    return ParseJson(aText, kTableLimits);
  } catch (const JsonError& error) {
    throw TableFormatError(error.what());
  }
}

const Json& Field(const Json& aObject, const char* aName) {
  if (!aObject.is_object()) {
    throw TableFormatError("expected an object");
  }
  const auto found = aObject.find(aName);
  if (found == aObject.end()) {
    throw TableFormatError(fmt::format("field \"{}\" is missing", aName));
  }
  return *found;
}

std::string Text(const Json& aObject, const char* aName) {
  const Json& field = Field(aObject, aName);
  if (!field.is_string()) {
    throw TableFormatError(fmt::format("field \"{}\" is not a string", aName));
  }
  return field.get<std::string>();
}

uint64_t Number(const Json& aObject, const char* aName) {
  const Json& field = Field(aObject, aName);
  if (!field.is_number_unsigned()) {
    throw TableFormatError(
        fmt::format("field \"{}\" is not an unsigned integer", aName));
  }
  return field.get<uint64_t>();
}

bool Flag(const Json& aObject, const char* aName) {
  const Json& field = Field(aObject, aName);
  if (!field.is_boolean()) {
    throw TableFormatError(fmt::format("field \"{}\" is not a boolean", aName));
  }
  return field.get<bool>();
}

const Json& Array(const Json& aObject, const char* aName) {
  const Json& field = Field(aObject, aName);
  if (!field.is_array()) {
    throw TableFormatError(fmt::format("field \"{}\" is not an array", aName));
  }
  return field;
}

Json ToJson(const TableRecord& aRecord) {
  return {{"key", aRecord.key},
          {"value", aRecord.value},
          {"version", aRecord.version},
          {"deleted", aRecord.deleted}};
}

TableRecord ToRecord(const Json& aJson) {
  return {.key = Text(aJson, "key"),
          .value = Text(aJson, "value"),
          .version = Number(aJson, "version"),
          .deleted = Flag(aJson, "deleted")};
}

Json ToJson(const std::vector<TableRecord>& aRecords) {
  Json list = Json::array();
  for (const TableRecord& record : aRecords) {
    list.push_back(ToJson(record));
  }
  return list;
}

std::vector<TableRecord> ToRecords(const Json& aObject) {
  std::vector<TableRecord> records;
  for (const Json& record : Array(aObject, "records")) {
    records.push_back(ToRecord(record));
  }
  return records;
}

TableWrite ToWrite(const Json& aJson) {
  TableWrite write{.key = Text(aJson, "key")};
  if (!Field(aJson, "value").is_null()) {
    write.value = Text(aJson, "value");
  }
  return write;
}

}  // namespace

std::string TableCodec::Encode(const TableTransaction& aTransaction) {
  Json checks = Json::array();
  for (const TableCheck& check : aTransaction.checks) {
    checks.push_back({{"key", check.key}, {"version", check.version}});
  }
  Json writes = Json::array();
  for (const TableWrite& write : aTransaction.writes) {
    writes.push_back(
        {{"key", write.key},
         {"value", write.value ? Json(*write.value) : Json(nullptr)}});
  }
  return Dump({{"token", aTransaction.token},
               {"checks", std::move(checks)},
               {"writes", std::move(writes)}});
}

std::string TableCodec::Encode(const TransactResult& aResult) {
  return Dump({{"status", ToName(aResult.status)},
               {"version", aResult.version},
               {"conflict_key", aResult.conflictKey},
               {"conflict_version", aResult.conflictVersion}});
}

std::string TableCodec::Encode(const TableChanges& aChanges) {
  return Dump({{"version", aChanges.version},
               {"records", ToJson(aChanges.records)},
               {"more", aChanges.more}});
}

std::string TableCodec::Encode(const TableRecord& aRecord) {
  return Dump(ToJson(aRecord));
}

std::string TableCodec::Encode(const std::vector<TableRecord>& aRecords) {
  return Dump({{"records", ToJson(aRecords)}});
}

TableTransaction TableCodec::DecodeTransaction(std::string_view aText) {
  const Json json = Parse(aText);
  TableTransaction transaction{
      .token = Text(json, "token"), .checks = {}, .writes = {}};
  for (const Json& check : Array(json, "checks")) {
    transaction.checks.push_back(
        {.key = Text(check, "key"), .version = Number(check, "version")});
  }
  for (const Json& write : Array(json, "writes")) {
    transaction.writes.push_back(ToWrite(write));
  }
  return transaction;
}

TransactResult TableCodec::DecodeResult(std::string_view aText) {
  const Json json = Parse(aText);
  const auto status = FromName<TransactStatus>(Text(json, "status"));
  if (!status.has_value()) {
    throw TableFormatError("field \"status\" has an unknown value");
  }
  return {.status = *status,
          .version = Number(json, "version"),
          .conflictKey = Text(json, "conflict_key"),
          .conflictVersion = Number(json, "conflict_version")};
}

TableChanges TableCodec::DecodeChanges(std::string_view aText,
                                       uint64_t aSince) {
  const Json json = Parse(aText);
  TableChanges changes{.version = Number(json, "version"),
                       .records = ToRecords(json),
                       .more = Flag(json, "more")};
  uint64_t last = aSince + 1;
  for (const TableRecord& record : changes.records) {
    if (record.version < last || record.version > changes.version) {
      throw TableFormatError(
          fmt::format("record \"{}\" has version {} out of order", record.key,
                      record.version));
    }
    last = record.version;
  }
  if (changes.more && changes.version <= aSince) {
    throw TableFormatError(
        "more changes are announced without a later version");
  }
  return changes;
}

TableRecord TableCodec::DecodeRecord(std::string_view aText) {
  return ToRecord(Parse(aText));
}

std::vector<TableRecord> TableCodec::DecodeRecords(std::string_view aText) {
  return ToRecords(Parse(aText));
}

}  // namespace fescueline
