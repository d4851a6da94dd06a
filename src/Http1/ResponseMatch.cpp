#include "Http1/ResponseMatch.h"

#include "Transport/HttpMessage.h"

namespace fescueline {

namespace {
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;

bool IsSuccess(int aStatus) {
  return aStatus >= kFirstSuccess && aStatus < kFirstRedirect;
}
}  // namespace

ResponseMatch MatchResponse(const HttpHead& aHead,
                            const ResponseExpectation& aExpected) {
  bool named = false;
  for (const HttpHeader& header : aHead.headers) {
    if (!EqualHeaderName(header.name, aExpected.idField) ||
        header.value.empty()) {
      continue;
    }
    // A connection of its own is all that ties a request without an
    // identifier to its response.
    if (!aExpected.requestId.empty() && header.value != aExpected.requestId) {
      return {ResponseVerdict::Skip, ResponseFault::OtherRequest};
    }
    named = true;
  }
  const bool own =
      aExpected.exclusive || (named && !aExpected.requestId.empty());
  if (!own) {
    return {ResponseVerdict::Skip, ResponseFault::NoId};
  }
  if (IsSuccess(aHead.status) && !aExpected.signatureField.empty() &&
      !FindHeader(aHead.headers, aExpected.signatureField)) {
    return {ResponseVerdict::Reject, ResponseFault::Unsigned};
  }
  return {};
}

}  // namespace fescueline
