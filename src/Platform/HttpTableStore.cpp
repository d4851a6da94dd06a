#include "Platform/HttpTableStore.h"

#include <fmt/format.h>

#include <utility>

#include "Platform/TableCodec.h"

namespace fescueline {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kFirstRejectedStatus = 300;

constexpr std::string_view kTransact = "table.transact";
constexpr std::string_view kChanges = "table.changes";
constexpr std::string_view kGet = "table.get";
constexpr std::string_view kList = "table.list";

/// Runs a conversion and turns TableFormatError into PlatformError.
template <typename F>
auto Convert(const HttpSession& aSession, Failure aFailure,
             std::string_view aStep, F aConversion) {
  try {
    return aConversion();
  } catch (const TableFormatError& error) {
    throw aSession.MakeError(aFailure, aStep, error.what());
  }
}

}  // namespace

HttpTableStore::HttpTableStore(const Options& aOptions)
    : session(aOptions.http),
      root("/v1/tables/" + PercentEncode(aOptions.table)) {}

TransactResult HttpTableStore::Transact(const TableTransaction& aTransaction) {
  HttpCall call{.step = kTransact,
                .verb = HttpVerb::Post,
                .path = this->root + "/transact",
                .headers = {"Content-Type: application/json"}};
  call.body = Convert(this->session, Failure::Unavailable, kTransact,
                      [&] { return TableCodec::Encode(aTransaction); });
  const HttpReply reply = this->session.Perform(call);
  if (reply.status != kOk) {
    // The server writes nothing before it sends a status from 300 to 499.
    const bool rejected = reply.status >= kFirstRejectedStatus;
    throw this->session.MakeError(
        rejected ? Failure::Unavailable : Failure::OutcomeUnknown, kTransact,
        fmt::format("HTTP status {}", reply.status));
  }
  return Convert(this->session, Failure::OutcomeUnknown, kTransact,
                 [&] { return TableCodec::DecodeResult(reply.body); });
}

std::string HttpTableStore::Read(std::string_view aStep, std::string aPath) {
  HttpReply reply =
      this->session.Perform({.step = aStep, .path = std::move(aPath)});
  if (reply.status != kOk) {
    throw this->session.MakeError(Failure::Unavailable, aStep,
                                  fmt::format("HTTP status {}", reply.status));
  }
  return std::move(reply.body);
}

TableChanges HttpTableStore::ChangesSince(uint64_t aVersion, size_t aLimit) {
  const std::string body =
      this->Read(kChanges, fmt::format("{}/changes?since={}&limit={}",
                                       this->root, aVersion, aLimit));
  return Convert(this->session, Failure::Unavailable, kChanges,
                 [&] { return TableCodec::DecodeChanges(body, aVersion); });
}

std::optional<TableRecord> HttpTableStore::Get(const std::string& aKey) {
  const HttpReply reply = this->session.Perform(
      {.step = kGet, .path = this->root + "/records/" + PercentEncode(aKey)});
  if (reply.status == kNotFound) {
    return std::nullopt;
  }
  if (reply.status != kOk) {
    throw this->session.MakeError(Failure::Unavailable, kGet,
                                  fmt::format("HTTP status {}", reply.status));
  }
  return Convert(this->session, Failure::Unavailable, kGet, [&] {
    TableRecord record = TableCodec::DecodeRecord(reply.body);
    if (record.key != aKey) {
      throw TableFormatError("the response contains the record of another key");
    }
    return std::make_optional(std::move(record));
  });
}

std::vector<TableRecord> HttpTableStore::List(const std::string& aPrefix) {
  const std::string body = this->Read(
      kList, this->root + "/records?prefix=" + PercentEncode(aPrefix));
  return Convert(this->session, Failure::Unavailable, kList,
                 [&] { return TableCodec::DecodeRecords(body); });
}

}  // namespace fescueline
