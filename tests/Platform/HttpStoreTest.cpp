#include <doctest/doctest.h>
#include <sys/socket.h>

#include <algorithm>
#include <asio.hpp>
#include <functional>
#include <vector>

#include "Core/ScopeGuard.h"
#include "Platform/HttpObjectStore.h"
#include "Platform/HttpTableStore.h"
#include "Platform/ScriptedServer.h"
#include "Platform/StandInProcess.h"
#include "Platform/StoreContract.h"
#include "Transport/ScriptedPeer.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

constexpr auto kUnavailable = Failure::Unavailable;
constexpr auto kUnknown = Failure::OutcomeUnknown;

/// Raw bytes of a response and the failures that they must cause.
struct MalformedCase {
  std::string response;
  /// Failure of a transact; nullopt if the response is valid for it.
  std::optional<Failure> write;
  /// Failure of a changes request; nullopt if the response is valid for it.
  std::optional<Failure> read;
};

HttpTableStore OpenScripted(const ScriptedServer& aServer) {
  return HttpTableStore({.http = {.baseUrl = aServer.BaseUrl(),
                                  .totalTimeout = 2s,
                                  .maxResponseBytes = 4096},
                         .table = "config"});
}

}  // namespace

// Guards against a codec or server that changes the meaning of a transaction.
TEST_CASE("HTTP table: checks, tokens, deletions and changes") {
  const StandInProcess standIn;
  HttpTableStore transactions = standIn.OpenTable("transactions");
  CheckTransactions(transactions);
  HttpTableStore changes = standIn.OpenTable("changes");
  CheckChanges(changes);
  HttpObjectStore objects = standIn.OpenObjects();
  CheckObjects(objects);
}

// Guards against keys that are altered by URL encoding or path normalisation.
TEST_CASE("HTTP table: keys and values with special characters") {
  const StandInProcess standIn;
  HttpTableStore store = standIn.OpenTable("odd/../name");
  const std::vector<std::string> keys = {"..",  "a/../b", "q?x=1&y=2", "h#f",
                                         "50%", "%2F",    "sp ace",    "é",
                                         "+",   "\n"};
  for (const std::string& key : keys) {
    CAPTURE(key);
    store.Transact({"", {}, {{key, "v:" + key}}});
    CHECK(store.Get(key).value_or(TableRecord()).value == "v:" + key);
    const std::vector<TableRecord> listed = store.List(key);
    CHECK(std::any_of(listed.begin(), listed.end(),
                      [&](const auto& aRecord) { return aRecord.key == key; }));
  }
  CHECK(store.List("").size() == keys.size());
  CHECK(FailureOf([&] {
          store.Transact({"", {}, {{"x", "\xff"}}});
        }) == kUnavailable);
  CHECK_FALSE(store.Get("x").has_value());
}

// Guards against lost updates between processes.
TEST_CASE("HTTP table: concurrent compare-and-swap loses no increment") {
  const StandInProcess standIn;
  standIn.Control(R"({"writes_per_second":1e6,"reads_per_second":1e6})");
  CheckConcurrentIncrements([&standIn] { return standIn.OpenTable("n"); }, 3,
                            30);
}

