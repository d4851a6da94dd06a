#include <doctest/doctest.h>

#include <stdexcept>

#include "Http1/RawPeer.h"
#include "Log/Log.h"
#include "Mesh/FakeRowStore.h"
#include "Mesh/TableFollower.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  asio::io_context io{1};
  FakeRowStore store;
  std::vector<StoredRow> snapshot;
  std::vector<StoredRow> changes;
  size_t snapshots = 0;
  std::vector<BootTime> confirmed;
  TableFollower follower{
      {.io = this->io,
       .store = this->store,
       .table = "t",
       .onSnapshot =
           [this](const std::vector<StoredRow>& aRows) {
             this->snapshot = aRows;
             ++this->snapshots;
           },
       .onChanges =
           [this](const std::vector<StoredRow>& aRows) {
             this->changes.insert(this->changes.end(), aRows.begin(),
                                  aRows.end());
           },
       .onConfirmed =
           [this](BootTime aMoment) { this->confirmed.push_back(aMoment); }}};

  bool WaitCall() {
    return RunUntil(this->io, [this] { return !this->store.calls.empty(); });
  }
};

}  // namespace

// Guards against losing changes between the read and the first follow.
TEST_CASE("a follower reads the table and then follows from that version") {
  Fixture fixture;
  fixture.store.Put("a", "1");
  fixture.follower.Start();
  fixture.store.Answer();
  REQUIRE(fixture.snapshot.size() == 1);
  fixture.store.Put("b", "2");
  fixture.store.Answer();
  REQUIRE(fixture.changes.size() == 1);
  CHECK(fixture.changes[0].key == "b");
  CHECK(fixture.follower.IsAvailable());
}

// Guards against a node that misses changes after the store has discarded its
// history.
TEST_CASE("a lost history leads to a new read") {
  Fixture fixture;
  fixture.follower.Start();
  fixture.store.Answer();
  fixture.store.Put("a", "1");
  fixture.store.Fail(StoreStatus::HistoryLost);
  REQUIRE(fixture.store.calls.front().what == "read");
  fixture.store.Answer();
  CHECK(fixture.snapshots == 2);
  CHECK(fixture.snapshot.size() == 1);
}

// Guards against a follower that gives up, and against one that reads the full
// table again after each failed call.
TEST_CASE("failed calls are retried from where they stopped") {
  Fixture fixture;
  fixture.follower.Start();
  fixture.store.Fail(StoreStatus::Refused);
  CHECK_FALSE(fixture.follower.IsAvailable());
  REQUIRE(fixture.WaitCall());
  CHECK(fixture.store.calls.front().what == "read");
  fixture.store.Answer();
  fixture.store.Fail(StoreStatus::Unknown);
  REQUIRE(fixture.WaitCall());
  CHECK(fixture.store.calls.front().what == "follow");
  fixture.store.Answer();
  CHECK(fixture.follower.IsAvailable());
}

// When a fleet starts, every node's row wakes every other node. Guards against
// a number of calls that grows with the square of the fleet's size.
TEST_CASE("changes are batched before the next call") {
  Fixture fixture;
  size_t changes = 0;
  TableFollower follower({.io = fixture.io,
                          .store = fixture.store,
                          .table = "t",
                          .onSnapshot = [](const std::vector<StoredRow>&) {},
                          .onChanges =
                              [&changes](const std::vector<StoredRow>& aRows) {
                                changes += aRows.size();
                              },
                          .onConfirmed = [](BootTime) {},
                          .batchTime = 100ms});
  follower.Start();
  fixture.store.Answer();
  size_t calls = 0;
  for (int i = 0; i < 50; ++i) {
    fixture.store.Put("k" + std::to_string(i), "v");
    RunUntil(
        fixture.io, [] { return false; }, 4ms);
    while (!fixture.store.calls.empty()) {
      fixture.store.Answer();
      ++calls;
    }
  }
  CHECK(calls <= 8);
  RunUntil(fixture.io, [&] { return !fixture.store.calls.empty(); });
  fixture.store.Answer();
  CHECK(changes >= 50);
}

// Guards against needless calls, and against a table that stays unconfirmed
// because of a pending long poll.
TEST_CASE("a long poll is replaced by an urgent call") {
  Fixture fixture;
  bool urgent = false;
  TableFollower follower({.io = fixture.io,
                          .store = fixture.store,
                          .table = "t",
                          .mode =
                              [&urgent] {
                                return urgent ? FollowMode::ShortPoll
                                              : FollowMode::LongPoll;
                              },
                          .onSnapshot = [](const std::vector<StoredRow>&) {},
                          .onChanges = [](const std::vector<StoredRow>&) {},
                          .onConfirmed =
                              [&fixture](BootTime aMoment) {
                                fixture.confirmed.push_back(aMoment);
                              }});
  follower.Start();
  fixture.store.Answer();
  REQUIRE(fixture.store.calls.size() == 1);
  follower.Reconsider();
  CHECK(fixture.store.calls.size() == 1);
  urgent = true;
  follower.Reconsider();
  follower.Reconsider();
  REQUIRE(fixture.store.calls.size() == 2);
  // The late reply to the first call must not start a second chain of calls.
  fixture.store.Answer();
  CHECK(fixture.store.calls.size() == 1);
  fixture.store.Answer();
  CHECK(fixture.store.calls.size() == 1);
}

