#include <fmt/format.h>

#include "Mesh/TargetPath.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

/// Statuses from which a caller concludes that its request has not run and will
/// not run.
const std::vector<int> kNotRunStatuses = {408, 421, 429, 503};

std::string IdOf(const std::string& aRequest) {
  const size_t at = aRequest.find("X-Id: ") + 6;
  return aRequest.substr(at, aRequest.find("\r\n", at) - at);
}

std::string Response(int aStatus, const std::string& aId,
                     const std::string& aFields = {}) {
  const std::string body = "of " + aId;
  return fmt::format(
      "HTTP/1.1 {} X\r\nX-Id: {}\r\nX-Mark: target\r\n{}Content-Length: {}"
      "\r\n\r\n{}",
      aStatus, aId, aFields, body.size(), body);
}

/// Sends a request and waits for the response.
ReceivedResponse Call(TargetPath& aPath, RawPeer& aCaller,
                      const std::string& aRequest) {
  aCaller.received.clear();
  aCaller.Send(aRequest);
  ReceivedResponse seen;
  REQUIRE(RunPromptly(aPath.io, [&] {
    seen = ReceivedResponse::Of(aCaller.received, false, aCaller.closed);
    return seen.complete;
  }));
  return seen;
}

}  // namespace

// A target answers with a status that implies "not run" without declaring that
// it did not run the request. Guards against a caller that retries a
// non-idempotent request that has run.
TEST_CASE("an undeclared refusal of a non-idempotent request is not trusted") {
  for (const int status : {408, 429, 503}) {
    for (const size_t cut : {size_t{0}, size_t{3}}) {
      CAPTURE(status);
      CAPTURE(cut);
      TargetPath path(
          [&](TargetConnection& aConnection, const std::string& aRequest) {
            const std::string bytes = Response(status, IdOf(aRequest));
            const auto self = aConnection.shared_from_this();
            aConnection.Send(bytes.substr(0, bytes.size() - cut), [self, cut] {
              if (cut > 0) {
                self->Close();
              }
            });
          });
      RawPeer& caller = path.NewCaller();
      const ReceivedResponse once =
          Call(path, caller, TargetPath::Request("GET", "/once/", "r1"));
      CHECK(once.status == 502);
      CHECK(Contains(caller.received, "X-Id: r1\r\n"));
      CHECK_FALSE(Contains(caller.received, "X-Mark"));
      CHECK(path.CountsFault(ResponseFault::Undeclared));
      if (cut == 0) {
        const ReceivedResponse safe =
            Call(path, caller, TargetPath::Request("GET", "/safe/", "r2"));
        CHECK(safe.status == status);
        CHECK(safe.body == "of r2");
        CHECK(Contains(caller.received, "X-Mark: target\r\n"));
      }
      CHECK(path.Open() == 0);
    }
  }
}

// Guards against a declared refusal that is not accepted, and against the
// replacement of any other status.
TEST_CASE("declared refusals and all other statuses reach the caller") {
  struct Row {
    int status;
    std::string fields;
    int expected;
  };
  for (const Row& row : std::vector<Row>{{503, "X-Not-Run: 1\r\n", 503},
                                         {429, "X-Not-Run: 1\r\n", 503},
                                         {408, "X-Not-Run: 1\r\n", 503},
                                         {421, "X-Not-Run: 1\r\n", 503},
                                         {421, "", 503},
                                         {200, "", 200},
                                         {400, "", 400},
                                         {409, "", 409},
                                         {425, "", 425},
                                         {500, "", 500},
                                         {502, "", 502},
                                         {504, "", 504}}) {
    CAPTURE(row.status);
    CAPTURE(row.fields);
    TargetPath path(
        [&row](TargetConnection& aConnection, const std::string& aRequest) {
          aConnection.Send(Response(row.status, IdOf(aRequest), row.fields));
        });
    RawPeer& caller = path.NewCaller();
    const ReceivedResponse seen =
        Call(path, caller, TargetPath::Request("GET", "/once/", "r"));
    CHECK(seen.status == row.expected);
    CHECK_FALSE(path.CountsFault(ResponseFault::Undeclared));
    CHECK_FALSE(path.CountsFault(ResponseFault::Contradicted));
  }
}