// Guards against a crash, an endless loop or a wrong failure for responses that
// are truncated, malformed, too long or inconsistent.
TEST_CASE("HTTP table: malformed responses") {
  const std::string result =
      R"({"status":"committed","version":1,"conflict_key":"","conflict_version":0})";
  const std::string changes = R"({"version":9,"more":true,"records":[]})";
  const std::string record =
      R"({"key":"a","value":"1","version":7,"deleted":false})";
  const std::vector<MalformedCase> cases = {
      {Reply(200, result), std::nullopt, kUnavailable},
      {Reply(200, changes), kUnknown, std::nullopt},
      {Reply(200, ""), kUnknown, kUnavailable},
      {Reply(200, result.substr(0, 20)), kUnknown, kUnavailable},
      {Reply(200, "[" + result + "]"), kUnknown, kUnavailable},
      {Reply(200, R"({"status":"done","version":1})"), kUnknown, kUnavailable},
      {Reply(200, R"({"status":"committed","version":-1})"), kUnknown,
       kUnavailable},
      {Reply(200, R"({"status":1,"version":"1"})"), kUnknown, kUnavailable},
      {Reply(200, "\xff\xfe"), kUnknown, kUnavailable},
      {Reply(200, std::string(2000, '[')), kUnknown, kUnavailable},
      // More changes without a later version: a follower would loop forever.
      {Reply(200, R"({"version":5,"more":true,"records":[]})"), kUnknown,
       kUnavailable},
      {Reply(200, R"({"version":5,"more":false,"records":[)" + record + "]}"),
       kUnknown, kUnavailable},
      {Reply(200, R"({"version":8,"more":false,"records":[)" + record + "]}"),
       kUnknown, std::nullopt},
      {Reply(200, std::string(5000, ' ')), kUnknown, kUnavailable},
      {"HTTP/1.1 200 X\r\nContent-Length: 100\r\n\r\n" + result, kUnknown,
       kUnavailable},
      {"HTTP/1.1 200 X\r\nContent-Le", kUnknown, kUnavailable},
      {"HTTP/1.1 000 X\r\n\r\n" + result, kUnknown, kUnavailable},
      {"HTTP/1.1 2000 X\r\n\r\n" + result, kUnknown, kUnavailable},
      {"HTTP/1.1 200 X\r\nX Mark: 1\r\n\r\n" + result, kUnknown, kUnavailable},
      {"HTTP/1.1 200 X\r\nX-Mark : 1\r\n\r\n" + changes, kUnknown,
       kUnavailable},
      {"\0\0\0", kUnknown, kUnavailable},
      {"", kUnknown, kUnavailable},
      {Reply(204, ""), kUnknown, kUnavailable},
      {Reply(302, ""), kUnavailable, kUnavailable},
      {Reply(400, "{}"), kUnavailable, kUnavailable},
      {Reply(429, ""), kUnavailable, kUnavailable},
      {Reply(500, ""), kUnknown, kUnavailable},
      {Reply(502, ""), kUnknown, kUnavailable},
      {Reply(503, ""), kUnavailable, kUnavailable},
      {Reply(504, ""), kUnknown, kUnavailable},
  };
  for (const MalformedCase& row : cases) {
    CAPTURE(row.response);
    const ScriptedServer server(row.response);
    HttpTableStore store = OpenScripted(server);
    CHECK(FailureOf([&] {
            store.Transact({"t", {}, {{"a", "1"}}});
          }) == row.write);
    CHECK(FailureOf([&] { store.ChangesSince(5, 10); }) == row.read);
    CHECK(server.Requests() == 2);
  }
}

// Guards against returning the record of another key.
TEST_CASE("HTTP table: a response with the record of another key is refused") {
  const ScriptedServer server(
      Reply(200, R"({"key":"b","value":"1","version":7,"deleted":false})"));
  HttpTableStore store = OpenScripted(server);
  CHECK(FailureOf([&] { store.Get("a"); }) == kUnavailable);
  CHECK(store.Get("b")->version == 7);
}

// Guards against Unavailable for a write that took effect, and against
// OutcomeUnknown for one that cannot have taken effect.
TEST_CASE("HTTP table: injected faults") {
  StandInProcess standIn;
  HttpTableStore store = standIn.OpenTable("config", 300ms);
  const auto write = [&store](const std::string& aKey) {
    return FailureOf([&] {
      store.Transact({aKey, {{aKey, 0}}, {{aKey, "1"}}});
    });
  };
  const auto read = [&store] { return FailureOf([&] { store.List(""); }); };

  standIn.Control(R"({"down":true})");
  CHECK(write("down") == kUnavailable);
  CHECK(read() == kUnavailable);
  standIn.Control(R"({"down":false})");
  CHECK_FALSE(store.Get("down").has_value());

  standIn.Control(R"({"slow":600})");
  CHECK(write("slow") == kUnknown);
  CHECK(read() == kUnavailable);
  standIn.Control(R"({"slow":0})");
  std::this_thread::sleep_for(600ms);
  CHECK(store.Get("slow").has_value());

  // Two responses are lost, as libcurl would resend a request once if it reused
  // a connection; the second lost response is reported in any case.
  standIn.Control(R"({"lose_answers":2})");
  CHECK(write("lost") == kUnknown);
  standIn.Control(R"({"lose_answers":0})");
  CHECK(store.Get("lost").has_value());
  CHECK(write("lost") == std::nullopt);

  standIn.Control(R"({"lose_requests":2})");
  CHECK(write("dropped") == kUnknown);
  standIn.Control(R"({"lose_requests":0})");
  CHECK_FALSE(store.Get("dropped").has_value());

  standIn.Control(R"({"writes_per_second":0.001,"reads_per_second":0.001})");
  // The token bucket holds one call at this rate.
  write("throttled");
  read();
  CHECK(write("throttled") == kUnavailable);
  CHECK(read() == kUnavailable);
  CHECK(standIn.Stat("throttled") == 2);

  standIn.Stop();
  CHECK(write("stopped") == kUnavailable);
  CHECK(read() == kUnavailable);
}

// Guards against a put that is sent twice: the second response would say that
// the condition failed, although the first put took effect.
TEST_CASE("HTTP objects: a put with a lost response is not sent again") {
  const StandInProcess standIn;
  HttpObjectStore store = standIn.OpenObjects();
  // Opens a connection that the put must not reuse.
  CHECK_FALSE(store.Get("k").has_value());
  standIn.Control(R"({"lose_answers":1})");
  CHECK(FailureOf([&] { store.Put("k", "1", {.mustNotExist = true}); }) ==
        kUnknown);
  CHECK(standIn.Stat("writes") == 1);
  CHECK(store.Get("k")->bytes == "1");
}

