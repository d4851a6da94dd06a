#include <doctest/doctest.h>

#include <vector>

#include "Http1/ResponseMatch.h"

using namespace fescueline;

namespace {

struct Case {
  const char* what;
  std::string_view requestId;
  bool exclusive;
  int status;
  HttpHeaders headers;
  ResponseVerdict verdict;
  ResponseFault fault;
};

}  // namespace

// Guards against accepting a response that may belong to another request.
TEST_CASE("a response is accepted only if it belongs to the request") {
  using enum ResponseVerdict;
  using Fault = ResponseFault;
  const HttpHeader own{"ID", "a"};
  const HttpHeader other{"id", "b"};
  const HttpHeader none{"Id", ""};
  const HttpHeader sign{"Sign", "s"};
  for (const Case& row : std::vector<Case>{
           {"own", "a", true, 200, {own, sign}, Accept, Fault::None},
           {"own, reused", "a", false, 200, {own, sign}, Accept, Fault::None},
           {"own refusal", "a", false, 503, {own}, Accept, Fault::None},
           {"other", "a", true, 200, {other, sign}, Skip, Fault::OtherRequest},
           {"other refusal",
            "a",
            false,
            503,
            {other},
            Skip,
            Fault::OtherRequest},
           {"own and other",
            "a",
            false,
            200,
            {own, other, sign},
            Skip,
            Fault::OtherRequest},
           {"without id, exclusive", "a", true, 503, {}, Accept, Fault::None},
           {"success without id, exclusive",
            "a",
            true,
            200,
            {sign},
            Accept,
            Fault::None},
           {"without id, reused", "a", false, 200, {sign}, Skip, Fault::NoId},
           {"refusal without id, reused",
            "a",
            false,
            503,
            {},
            Skip,
            Fault::NoId},
           {"misdirected, reused", "a", false, 421, {}, Skip, Fault::NoId},
           {"bad request, reused", "a", false, 400, {}, Skip, Fault::NoId},
           {"empty id, reused",
            "a",
            false,
            200,
            {none, sign},
            Skip,
            Fault::NoId},
           {"unsigned", "a", true, 200, {own}, Reject, Fault::Unsigned},
           {"unsigned, without id",
            "a",
            true,
            204,
            {},
            Reject,
            Fault::Unsigned},
           {"unsigned, other",
            "a",
            true,
            200,
            {other},
            Skip,
            Fault::OtherRequest},
           {"unsigned failure", "a", true, 500, {own}, Accept, Fault::None},
           {"request without id, exclusive",
            "",
            true,
            200,
            {sign},
            Accept,
            Fault::None},
           {"request without id, response with one",
            "",
            true,
            200,
            {own, sign},
            Accept,
            Fault::None},
           {"request without id, reused",
            "",
            false,
            200,
            {sign},
            Skip,
            Fault::NoId},
           {"request without id, reused, response with one",
            "",
            false,
            200,
            {own, sign},
            Skip,
            Fault::NoId}}) {
    CAPTURE(row.what);
    HttpHead head;
    head.status = row.status;
    head.headers = row.headers;
    const ResponseMatch match =
        MatchResponse(head, {.idField = "id",
                             .signatureField = "sign",
                             .requestId = row.requestId,
                             .exclusive = row.exclusive});
    CHECK(match.verdict == row.verdict);
    CHECK(match.fault == row.fault);
  }
}

// Guards against rejecting every success on platforms without signatures.
TEST_CASE("a success needs no signature where targets do not sign") {
  HttpHead head;
  head.status = 200;
  CHECK(MatchResponse(head,
                      {.idField = "id", .requestId = "a", .exclusive = true})
            .verdict == ResponseVerdict::Accept);
}
