#include "Node/Headers.h"

#include <algorithm>
#include <array>

namespace fescueline {

namespace {
constexpr std::array<std::string_view, 3> kKeyHeaders = {
    "authorization", "proxy-authorization", kKeyHeader};

void StripProjectHeaders(HttpHeaders& aHeaders) {
  std::erase_if(aHeaders, [](const HttpHeader& aHeader) {
    return aHeader.name.size() >= kHeaderPrefix.size() &&
           EqualHeaderName(
               std::string_view(aHeader.name).substr(0, kHeaderPrefix.size()),
               kHeaderPrefix);
  });
}
}  // namespace

HttpHeaders FromWire(const std::vector<HeaderWire>& aHeaders) {
  HttpHeaders headers;
  headers.reserve(aHeaders.size());
  for (const HeaderWire& header : aHeaders) {
    headers.push_back({header.name, header.value});
  }
  return headers;
}

std::vector<HeaderWire> ToWire(const HttpHeaders& aHeaders) {
  std::vector<HeaderWire> headers;
  headers.reserve(aHeaders.size());
  for (const HttpHeader& header : aHeaders) {
    headers.push_back({header.name, header.value});
  }
  return headers;
}

void StripForTarget(HttpHeaders& aHeaders) {
  RemoveHopByHopHeaders(aHeaders);
  for (std::string_view name : kKeyHeaders) {
    RemoveHeader(aHeaders, name);
  }
  RemoveHeader(aHeaders, "expect");
  StripProjectHeaders(aHeaders);
}

void StripForCaller(HttpHeaders& aHeaders) {
  RemoveHopByHopHeaders(aHeaders);
  StripProjectHeaders(aHeaders);
}

void AddAttemptHeaders(HttpHeaders& aHeaders, const RunningAttempt& aAttempt,
                       TimePoint aNow, std::string_view aSecret) {
  RequestContext context = aAttempt.Context();
  context.remaining = std::max(Duration(0), aAttempt.Deadline() - aNow);
  // The target needs no key; its calls refer to the attempt.
  context.keyHash.clear();
  aHeaders.push_back(
      {std::string(kContextHeader), SignContext(context, aSecret)});
  aHeaders.push_back(
      {std::string(kAttemptHeader), context.attemptId.ToString()});
  aHeaders.push_back({std::string(kOrganisationHeader), context.organisation});
  aHeaders.push_back(
      {std::string(kDeadlineHeader),
       std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                          context.remaining)
                          .count())});
}

}  // namespace fescueline