namespace {
/// A target that makes a downstream call for the request "r" and then sends the
/// responses given by the test.
class CallingTarget {
 public:
  /// aOfCall and aOfRequest return the response to the call and to its parent
  /// request.
  CallingTarget(std::function<std::string(const std::string& aId)> aOfCall,
                std::function<std::string(const std::string& aId)> aOfRequest,
                std::string aCallPath = "/once/")
      : ofCall(std::move(aOfCall)),
        ofRequest(std::move(aOfRequest)),
        callPath(std::move(aCallPath)) {}

  /// Status of the response to the call; 0 before it is complete.
  int CallStatus() const {
    return this->calls == nullptr ||
                   !ReceivedResponse::Of(this->calls->received, false, false)
                        .complete
               ? 0
               : ReceivedResponse::Of(this->calls->received, false, false)
                     .status;
  }

  ReceivedResponse Request(const std::string& aPath) {
    RawPeer& caller = this->path.NewCaller();
    caller.Send(TargetPath::Request("GET", aPath, "r", "X-Timeout: 2000\r\n"));
    REQUIRE(
        RunPromptly(this->path.io, [this] { return this->CallStatus() != 0; }));
    this->connection->Send(this->ofRequest("r"));
    ReceivedResponse seen;
    REQUIRE(RunPromptly(this->path.io, [&] {
      seen = ReceivedResponse::Of(caller.received, false, false);
      return seen.complete;
    }));
    return seen;
  }

  /// Number of requests and calls received by the target.
  size_t runs = 0;

 private:
  std::function<std::string(const std::string&)> ofCall;
  std::function<std::string(const std::string&)> ofRequest;
  std::string callPath;
  std::shared_ptr<TargetConnection> connection;
  RawPeer* calls = nullptr;

 public:
  TargetPath path{
      [this](TargetConnection& aConnection, const std::string& aRequest) {
        const std::string id = IdOf(aRequest);
        ++this->runs;
        if (id != "r") {
          aConnection.Send(this->ofCall(id));
          return;
        }
        this->connection = aConnection.shared_from_this();
        this->calls = &this->path.NewCaller();
        this->calls->Send(TargetPath::Request("GET", this->callPath, "r.1"));
      }};
};
}  // namespace

// A target makes a downstream call for a request and then declares that it did
// not run the request. Guards against "not run" for a request that has run in
// part.
TEST_CASE("a declared refusal after a downstream call is not trusted") {
  for (const int status : kNotRunStatuses) {
    for (const char* route : {"/once/", "/safe/"}) {
      CAPTURE(status);
      CAPTURE(std::string(route));
      CallingTarget target(
          [](const std::string& aId) { return Response(200, aId); },
          [status](const std::string& aId) {
            return Response(status, aId,
                            status == 421 ? "" : "X-Not-Run: 1\r\n");
          });
      const ReceivedResponse seen = target.Request(route);
      CHECK(target.CallStatus() == 200);
      CHECK(seen.status == 502);
      CHECK(target.path.CountsFault(ResponseFault::Contradicted));
      CHECK(target.runs == 2);
      // The declared refusal still counts as a failure of the target.
      CHECK(target.path.ReportedFailureRate() > 0);
    }
  }
}

// The caller is another target, which forwards the response that it got. Guards
// against "not run" for a call that may have run, and for its parent request.
TEST_CASE("undeclared refusals of downstream calls are not trusted") {
  for (const int status : {408, 429, 503}) {
    for (const bool safe : {false, true}) {
      CAPTURE(status);
      CAPTURE(safe);
      CallingTarget target(
          [status](const std::string& aId) { return Response(status, aId); },
          [status](const std::string& aId) { return Response(status, aId); },
          safe ? "/safe/" : "/once/");
      const ReceivedResponse seen = target.Request("/once/");
      CHECK(target.CallStatus() == (safe ? status : 502));
      CHECK(seen.status == 502);
      CHECK(target.runs == 2);
    }
  }
}

// Guards against a failure share that depends on the status sent to the caller:
// errors of runs without downstream calls count, rate-limit refusals do not.
TEST_CASE("an undeclared refusal counts as a target failure by its status") {
  for (const int status : {408, 429, 503}) {
    for (const char* route : {"/once/", "/safe/"}) {
      CAPTURE(status);
      CAPTURE(std::string(route));
      TargetPath path(
          [status](TargetConnection& aConnection, const std::string& aRequest) {
            aConnection.Send(Response(status, IdOf(aRequest)));
          });
      RawPeer& caller = path.NewCaller();
      Call(path, caller, TargetPath::Request("GET", route, "r"));
      CHECK((path.ReportedFailureRate() > 0) == (status == 503));
    }
  }
}
