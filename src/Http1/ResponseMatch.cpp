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
  bool hasRequestId = false;
  for (const HttpHeader& header : aHead.headers) {
    if (!EqualHeaderName(header.name, aExpected.idField) ||
        header.value.empty()) {
      continue;
    }
    // Without a request id, only an exclusive connection ties a response to
    // its request.
    if (!aExpected.requestId.empty() && header.value != aExpected.requestId) {
      return {ResponseVerdict::Skip, ResponseFault::OtherRequest};
    }
    hasRequestId = true;
  }
  const bool isOwn =
      aExpected.exclusive || (hasRequestId && !aExpected.requestId.empty());
  if (!isOwn) {
    return {ResponseVerdict::Skip, ResponseFault::NoId};
  }
  if (IsSuccess(aHead.status) && !aExpected.signatureField.empty() &&
      !FindHeader(aHead.headers, aExpected.signatureField)) {
    return {ResponseVerdict::Reject, ResponseFault::Unsigned};
  }
  return {};
}

}  // namespace fescueline