// Guards against trusting a configuration for longer than it was confirmed: a
// reply that was delayed in the network confirms the time at which it was sent,
// not the time at which it arrived.
TEST_CASE("a reply confirms the time at which the store sent it") {
  Fixture fixture;
  fixture.follower.Start();
  fixture.store.Answer();
  // The store replies at once, but the reply arrives 60 ms later.
  const BootTime before = BootClock::now();
  const FakeRowStore::Call call = fixture.store.Take();
  const StoreReply reply = fixture.store.Perform(call);
  RunUntil(
      fixture.io, [] { return false; }, 60ms);
  call.done(reply);
  REQUIRE(fixture.confirmed.size() == 2);
  CHECK(fixture.confirmed[1] <= before + 20ms);
  // A reply after a wait of 200 ms at the store confirms a later time.
  const FakeRowStore::Call later = fixture.store.Take();
  fixture.store.now += 200ms;
  RunUntil(
      fixture.io, [] { return false; }, 200ms);
  later.done(fixture.store.Perform(later));
  CHECK(fixture.confirmed[2] >= fixture.confirmed[1] + 100ms);
  CHECK(fixture.confirmed[2] <= BootClock::now());
}

// Guards against a node that reads members every second although nothing
// indicates a change: the number of calls grows with the fleet.
TEST_CASE("a call is a long poll unless it is urgent") {
  struct Row {
    bool hasUrgency;
    bool urgent;
    Duration wait;
  };
  for (const Row& row : std::vector<Row>{
           {false, false, 10s}, {true, false, 10s}, {true, true, 1s}}) {
    CAPTURE(row.hasUrgency);
    CAPTURE(row.urgent);
    asio::io_context io{1};
    FakeRowStore store;
    bool urgent = row.urgent;
    TableFollower::Settings settings{
        .io = io,
        .store = store,
        .table = "t",
        .onSnapshot = [](const std::vector<StoredRow>&) {},
        .onChanges = [](const std::vector<StoredRow>&) {},
        .onConfirmed = [](BootTime) {}};
    if (row.hasUrgency) {
      settings.mode = [&urgent] {
        return urgent ? FollowMode::ShortPoll : FollowMode::LongPoll;
      };
    }
    TableFollower follower(std::move(settings));
    follower.Start();
    store.Answer();
    REQUIRE(store.calls.size() == 1);
    CHECK(store.calls.front().wait == row.wait);
    urgent = row.hasUrgency;
    follower.Reconsider();
    // A long poll is replaced as soon as a call is urgent.
    const bool replaced = row.hasUrgency && !row.urgent;
    CHECK(store.calls.size() == (replaced ? 2 : 1));
    CHECK(store.calls.back().wait == (row.hasUrgency ? 1s : 10s));
  }
}

namespace {
/// A follower whose mode the test sets.
struct ModeFixture : Fixture {
  FollowMode mode = FollowMode::Idle;
  size_t calls = 0;
  TableFollower modal{
      {.io = this->io,
       .store = this->store,
       .table = "t",
       .mode = [this] { return this->mode; },
       .onCall = [this] { ++this->calls; },
       .onSnapshot = [this](const std::vector<StoredRow>&) { this->Fail(); },
       .onChanges = [this](const std::vector<StoredRow>&) { this->Fail(); },
       .onConfirmed = [](BootTime) {}}};
  bool failing = false;

  void Fail() const {
    if (this->failing) {
      throw std::runtime_error("receiver");
    }
  }
};
}  // namespace

// Guards against a node that calls the store although its peers keep it
// current, and against one that never calls again.
TEST_CASE("an idle follower makes no calls until its mode changes") {
  ModeFixture fixture;
  fixture.modal.Start();
  fixture.modal.Reconsider();
  CHECK(fixture.store.calls.empty());
  fixture.mode = FollowMode::Immediate;
  fixture.modal.Reconsider();
  REQUIRE(fixture.store.calls.size() == 1);
  CHECK(fixture.store.calls.front().what == "read");
  fixture.mode = FollowMode::Idle;
  fixture.store.Answer();
  CHECK(fixture.store.calls.empty());
  // Changes that were learned elsewhere are not read again.
  fixture.modal.SkipTo(40);
  fixture.mode = FollowMode::Immediate;
  fixture.modal.Reconsider();
  REQUIRE(fixture.store.calls.size() == 1);
  CHECK(fixture.store.calls.front().what == "follow");
  CHECK(fixture.store.calls.front().after == 40);
  CHECK(fixture.store.calls.front().wait == 10ms);
  CHECK(fixture.calls == 2);
}

// Guards against a node that stops following a table because one of its rows
// could not be applied.
TEST_CASE("a follower goes on after a receiver that fails") {
  DisableLog();
  ModeFixture fixture;
  fixture.failing = true;
  fixture.mode = FollowMode::LongPoll;
  fixture.modal.Start();
  fixture.store.Answer();
  REQUIRE(fixture.store.calls.size() == 1);
  fixture.store.Put("a", "1");
  fixture.store.Answer();
  REQUIRE(fixture.store.calls.size() == 1);
  CHECK(fixture.store.calls.front().what == "follow");
  CHECK(fixture.store.calls.front().after == fixture.store.version);
}

// A store keeps discarding its history. Guards against a node that reads it in
// a loop without a pause.
TEST_CASE("a follower pauses if the history is lost repeatedly") {
  ModeFixture fixture;
  fixture.mode = FollowMode::LongPoll;
  fixture.modal.Start();
  fixture.store.Answer();
  for (int round = 0; round < 3; ++round) {
    CAPTURE(round);
    REQUIRE(fixture.WaitCall());
    fixture.store.Fail(StoreStatus::HistoryLost);
    if (round == 0) {
      // The first loss leads to a read at once.
      REQUIRE(fixture.store.calls.size() == 1);
    } else {
      CHECK(fixture.store.calls.empty());
      REQUIRE(fixture.WaitCall());
    }
    fixture.store.Answer();
  }
}
