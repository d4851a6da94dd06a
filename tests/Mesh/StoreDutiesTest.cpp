#include <doctest/doctest.h>

#include "Http1/RawPeer.h"
#include "Mesh/FakeRowStore.h"
#include "Mesh/IssuerLease.h"
#include "Mesh/MemberPublisher.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

IssuerLease::Settings Lease(asio::io_context& aIo, FakeRowStore& aStore,
                            const std::string& aNode,
                            const std::string& aIncarnation) {
  return {.io = aIo,
          .store = aStore,
          .table = "fleet",
          .key = "issuer",
          .node = aNode,
          .incarnation = aIncarnation,
          .length = 1500ms,
          .renewInterval = 100ms,
          .readInterval = 1ms};
}

}  // namespace

/// Answers all pending calls, oldest first.
void AnswerAll(FakeRowStore& aStore) {
  while (!aStore.calls.empty()) {
    aStore.Answer();
  }
}

// Guards against two issuers at once.
TEST_CASE("one node holds the issuer's lease") {
  asio::io_context io{1};
  FakeRowStore store;
  IssuerLease first(Lease(io, store, "n1", "i1"));
  IssuerLease second(Lease(io, store, "n2", "i2"));
  first.Tick(true);
  second.Tick(true);
  // Both read that the lease is free, and both write.
  store.Answer();
  store.Answer();
  REQUIRE(store.calls.size() == 2);
  AnswerAll(store);
  CHECK(first.IsHeld(BootClock::now()));
  CHECK_FALSE(second.IsHeld(BootClock::now()));
  CHECK(second.Holder() == "n1");
  RunUntil(
      io, [] { return false; }, 20ms);
  second.Tick(true);
  AnswerAll(store);
  CHECK_FALSE(second.IsHeld(BootClock::now()));
  // The lease is not read while an issuer is known.
  RunUntil(
      io, [] { return false; }, 20ms);
  second.Tick(false);
  CHECK(store.calls.empty());
}

// Guards against a holder that cannot reach the store and issues at the same
// time as its successor, and against a successor that waits for a full lease
// after it has first read the row, which left a fleet without an issuer for
// 12 s.
TEST_CASE("a holder stops before its lease expires for others") {
  asio::io_context io{1};
  FakeRowStore store;
  IssuerLease holder(Lease(io, store, "n1", "i1"));
  holder.Tick(true);
  AnswerAll(store);
  REQUIRE(holder.IsHeld(BootClock::now()));
  const auto pass = [&](Duration aTime) {
    RunUntil(
        io, [] { return false; },
        std::chrono::duration_cast<std::chrono::milliseconds>(aTime));
    store.now += aTime;
  };
  IssuerLease other(Lease(io, store, "n2", "i2"));
  pass(700ms);
  CHECK_FALSE(holder.IsHeld(BootClock::now()));
  other.Tick(true);
  AnswerAll(store);
  CHECK_FALSE(other.IsHeld(BootClock::now()));
  pass(900ms);
  // A node that reads the row for the first time sees that the lease has
  // expired.
  IssuerLease late(Lease(io, store, "n3", "i3"));
  late.Tick(true);
  AnswerAll(store);
  CHECK(late.IsHeld(BootClock::now()));
  other.Tick(true);
  AnswerAll(store);
  CHECK_FALSE(other.IsHeld(BootClock::now()));
}

// Guards against waiting for the expiry of a lease whose process has ended.
TEST_CASE("a restarted node reacquires its own lease at once") {
  asio::io_context io{1};
  FakeRowStore store;
  store.Put("issuer", "n1 old");
  IssuerLease lease(Lease(io, store, "n1", "new"));
  CHECK_FALSE(lease.IsHeld(BootClock::now()));
  lease.Tick(true);
  AnswerAll(store);
  CHECK(lease.IsHeld(BootClock::now()));
}

// Guards against a planned stop after which the fleet has no issuer until the
// lease expires.
TEST_CASE("a stopping holder releases its lease") {
  asio::io_context io{1};
  FakeRowStore store;
  IssuerLease lease(Lease(io, store, "n1", "i1"));
  lease.Tick(true);
  AnswerAll(store);
  REQUIRE(lease.IsHeld(BootClock::now()));
  lease.Release();
  CHECK_FALSE(lease.IsHeld(BootClock::now()));
  AnswerAll(store);
  CHECK(store.rows.at("issuer").removed);
  lease.Tick(true);
  CHECK(store.calls.empty());
}

namespace {

MemberPublisher::Settings Publisher(asio::io_context& aIo,
                                    FakeRowStore& aStore) {
  return {.io = aIo,
          .store = aStore,
          .table = "fleet",
          .record = {.node = "n1",
                     .incarnation = Id128::Generate(),
                     .dataCentre = "d1",
                     .region = "r1",
                     .service = "fees",
                     .peers = {"127.0.0.1", 1}}};
}

}  // namespace

// Guards against a write that took effect although its reply was lost, and
// against one that takes effect late and overwrites a newer one.
TEST_CASE("a member's row survives lost replies and removals") {
  asio::io_context io{1};
  FakeRowStore store;
  MemberPublisher publisher(Publisher(io, store));
  publisher.OnAbsent();
  publisher.Tick();
  REQUIRE(store.calls.size() == 1);
  store.Fail(StoreStatus::Unknown, true);
  RunUntil(io, [&] {
    publisher.Tick();
    return !store.calls.empty();
  });
  SUBCASE("the retried write conflicts with the first and is resolved") {
    store.Answer();
    publisher.Tick();
    CHECK(store.calls.empty());
    CHECK_FALSE(store.rows.at("node/n1").removed);
  }
  SUBCASE("a row that others removed is written again") {
    store.Answer();
    const uint64_t version = ++store.version;
    store.rows["node/n1"] = {
        .key = "node/n1", .version = version, .removed = true};
    publisher.OnRow(store.rows["node/n1"]);
    publisher.Tick();
    REQUIRE(store.calls.size() == 1);
    store.Answer();
    CHECK_FALSE(store.rows.at("node/n1").removed);
  }
}

