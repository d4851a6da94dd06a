#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Http1/RawPeer.h"
#include "Log/Log.h"
#include "Node/ForwardCall.h"
#include "Transport/ScriptedNode.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

using Script = ScriptedNode::Script;

/// Records the response that a caller gets.
class RecordingExchange final : public HttpExchange {
 public:
  explicit RecordingExchange(const std::string& aMethod) {
    this->request = {.method = aMethod, .target = "/fees"};
  }
  HttpRequest& Request() override { return this->request; }
  void OnAbort(std::function<void()>) override {}
  void Respond(HttpResponse aResponse, std::function<void()>) override {
    ++this->heads;
    this->response = std::move(aResponse);
    this->complete = true;
  }
  void StartStream(int aStatus, HttpHeaders aHeaders,
                   std::optional<uint64_t> aContentLength) override {
    ++this->heads;
    this->response = {.status = aStatus, .headers = std::move(aHeaders)};
    this->length = aContentLength;
  }
  void Write(std::string aData, std::function<void()> aOnWritten) override {
    this->response.body += aData;
    aOnWritten();
  }
  void EndStream(bool aComplete, std::function<void()>) override {
    this->complete = aComplete;
  }

  std::string Outcome() const {
    return std::string(
        FindHeader(this->response.headers, "fescueline-outcome").value_or(""));
  }

  size_t heads = 0;
  HttpResponse response{.status = 0};
  /// Declared length of a streamed response.
  std::optional<uint64_t> length;
  /// Set at the end of the response.
  std::optional<bool> complete;

 private:
  HttpRequest request;
};

TableRecord Member(const std::string& aName, uint16_t aPort,
                   uint64_t aVersion) {
  const MemberRecord member{.incarnation = Id128::Generate(),
                            .dataCentre = "d1",
                            .region = "r1",
                            .service = "fees",
                            .peerAddress = "127.0.0.1:" + std::to_string(aPort),
                            .controlAddress = "127.0.0.1:1"};
  return {.key = "member/" + aName,
          .value = member.ToJson(),
          .version = aVersion,
          .deleted = false};
}

/// One call to a service with two targets, whose nodes follow a script.
struct World {
  struct Request {
    bool idempotent = false;
    std::string method = "POST";
    Duration timeout = 10s;
  };

  World(const Script& aScript, const Request& aRequest,
        const Script& aOnQuery = {})
      : first(this->io, "n1", aScript, aOnQuery),
        second(this->io, "n2", aScript, aOnQuery),
        exchange(std::make_shared<RecordingExchange>(aRequest.method)) {
    DisableLog();
    this->fleet.UpdateMembers(std::make_shared<ConfigSnapshot>(
        ConfigSnapshot(), 2,
        std::vector{Member("n1", this->first.server.Port(), 1),
                    Member("n2", this->second.server.Port(), 2)}));
    const TimePoint now = SteadyClock().Now();
    RequestContext context;
    context.rootId = Id128::Generate();
    context.route = context.service = "fees";
    context.idempotent = aRequest.idempotent;
    context.open = true;
    constexpr uint32_t kRetries = 2;
    std::make_shared<ForwardCall>(
        ForwardCall::Settings{
            .io = this->io,
            .fleet = this->fleet,
            .peers = this->peers,
            .metrics = this->metrics,
            .fleetSecret = "secret",
            .exchange = this->exchange,
            .context = context,
            .pathRoute = "fees",
            .deadline = now + aRequest.timeout,
            .budget = std::make_shared<RunningAttempt>(
                context,
                RunningAttempt::Times{.rootStart = now,
                                      .deadline = now + aRequest.timeout},
                kRetries)})
        ->Start();
  }
  ~World() {
    this->peers.CloseAll();
    RunUntil(
        this->io, [] { return false; }, 50ms);
  }

  /// Runs until the response has ended.
  const RecordingExchange& Run() {
    REQUIRE(RunUntil(this->io,
                     [this] { return this->exchange->complete.has_value(); }));
    return *this->exchange;
  }
  size_t Attempts() const {
    return this->first.attempts + this->second.attempts;
  }
  size_t Queries() const { return this->first.queries + this->second.queries; }

  asio::io_context io{1};
  Metrics metrics;
  ScriptedNode first;
  ScriptedNode second;
  FleetView fleet{
      {.node = "n0", .table = {.dataCentre = "d1", .region = "r1"}}};
  PeerPool peers{this->io,
                 {"n0", Id128::Generate(), "secret"},
                 {.onState = [](const std::string&, const std::string&,
                                const StateWire&) {},
                  .onClosed = [](const std::string&, const std::string&) {}}};
  std::shared_ptr<RecordingExchange> exchange;
};

