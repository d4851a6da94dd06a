#include <doctest/doctest.h>
#include <fmt/format.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Http1/RawPeer.h"
#include "HttpRowStore.h"
#include "Log/Log.h"
#include "Transport/EndlessServer.h"
#include "Transport/ScriptedPeer.h"

using namespace fescueline;
using namespace fescueline::test;
using fescueline::platform::HttpRowStore;

namespace {
/// Starts a call to a store.
using CallStart = std::function<void(HttpRowStore&, RowStore::Done)>;

std::string Response(int aStatus, const std::string& aBody) {
  return fmt::format("HTTP/1.1 {} X\r\nContent-Length: {}\r\n\r\n{}", aStatus,
                     aBody.size(), aBody);
}

/// Response body with one row; "eA==" is the value x.
std::string OneRow(const std::string& aTable, const std::string& aKey) {
  return fmt::format(
      R"({{"rows":[{{"table":"{}","part":"","key":"{}","value":"eA==","ver":7}}],)"
      R"("has-more":false,"ver":9,"now-ms":1000}})",
      aTable, aKey);
}

CallStart ReadOf(const std::string& aTable, const std::string& aAfter = "") {
  return [aTable, aAfter](HttpRowStore& aStore, RowStore::Done aDone) {
    aStore.Read(aTable, aAfter, std::move(aDone));
  };
}

CallStart FollowOf(const std::string& aTable, uint64_t aAfter) {
  return [aTable, aAfter](HttpRowStore& aStore, RowStore::Done aDone) {
    aStore.Follow(aTable, aAfter, Duration::zero(), std::move(aDone));
  };
}

CallStart WriteOf(const std::string& aTable, const std::string& aKey,
                  uint64_t aExpected) {
  return [=](HttpRowStore& aStore, RowStore::Done aDone) {
    aStore.Write(
        {.table = aTable, .key = aKey, .expected = aExpected, .value = "x"},
        std::move(aDone));
  };
}

/// Calls the store and waits for the reply.
StoreReply Call(asio::io_context& aIo, HttpRowStore& aStore,
                const CallStart& aStart) {
  std::optional<StoreReply> reply;
  aStart(aStore, [&reply](const StoreReply& aReply) { reply = aReply; });
  REQUIRE(RunUntil(aIo, [&reply] { return reply.has_value(); }));
  return *reply;
}

SocketAddress AddressOf(uint16_t aPort) {
  return {.host = "127.0.0.1", .port = aPort};
}
}  // namespace

// The store sends a duplicate response. Guards against using it as the response
// to the next call: rows of another table, or a write that is reported as done.
TEST_CASE("a duplicate response is not used for another call") {
  DisableLog();
  struct Row {
    const char* name;
    /// Whether the duplicate arrives late or together with the first copy.
    bool late;
    CallStart first;
    std::string answer;
    CallStart second;
    std::string ownAnswer;
    StoreStatus status;
    std::vector<std::string> keys;
  };
  const std::string written = R"({"ver":12,"now-ms":1001})";
  const std::string empty = R"({"rows":[],"ver":9,"now-ms":1002})";
  std::vector<Row> rows;
  for (const bool late : {false, true}) {
    rows.push_back({"read after a read",
                    late,
                    ReadOf("a"),
                    OneRow("a", "k"),
                    ReadOf("b"),
                    OneRow("b", "mine"),
                    StoreStatus::Done,
                    {"mine"}});
    rows.push_back({"write after a write",
                    late,
                    WriteOf("a", "k", 7),
                    written,
                    WriteOf("b", "k", 3),
                    OneRow("b", "k"),
                    StoreStatus::Conflict,
                    {"k"}});
    rows.push_back({"follow after a write",
                    late,
                    WriteOf("a", "k", 7),
                    written,
                    FollowOf("a", 6),
                    OneRow("a", "mine"),
                    StoreStatus::Done,
                    {"mine"}});
    rows.push_back({"write after a read",
                    late,
                    ReadOf("a"),
                    OneRow("a", "k"),
                    WriteOf("a", "k", 3),
                    OneRow("a", "k"),
                    StoreStatus::Conflict,
                    {"k"}});
    rows.push_back({"follow after a follow",
                    late,
                    FollowOf("a", 9),
                    empty,
                    FollowOf("b", 6),
                    OneRow("b", "mine"),
                    StoreStatus::Done,
                    {"mine"}});
  }
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    CAPTURE(row.late);
    std::atomic<bool> second{false};
    const int ownStatus = row.status == StoreStatus::Conflict ? 412 : 200;
    const ScriptedPeer peer([&](const ScriptedPeer::Turn& aTurn) {
      const std::string answer = Response(200, row.answer);
      if (!second) {
        aTurn.Send(row.late ? answer : answer + answer);
        return;
      }
      if (aTurn.request > 0 && row.late) {
        aTurn.Send(answer);
      }
      aTurn.Send(Response(ownStatus, row.ownAnswer));
    });
    asio::io_context io{1};
    HttpRowStore store(io, AddressOf(peer.Port()));
    CHECK(Call(io, store, row.first).status == StoreStatus::Done);
    second = true;
    const StoreReply reply = Call(io, store, row.second);
    std::vector<std::string> keys;
    for (const StoredRow& found : reply.rows) {
      keys.push_back(found.key);
    }
    CHECK(reply.status == row.status);
    CHECK(keys == row.keys);
  }
}

