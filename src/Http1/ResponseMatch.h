#pragma once

#include <cstdint>
#include <string_view>

#include "Http1/HttpReader.h"
#include "Http1/ResponseFault.h"

namespace fescueline {

/// What becomes of a response.
enum class ResponseVerdict : uint8_t {
  /// It answers the request in progress.
  Accept,
  /// It answers something else; the request's own may follow.
  Skip,
  /// It is broken, and its connection with it.
  Reject
};

/// What ties a response to a request.
struct ResponseExpectation {
  /// Header field that echoes the identifier of the request.
  std::string_view idField;
  /// Header field that every success has; empty if there is none.
  std::string_view signatureField;
  /// Identifier of the request; empty if it has none.
  std::string_view requestId;
  /// Whether a response can only answer this request, as the connection has
  /// carried nothing else.
  bool exclusive = false;
};

/// Verdict on a response, and why it is not accepted.
struct ResponseMatch {
  ResponseVerdict verdict = ResponseVerdict::Accept;
  ResponseFault fault = ResponseFault::None;
};

/// Judges a response by its head. One that may answer an earlier request is
/// never accepted. No state.
ResponseMatch MatchResponse(const HttpHead& aHead,
                            const ResponseExpectation& aExpected);

}  // namespace fescueline