/// Sends a response with a body of aBytes.
void SendResponse(const SessionPtr& aSession, uint64_t aStream, size_t aBytes,
                  char aByte = 'x') {
  SendHead(aSession, aStream, static_cast<int64_t>(aBytes));
  SendBody(aSession, aStream, aBytes, aByte);
  SendEnd(aSession, aStream);
}

/// Sends a part of a response and closes the connection.
Script DisconnectAfter(int64_t aLength, size_t aPart) {
  return [aLength, aPart](const SessionPtr& aSession, uint64_t aStream) {
    SendHead(aSession, aStream, aLength);
    SendBody(aSession, aStream, aPart, 'l');
    CloseSoon(aSession);
  };
}

struct LossCase {
  std::string what;
  int64_t length;
  size_t part;
};
const std::vector<LossCase> kLossCases = {
    {"after the head", 9, 0},
    {"within the body", 9, 4},
    {"within a body without length", -1, 4},
    {"before the end", 9, 9}};
}  // namespace

// The connection to a target's node is lost within a short response. Guards
// against a caller that gets a truncated response although the stored response
// can be queried.
TEST_CASE("a partly lost response is queried") {
  for (const LossCase& row : kLossCases) {
    CAPTURE(row.what);
    World world(DisconnectAfter(row.length, row.part), {},
                [](const SessionPtr& aSession, uint64_t aStream) {
                  SendResponse(aSession, aStream, 3, 's');
                });
    const RecordingExchange& seen = world.Run();
    CHECK(world.Attempts() == 1);
    CHECK(world.Queries() == 1);
    CHECK(seen.heads == 1);
    CHECK(seen.response.status == 200);
    CHECK(seen.response.body == "sss");
    CHECK(seen.Outcome() == "ran");
    CHECK(seen.complete == true);
  }
}

// Guards against a body that contains a part of an earlier reply, when the
// connection is lost again.
TEST_CASE("a query is repeated if its reply is partly lost") {
  const auto queries = std::make_shared<size_t>(0);
  World world(DisconnectAfter(9, 4), {},
              [queries](const SessionPtr& aSession, uint64_t aStream) {
                if (++*queries == 1) {
                  DisconnectAfter(9, 4)(aSession, aStream);
                  return;
                }
                SendResponse(aSession, aStream, 3, 's');
              });
  const RecordingExchange& seen = world.Run();
  CHECK(world.Attempts() == 1);
  CHECK(seen.response.status == 200);
  CHECK(seen.response.body == "sss");
}

// Guards against a lost response whose outcome is not reported.
TEST_CASE("the caller of a lost response gets its outcome") {
  for (const Outcome outcome : {Outcome::Ran, Outcome::Unknown}) {
    CAPTURE(std::string(ToName(outcome)));
    World world(
        DisconnectAfter(9, 4), {},
        [outcome](const SessionPtr& aSession, uint64_t aStream) {
          aSession->Send(AttemptReplyFrame{
              .stream = aStream, .outcome = static_cast<uint8_t>(outcome)});
        });
    const RecordingExchange& seen = world.Run();
    CHECK(seen.heads == 1);
    CHECK(seen.response.status == 502);
    CHECK(seen.Outcome() == ToName(outcome));
    CHECK(seen.complete == true);
  }
}

// Guards against a short response that is abandoned although the caller has
// received none of it.
TEST_CASE("an idempotent call is retried while its response is buffered") {
  for (const LossCase& row : kLossCases) {
    CAPTURE(row.what);
    const auto attempts = std::make_shared<size_t>(0);
    World world(
        [attempts, &row](const SessionPtr& aSession, uint64_t aStream) {
          if (++*attempts == 1) {
            DisconnectAfter(row.length, row.part)(aSession, aStream);
            return;
          }
          SendResponse(aSession, aStream, 3, 's');
        },
        {.idempotent = true, .method = "GET"});
    const RecordingExchange& seen = world.Run();
    CHECK(*attempts == 2);
    CHECK(seen.heads == 1);
    CHECK(seen.response.body == "sss");
  }
}

// Guards against a short response that the target truncated and that reaches
// the caller with a status of success.
TEST_CASE("a short response that the target truncated is refused") {
  for (const bool idempotent : {false, true}) {
    CAPTURE(idempotent);
    World world(
        [](const SessionPtr& aSession, uint64_t aStream) {
          SendHead(aSession, aStream, 9);
          SendBody(aSession, aStream, 4);
          SendEnd(aSession, aStream, false);
        },
        {.idempotent = idempotent});
    const RecordingExchange& seen = world.Run();
    CHECK(world.Attempts() == (idempotent ? 2 : 1));
    CHECK(seen.heads == 1);
    CHECK((seen.response.status == 502 || idempotent));
    CHECK(seen.response.status > 500);
    CHECK(seen.Outcome() == "unknown");
  }
}

