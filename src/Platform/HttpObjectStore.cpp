#include "Platform/HttpObjectStore.h"

#include <fmt/format.h>

#include <utility>

namespace fescueline {

namespace {

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kNoContent = 204;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;
constexpr int kFirstRejectedStatus = 300;

constexpr std::string_view kGet = "object.get";
constexpr std::string_view kPut = "object.put";

std::string PathOf(const std::string& aKey) {
  return "/v1/objects/" + PercentEncode(aKey);
}

bool IsStored(int aStatus) {
  return aStatus == kOk || aStatus == kCreated || aStatus == kNoContent;
}

}  // namespace

std::optional<StoredObject> HttpObjectStore::Get(const std::string& aKey) {
  HttpReply reply = this->session.Perform({.step = kGet, .path = PathOf(aKey)});
  if (reply.status == kNotFound) {
    return std::nullopt;
  }
  if (reply.status != kOk || reply.tag.empty()) {
    throw this->session.MakeError(
        Failure::Unavailable, kGet,
        fmt::format("HTTP status {}{}", reply.status,
                    reply.tag.empty() ? " without an entity tag" : ""));
  }
  return StoredObject{.bytes = std::move(reply.body),
                      .tag = std::move(reply.tag)};
}

PutResult HttpObjectStore::Put(const std::string& aKey,
                               const std::string& aBytes,
                               const PutCondition& aCondition) {
  HttpCall call{.step = kPut,
                .verb = HttpVerb::Put,
                .path = PathOf(aKey),
                .headers = {"Content-Type: application/octet-stream"},
                .body = aBytes};
  if (aCondition.matchTag.has_value()) {
    call.headers.push_back(
        fmt::format("If-Match: \"{}\"", *aCondition.matchTag));
  }
  if (aCondition.mustNotExist) {
    call.headers.emplace_back("If-None-Match: *");
  }
  HttpReply reply = this->session.Perform(call);
  if (reply.status == kPreconditionFailed) {
    return PutResult{.status = PutStatus::ConditionFailed, .tag = {}};
  }
  if (!IsStored(reply.status) || reply.tag.empty()) {
    const bool rejected = reply.status >= kFirstRejectedStatus;
    throw this->session.MakeError(
        rejected ? Failure::Unavailable : Failure::OutcomeUnknown, kPut,
        fmt::format("HTTP status {}", reply.status));
  }
  return PutResult{.status = PutStatus::Stored, .tag = std::move(reply.tag)};
}

}  // namespace fescueline