// Guards against a leftover row of a node after its planned stop.
TEST_CASE("a stopping node removes its row") {
  asio::io_context io{1};
  FakeRowStore store;
  MemberPublisher publisher(Publisher(io, store));
  publisher.OnAbsent();
  publisher.Tick();
  store.Answer();
  bool done = false;
  publisher.Leave([&done] { done = true; });
  store.Answer();
  CHECK(done);
  CHECK(store.rows.at("node/n1").removed);
  publisher.Tick();
  CHECK(store.calls.empty());
}

// A node is stopped while its write is pending at a slow store. Guards against
// a late reply that makes the node an issuer again, and against a leftover
// lease, with which the fleet has no issuer until it expires.
TEST_CASE("a write in progress at a stop leaves no lease") {
  for (const bool renewal : {false, true}) {
    CAPTURE(renewal);
    asio::io_context io{1};
    FakeRowStore store;
    IssuerLease::Settings settings = Lease(io, store, "n1", "i1");
    settings.length = 10s;
    IssuerLease lease(settings);
    lease.Tick(true);
    store.Answer();
    if (renewal) {
      AnswerAll(store);
      REQUIRE(RunUntil(io, [&] {
        lease.Tick(true);
        return !store.calls.empty();
      }));
    }
    REQUIRE(store.calls.size() == 1);
    lease.Release();
    CHECK_FALSE(lease.IsHeld(BootClock::now()));
    AnswerAll(store);
    CHECK_FALSE(lease.IsHeld(BootClock::now()));
    CHECK(store.rows.at("issuer").removed);
  }
}

// A node is stopped while its renewal is pending, and the store refuses the
// write or loses its reply. Guards against a leftover lease although its row
// still has the known version.
TEST_CASE("a renewal that fails at a stop leaves no lease") {
  for (const StoreStatus status :
       {StoreStatus::Refused, StoreStatus::Unknown}) {
    CAPTURE(ToName(status));
    asio::io_context io{1};
    FakeRowStore store;
    IssuerLease::Settings settings = Lease(io, store, "n1", "i1");
    settings.length = 10s;
    IssuerLease lease(settings);
    lease.Tick(true);
    AnswerAll(store);
    REQUIRE(RunUntil(io, [&] {
      lease.Tick(true);
      return !store.calls.empty();
    }));
    lease.Release();
    store.Fail(status);
    AnswerAll(store);
    CHECK_FALSE(lease.IsHeld(BootClock::now()));
    CHECK(store.rows.at("issuer").removed);
  }
}

// The reply to a write is lost, the write is retried, and the node is stopped
// before the reply, which is a conflict with the first write. Guards against a
// leftover row that the stopped node knows only from that conflict.
TEST_CASE(
    "a write that conflicts with the node's own one leaves no row at a stop") {
  asio::io_context io{1};
  FakeRowStore store;
  MemberPublisher publisher(Publisher(io, store));
  publisher.Tick();
  REQUIRE(store.calls.size() == 1);
  store.Fail(StoreStatus::Unknown, true);
  REQUIRE(RunUntil(io, [&] {
    publisher.Tick();
    return !store.calls.empty();
  }));
  bool left = false;
  publisher.Leave([&left] { left = true; });
  AnswerAll(store);
  CHECK(left);
  CHECK(store.rows.at(publisher.Key()).removed);
}

// The reply to a renewal is lost, the renewal is retried, and the node is
// stopped before the reply, which is a conflict with the first renewal. Guards
// against a leftover lease that the stopped node knows only from that conflict.
TEST_CASE("a renewal that conflicts with the node's own one leaves no lease") {
  asio::io_context io{1};
  FakeRowStore store;
  IssuerLease::Settings settings = Lease(io, store, "n1", "i1");
  settings.length = 10s;
  IssuerLease lease(settings);
  const auto write = [&] {
    return RunUntil(io, [&] {
      lease.Tick(true);
      return !store.calls.empty();
    });
  };
  lease.Tick(true);
  AnswerAll(store);
  REQUIRE(write());
  store.Fail(StoreStatus::Unknown, true);
  REQUIRE(write());
  lease.Release();
  AnswerAll(store);
  CHECK(store.rows.at("issuer").removed);
}

// Guards against a stop that removes the lease of the next holder.
TEST_CASE("a write that finds another holder removes nothing at a stop") {
  asio::io_context io{1};
  FakeRowStore store;
  IssuerLease lease(Lease(io, store, "n1", "i1"));
  lease.Tick(true);
  AnswerAll(store);
  REQUIRE(RunUntil(io, [&] {
    lease.Tick(true);
    return !store.calls.empty();
  }));
  lease.Release();
  store.Put("issuer", "n2 i2 100000");
  AnswerAll(store);
  CHECK(store.rows.at("issuer").value == "n2 i2 100000");
  CHECK_FALSE(store.rows.at("issuer").removed);
}

// Guards against a leftover row of a stopped node, to which other nodes would
// try to connect for 20 s.
TEST_CASE("a write in progress at a stop leaves no row") {
  asio::io_context io{1};
  FakeRowStore store;
  MemberPublisher publisher(Publisher(io, store));
  publisher.Tick();
  REQUIRE(store.calls.size() == 1);
  bool left = false;
  publisher.Leave([&left] { left = true; });
  AnswerAll(store);
  CHECK(left);
  CHECK(store.rows.at(publisher.Key()).removed);
}