// Guards against a second response within one that is already streamed. The
// caller would take its bytes for the rest of the body.
TEST_CASE("a lost streamed response is neither retried nor queried") {
  constexpr int64_t kLength = 300'000;
  for (const bool idempotent : {false, true}) {
    CAPTURE(idempotent);
    World world(DisconnectAfter(kLength, 200'000), {.idempotent = idempotent});
    const RecordingExchange& seen = world.Run();
    CHECK(world.Attempts() == 1);
    CHECK(world.Queries() == 0);
    CHECK(seen.heads == 1);
    CHECK(seen.response.status == 200);
    CHECK(seen.length == kLength);
    CHECK(seen.complete == false);
  }
}

// Guards against a caller that gets no response at its deadline because an
// incomplete response is buffered.
TEST_CASE("a response that is incomplete at the deadline is refused") {
  World world(
      [](const SessionPtr& aSession, uint64_t aStream) {
        SendHead(aSession, aStream, 9);
        SendBody(aSession, aStream, 4);
      },
      {.timeout = 300ms});
  const RecordingExchange& seen = world.Run();
  CHECK(seen.heads == 1);
  CHECK(seen.response.status == 504);
  CHECK(seen.Outcome() == "unknown");
}

namespace {
struct CompleteCase {
  std::string what;
  std::string method;
  uint16_t status;
  int64_t length;
  size_t bytes;
};
const std::vector<CompleteCase> kCompleteCases = {
    {"short", "POST", 200, 5, 5},
    {"without length", "POST", 200, -1, 5},
    {"empty", "POST", 200, 0, 0},
    {"as long as the buffer", "POST", 200, 128 * 1024, 128 * 1024},
    {"long", "POST", 200, 300'000, 300'000},
    {"long without length", "POST", 200, -1, 300'000},
    {"error of the target", "POST", 500, 5, 5},
    {"to HEAD", "HEAD", 200, 1234, 0},
    {"to HEAD, without length", "HEAD", 200, -1, 0},
    {"204", "POST", 204, -1, 0},
    {"304", "GET", 304, 99, 0}};
}  // namespace

// Guards against responses that are changed by the buffering.
TEST_CASE("a complete response reaches the caller unchanged") {
  for (const CompleteCase& row : kCompleteCases) {
    CAPTURE(row.what);
    World world(
        [&row](const SessionPtr& aSession, uint64_t aStream) {
          aSession->Send(ResponseHeadFrame{
              .stream = aStream,
              .status = row.status,
              .headers = {{"X-A", "b"}, {"fescueline-cause", "made-up"}},
              .contentLength = row.length});
          SendBody(aSession, aStream, row.bytes);
          SendEnd(aSession, aStream);
        },
        {.method = row.method});
    const RecordingExchange& seen = world.Run();
    CHECK(seen.heads == 1);
    CHECK(seen.response.status == row.status);
    CHECK(FindHeader(seen.response.headers, "X-A") == "b");
    CHECK_FALSE(FindHeader(seen.response.headers, "fescueline-cause"));
    CHECK(seen.Outcome() == "ran");
    CHECK(seen.response.body.size() == row.bytes);
    CHECK(seen.complete == true);
    const bool noBody =
        row.method == "HEAD" || row.status == 204 || row.status == 304;
    if (noBody) {
      CHECK(seen.length.has_value() == (row.length >= 0));
      CHECK(seen.length.value_or(0) ==
            static_cast<uint64_t>(std::max<int64_t>(row.length, 0)));
    }
  }
}

namespace {
struct InvalidCase {
  std::string what;
  Script script;
};

const std::vector<InvalidCase> kInvalidCases = {
    {"an end without a head",
     [](const SessionPtr& aSession, uint64_t aStream) {
       SendEnd(aSession, aStream);
     }},
    {"a body without a head",
     [](const SessionPtr& aSession, uint64_t aStream) {
       SendBody(aSession, aStream, 4);
       SendEnd(aSession, aStream);
     }},
    {"a second head",
     [](const SessionPtr& aSession, uint64_t aStream) {
       SendHead(aSession, aStream, -1);
       SendBody(aSession, aStream, 2);
       SendHead(aSession, aStream, -1);
       SendEnd(aSession, aStream);
     }},
    {"less than the length",
     [](const SessionPtr& aSession, uint64_t aStream) {
       SendHead(aSession, aStream, 5);
       SendBody(aSession, aStream, 4);
       SendEnd(aSession, aStream);
     }},
    {"more than the length",
     [](const SessionPtr& aSession, uint64_t aStream) {
       SendHead(aSession, aStream, 3);
       SendBody(aSession, aStream, 4);
       SendEnd(aSession, aStream);
     }},
    {"an interim status",
     [](const SessionPtr& aSession, uint64_t aStream) {
       SendHead(aSession, aStream, -1, 100);
       SendEnd(aSession, aStream);
     }},
    {"no status",
     [](const SessionPtr& aSession, uint64_t aStream) {
       SendHead(aSession, aStream, -1, 0);
       SendEnd(aSession, aStream);
     }},
    {"a status of four digits",
     [](const SessionPtr& aSession, uint64_t aStream) {
       SendHead(aSession, aStream, -1, 1200);
       SendEnd(aSession, aStream);
     }},
    {"a body of a status without one",
     [](const SessionPtr& aSession, uint64_t aStream) {
       SendHead(aSession, aStream, -1, 204);
       SendBody(aSession, aStream, 4);
       SendEnd(aSession, aStream);
     }},
    {"a reply without a query",
     [](const SessionPtr& aSession, uint64_t aStream) {
       aSession->Send(
           AttemptReplyFrame{.stream = aStream,
                             .outcome = static_cast<uint8_t>(Outcome::NotRun)});
     }},
    {"a reply after a head",
     [](const SessionPtr& aSession, uint64_t aStream) {
       SendHead(aSession, aStream, -1);
       aSession->Send(
           AttemptReplyFrame{.stream = aStream,
                             .outcome = static_cast<uint8_t>(Outcome::NotRun)});
     }},
    {"a refusal after a head",
     [](const SessionPtr& aSession, uint64_t aStream) {
       SendHead(aSession, aStream, -1);
       aSession->Send(
           RefusalFrame{.stream = aStream,
                        .outcome = static_cast<uint8_t>(Outcome::NotRun),
                        .cause = static_cast<uint8_t>(Cause::Overloaded)});
     }}};
}  // namespace

// A peer sends frames that do not form a valid response. Guards against a
// truncated response that seems complete, and against a non-idempotent request
// that is sent again after it ran.
TEST_CASE("invalid response frames lead to an unknown outcome") {
  for (const InvalidCase& row : kInvalidCases) {
    CAPTURE(row.what);
    World world(row.script, {});
    const RecordingExchange& seen = world.Run();
    CHECK(world.Attempts() == 1);
    CHECK(seen.heads == 1);
    CHECK((seen.response.status == 502 || seen.response.status == 503));
    CHECK(seen.Outcome() == "unknown");
    CHECK(seen.complete == true);
  }
}

// Guards against bytes of another response in a streamed body.
TEST_CASE("invalid frames end a streamed response") {
  constexpr int64_t kLength = 300'000;
  constexpr size_t kPart = 200'000;
  const std::vector<InvalidCase> rows = {
      {"a second head",
       [](const SessionPtr& aSession, uint64_t aStream) {
         SendHead(aSession, aStream, 100'000);
         SendBody(aSession, aStream, 100'000);
         SendEnd(aSession, aStream);
       }},
      {"less than the length",
       [](const SessionPtr& aSession, uint64_t aStream) {
         SendEnd(aSession, aStream);
       }},
      {"more than the length",
       [](const SessionPtr& aSession, uint64_t aStream) {
         SendBody(aSession, aStream, 100'001);
         SendEnd(aSession, aStream);
       }},
      {"a refusal", [](const SessionPtr& aSession, uint64_t aStream) {
         aSession->Send(
             RefusalFrame{.stream = aStream,
                          .outcome = static_cast<uint8_t>(Outcome::NotRun),
                          .cause = static_cast<uint8_t>(Cause::Overloaded)});
       }}};
  for (const InvalidCase& row : rows) {
    CAPTURE(row.what);
    World world(
        [&row](const SessionPtr& aSession, uint64_t aStream) {
          SendHead(aSession, aStream, kLength);
          SendBody(aSession, aStream, kPart);
          row.script(aSession, aStream);
        },
        {.idempotent = true, .method = "GET"});
    const RecordingExchange& seen = world.Run();
    CHECK(world.Attempts() == 1);
    CHECK(seen.heads == 1);
    CHECK(seen.complete == false);
    CHECK(seen.response.body.size() < static_cast<size_t>(kLength));
  }
}
