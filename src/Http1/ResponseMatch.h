#pragma once

#include <cstdint>
#include <string_view>

#include "Http1/HttpReader.h"
#include "Http1/ResponseFault.h"

namespace fescueline {

/// How a response is handled.
enum class ResponseVerdict : uint8_t {
  /// It belongs to the request in progress.
  Accept,
  /// It may belong to another request; the expected response may follow.
  Skip,
  /// It is invalid, and the connection must be closed.
  Reject
};

/// Properties by which a response is matched to its request.
struct ResponseExpectation {
  /// Header field that echoes the request id.
  std::string_view idField;
  /// Header field that every success response has; empty if there is none.
  std::string_view signatureField;
  /// Empty if the request has no id.
  std::string_view requestId;
  /// Whether a response can only belong to this request, since no other request
  /// was sent on the connection.
  bool exclusive = false;
};

/// Verdict on a response; `fault` says why it was not accepted.
struct ResponseMatch {
  ResponseVerdict verdict = ResponseVerdict::Accept;
  ResponseFault fault = ResponseFault::None;
};

/// Decides by its head whether a response belongs to the request. One that may
/// belong to an earlier request is never accepted.
ResponseMatch MatchResponse(const HttpHead& aHead,
                            const ResponseExpectation& aExpected);

}  // namespace fescueline