// Guards against using a response that does not match the call: a table that
// seems empty, a confirmation without a time, a write that counts as done.
TEST_CASE("a response that does not match its call is rejected") {
  DisableLog();
  struct Row {
    const char* name;
    CallStart call;
    int status;
    std::string body;
    StoreStatus expected;
  };
  const std::string ends = R"(,"ver":9,"now-ms":1000})";
  for (const Row& row : std::vector<Row>{
           {"read", ReadOf("a", "j"), 200, OneRow("a", "k"), StoreStatus::Done},
           {"read, other table", ReadOf("a"), 200, OneRow("b", "k"),
            StoreStatus::Unknown},
           {"read, key before the range", ReadOf("a", "k"), 200,
            OneRow("a", "k"), StoreStatus::Unknown},
           {"read, other partition", ReadOf("a"), 200,
            R"({"rows":[{"part":"p","key":"k","value":"eA==","ver":7}])" + ends,
            StoreStatus::Unknown},
           {"read, no rows", ReadOf("a"), 200, R"({"ver":9,"now-ms":1})",
            StoreStatus::Unknown},
           {"read, no version", ReadOf("a"), 200, R"({"rows":[],"now-ms":1})",
            StoreStatus::Unknown},
           {"read, no moment", ReadOf("a"), 200, R"({"rows":[],"ver":9})",
            StoreStatus::Unknown},
           {"read, conflict", ReadOf("a"), 412, OneRow("a", "k"),
            StoreStatus::Unknown},
           {"read, no body", ReadOf("a"), 200, "", StoreStatus::Unknown},
           {"follow", FollowOf("a", 6), 200, OneRow("a", "k"),
            StoreStatus::Done},
           {"follow, other table", FollowOf("a", 6), 200, OneRow("b", "k"),
            StoreStatus::Unknown},
           {"follow, known row", FollowOf("a", 7), 200, OneRow("a", "k"),
            StoreStatus::Unknown},
           {"follow, older than the known version", FollowOf("a", 10), 200,
            R"({"rows":[])" + ends, StoreStatus::Unknown},
           {"write", WriteOf("a", "k", 3), 200, R"({"ver":9,"now-ms":1})",
            StoreStatus::Done},
           {"write, no version", WriteOf("a", "k", 3), 200, R"({"now-ms":1})",
            StoreStatus::Unknown},
           {"write, version not after the row's", WriteOf("a", "k", 9), 200,
            R"({"ver":9,"now-ms":1})", StoreStatus::Unknown},
           {"write, rows", WriteOf("a", "k", 3), 200, OneRow("a", "k"),
            StoreStatus::Unknown},
           {"write, conflict", WriteOf("a", "k", 3), 412, OneRow("a", "k"),
            StoreStatus::Conflict},
           {"write, conflict, no row", WriteOf("a", "k", 3), 412,
            R"({"rows":[]})", StoreStatus::Conflict},
           {"write, conflict over another row", WriteOf("a", "k", 3), 412,
            OneRow("a", "l"), StoreStatus::Unknown},
           {"write, conflict in another table", WriteOf("a", "k", 3), 412,
            OneRow("b", "k"), StoreStatus::Unknown},
           {"write, conflict with the expected version", WriteOf("a", "k", 7),
            412, OneRow("a", "k"), StoreStatus::Unknown},
           {"write, history lost", WriteOf("a", "k", 3), 410, "",
            StoreStatus::Unknown}}) {
    CAPTURE(std::string(row.name));
    const ScriptedPeer peer([&](const ScriptedPeer::Turn& aTurn) {
      aTurn.Send(Response(row.status, row.body));
    });
    asio::io_context io{1};
    HttpRowStore store(io, AddressOf(peer.Port()));
    const StoreReply reply = Call(io, store, row.call);
    CHECK(reply.status == row.expected);
    const bool used = row.expected == StoreStatus::Done ||
                      row.expected == StoreStatus::Conflict;
    CHECK((used || reply.rows.empty()));
  }
}

// Guards against using a response whose head no store in order sends.
TEST_CASE("a response of the store with a malformed head is not used") {
  DisableLog();
  for (const std::string head :
       {"HTTP/1.1 000 X\r\n", "HTTP/1.1 600 X\r\n", "HTTP/1.1 0200 X\r\n",
        "HTTP/1.1 200 X\r\nX Mark: 1\r\n", "HTTP/1.1 200 X\r\nX : 1\r\n"}) {
    CAPTURE(head);
    const std::string body = R"({"ver":9,"now-ms":1})";
    const ScriptedPeer peer([&](const ScriptedPeer::Turn& aTurn) {
      aTurn.Send(fmt::format("{}Content-Length: {}\r\n\r\n{}", head,
                             body.size(), body));
    });
    asio::io_context io{1};
    HttpRowStore store(io, AddressOf(peer.Port()));
    CHECK(Call(io, store, WriteOf("a", "k", 3)).status == StoreStatus::Unknown);
  }
}

// Guards against an endless response that exhausts the memory.
TEST_CASE("a response of the store is bounded") {
  DisableLog();
  struct Row {
    const char* name;
    std::string begin;
    std::string more;
  };
  const std::string line = "HTTP/1.1 200 OK\r\n";
  const std::string part(4096, ' ');
  for (const Row& row : std::vector<Row>{
           {"until the close", line + "\r\n", part},
           {"length", line + "Content-Length: 999999999999\r\n\r\n", part},
           {"chunks", line + "Transfer-Encoding: chunked\r\n\r\n",
            "1000\r\n" + part + "\r\n"},
           {"head", line + "X-A: ", part}}) {
    CAPTURE(std::string(row.name));
    asio::io_context io{1};
    EndlessServer server(io, row.begin, row.more);
    HttpRowStore store(io, AddressOf(server.Endpoint().port()));
    CHECK(Call(io, store, ReadOf("a")).status == StoreStatus::Unknown);
    CHECK(RunUntil(io, [&server] { return server.Closed() == 1; }));
    // Includes the bytes in socket buffers.
    CHECK(server.Written() < size_t{24} * 1024 * 1024);
  }
}