// Guards against a connect timeout reported as OutcomeUnknown.
TEST_CASE("HTTP table: a server that accepts no connection is unavailable") {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context);
  acceptor.open(asio::ip::tcp::v4());
  acceptor.bind({asio::ip::address_v4::loopback(), 0});
  acceptor.listen(0);
  // Fills the backlog, so that the kernel drops further connection attempts.
  std::vector<asio::ip::tcp::socket> fillers;
  for (int i = 0; i < 4; ++i) {
    fillers.emplace_back(context).open(asio::ip::tcp::v4());
    fillers.back().native_non_blocking(true);
    const auto endpoint = acceptor.local_endpoint();
    ::connect(fillers.back().native_handle(), endpoint.data(),
              static_cast<socklen_t>(endpoint.size()));
  }
  HttpTableStore store(
      {.http = {.baseUrl = "http://127.0.0.1:" +
                           std::to_string(acceptor.local_endpoint().port()),
                .connectTimeout = 200ms,
                .totalTimeout = 2s},
       .table = "config"});
  CHECK(FailureOf([&] {
          store.Transact({"t", {}, {{"a", "1"}}});
        }) == kUnavailable);
}

// Guards against fleet data sent to a proxy that is set in the environment.
TEST_CASE("HTTP table: proxies of the environment are not used") {
  const StandInProcess standIn;
  setenv("http_proxy", "http://127.0.0.1:1", 1);
  const ScopeGuard restore([] { unsetenv("http_proxy"); });
  HttpTableStore store = standIn.OpenTable("config");
  CHECK(store.Transact({"", {}, {{"a", "1"}}}) == Committed(1));
}

// Guards against using a response that is truncated in its head: a record
// would seem absent, or a write refused or committed.
TEST_CASE("HTTP: a response truncated at any byte is not used") {
  const std::string committed = Reply(
      200,
      R"({"status":"committed","version":1,"conflict_key":"","conflict_version":0})");
  const std::string stored =
      "HTTP/1.1 200 X\r\nETag: \"t\"\r\nContent-Length: 0\r\n\r\n";
  struct Row {
    const char* name;
    std::string response;
    std::function<void(const ScriptedServer&)> call;
    Failure failure;
  };
  const auto transact = [](const ScriptedServer& aServer) {
    OpenScripted(aServer).Transact({"t", {}, {{"a", "1"}}});
  };
  const auto get = [](const ScriptedServer& aServer) {
    static_cast<void>(OpenScripted(aServer).Get("a"));
  };
  const auto put = [](const ScriptedServer& aServer) {
    HttpObjectStore({.baseUrl = aServer.BaseUrl(), .totalTimeout = 2s})
        .Put("a", "1", {.mustNotExist = true});
  };
  for (const Row& row : std::vector<Row>{
           {"transact, committed", committed, transact, kUnknown},
           {"transact, refused", Reply(400, ""), transact, kUnknown},
           {"transact, throttled", Reply(429, ""), transact, kUnknown},
           {"transact, down", Reply(503, ""), transact, kUnknown},
           {"get, absent", Reply(404, ""), get, kUnavailable},
           {"put, stored", stored, put, kUnknown},
           {"put, exists", Reply(412, ""), put, kUnknown},
           {"put, refused", Reply(403, ""), put, kUnknown}}) {
    CAPTURE(std::string(row.name));
    for (size_t size = 0; size < row.response.size(); ++size) {
      CAPTURE(size);
      const ScriptedServer server(row.response.substr(0, size));
      CHECK(FailureOf([&] { row.call(server); }) == row.failure);
    }
  }
}

// Guards against a late duplicate of a response that is taken for the response
// to the next call.
TEST_CASE("HTTP: a duplicated response is not used for another call") {
  const std::string committed = Reply(
      200,
      R"({"status":"committed","version":1,"conflict_key":"","conflict_version":0})");
  const std::string conflict = Reply(
      200,
      R"({"status":"conflict","version":1,"conflict_key":"b","conflict_version":1})");
  size_t calls = 0;
  const ScriptedPeer server([&](const ScriptedPeer::Turn& aTurn) {
    if (aTurn.request > 0) {
      aTurn.Send(committed);
    }
    aTurn.Send(calls++ == 0 ? committed : conflict);
  });
  HttpTableStore store(
      {.http = {.baseUrl = server.Url("")}, .table = "config"});
  CHECK(store.Transact({"t1", {}, {{"a", "1"}}}) == Committed(1));
  CHECK(store.Transact({"t2", {{"b", 0}}, {{"b", "1"}}}).conflictKey == "b");
}
