#include "StandInService.h"

#include <charconv>
#include <limits>

#include "Core/Error.h"
#include "Platform/HttpSession.h"
#include "Platform/TableCodec.h"

namespace fescueline {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

constexpr std::string_view kControl = "/control";
constexpr std::string_view kStats = "/control/stats";
constexpr std::string_view kTables = "/v1/tables/";
constexpr std::string_view kObjects = "/v1/objects/";
constexpr std::string_view kRecords = "records/";

std::string Decode(std::string_view aText) {
  std::optional<std::string> decoded = PercentDecode(aText);
  if (!decoded.has_value()) {
    throw Error("stand-in.request", "", "malformed percent-encoding");
  }
  return std::move(*decoded);
}

/// Decoded value of a query parameter; empty if it is absent.
std::string Parameter(std::string_view aQuery, std::string_view aName) {
  while (!aQuery.empty()) {
    const std::string_view pair = aQuery.substr(0, aQuery.find('&'));
    aQuery.remove_prefix(std::min(aQuery.size(), pair.size() + 1));
    const size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == aName) {
      return Decode(pair.substr(equals + 1));
    }
  }
  return {};
}

uint64_t NumericParameter(std::string_view aQuery, std::string_view aName) {
  const std::string text = Parameter(aQuery, aName);
  uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw Error("stand-in.request", "", "malformed number in the query");
  }
  return value;
}

}  // namespace

bool StandInService::IsControl(const StandInRequest& aRequest) {
  return aRequest.path == kControl || aRequest.path == kStats;
}

StandInResponse StandInService::Serve(const StandInRequest& aRequest,
                                      TimePoint aNow) {
  try {
    if (IsControl(aRequest)) {
      return this->ServeControl(aRequest);
    }
    const bool write = aRequest.method != "GET";
    if (this->faults.down) {
      ++this->stats.refused;
      return {.status = kServiceUnavailable};
    }
    if (!(write ? this->faults.writes : this->faults.reads).Admit(aNow)) {
      ++this->stats.throttled;
      return {.status = kTooManyRequests};
    }
    if (write && this->faults.loseRequests > 0) {
      --this->faults.loseRequests;
      ++this->stats.requestsLost;
      return {.lost = true};
    }
    StandInResponse response = this->ServePlatform(aRequest);
    if (write && this->faults.loseResponses > 0) {
      --this->faults.loseResponses;
      ++this->stats.responsesLost;
      response.lost = true;
    }
    return response;
  } catch (const Error& error) {
    ++this->stats.rejected;
    return {.status = kBadRequest, .body = error.what()};
  }
}

StandInResponse StandInService::ServeControl(const StandInRequest& aRequest) {
  if (aRequest.path == kStats && aRequest.method == "GET") {
    return {.body = this->stats.ToJson()};
  }
  if (aRequest.path == kControl && aRequest.method == "POST") {
    this->faults.Apply(aRequest.body);
    return {.body = "{}"};
  }
  return {.status = kNotFound};
}

StandInResponse StandInService::ServePlatform(const StandInRequest& aRequest) {
  std::string_view path = aRequest.path;
  if (path.starts_with(kObjects)) {
    return this->ServeObject(Decode(path.substr(kObjects.size())), aRequest);
  }
  if (!path.starts_with(kTables)) {
    return {.status = kNotFound};
  }
  path.remove_prefix(kTables.size());
  const size_t slash = path.find('/');
  if (slash == std::string_view::npos) {
    return {.status = kNotFound};
  }
  return this->ServeTable(this->tables[Decode(path.substr(0, slash))],
                          path.substr(slash + 1), aRequest);
}

StandInResponse StandInService::ServeTable(MemoryTableStore& aTable,
                                           std::string_view aRest,
                                           const StandInRequest& aRequest) {
  if (aRequest.method == "POST" && aRest == "transact") {
    return this->Transact(aTable, aRequest.body);
  }
  if (aRequest.method != "GET") {
    return {.status = kNotFound};
  }
  ++this->stats.reads;
  if (aRest == "changes") {
    return {.body = TableCodec::Encode(aTable.ChangesSince(
                NumericParameter(aRequest.query, "since"),
                NumericParameter(aRequest.query, "limit")))};
  }
  if (aRest == "records") {
    return {.body = TableCodec::Encode(
                aTable.List(Parameter(aRequest.query, "prefix")))};
  }
  if (aRest.starts_with(kRecords)) {
    const auto record = aTable.Get(Decode(aRest.substr(kRecords.size())));
    if (record.has_value()) {
      return {.body = TableCodec::Encode(*record)};
    }
  }
  return {.status = kNotFound};
}

StandInResponse StandInService::Transact(MemoryTableStore& aTable,
                                         const std::string& aBody) {
  const TransactResult result =
      aTable.Transact(TableCodec::DecodeTransaction(aBody));
  ++this->stats.writes;
  if (result.status == TransactStatus::Conflict) {
    ++this->stats.conflicts;
  }
  return {.body = TableCodec::Encode(result)};
}

StandInResponse StandInService::ServeObject(const std::string& aKey,
                                            const StandInRequest& aRequest) {
  if (aRequest.method == "GET") {
    ++this->stats.reads;
    auto object = this->objects.Get(aKey);
    if (!object.has_value()) {
      return {.status = kNotFound};
    }
    return {.body = std::move(object->bytes), .tag = std::move(object->tag)};
  }
  if (aRequest.method != "PUT") {
    return {.status = kNotFound};
  }
  ++this->stats.writes;
  PutResult result = this->objects.Put(
      aKey, aRequest.body,
      {.matchTag = aRequest.ifMatch, .mustNotExist = aRequest.ifNoneMatch});
  if (result.status == PutStatus::ConditionFailed) {
    ++this->stats.conflicts;
    return {.status = kPreconditionFailed};
  }
  return {.tag = std::move(result.tag)};
}

}  // namespace fescueline
