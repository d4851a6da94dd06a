#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Outcome/AttemptTable.h"

using namespace fescueline;
using namespace std::chrono_literals;

namespace {
Id128 Attempt(uint64_t aNumber) { return Id128{.high = 7, .low = aNumber}; }

AttemptResult RanWith(size_t aBytes) {
  return {.outcome = Outcome::Ran,
          .cause = Cause::None,
          .response = std::make_shared<StoredResponse>(StoredResponse{
              .status = 200, .headers = {}, .body = std::string(aBytes, 'x')})};
}

/// Advances the clock in steps that do not count as a pause.
void PassTime(AttemptTable& aTable, ManualClock& aClock, Duration aTime) {
  const TimePoint end = aClock.Now() + aTime;
  while (aClock.Now() < end) {
    aClock.Advance(std::min<Duration>(500ms, end - aClock.Now()));
    aTable.Expire(aClock.Now());
  }
}

struct FinishCase {
  std::string name;
  AttemptResult result;
  AttemptState state;
  Outcome outcome;
  BeginResult again;
};
}  // namespace

// Guards against a reply that does not match the result of the attempt.
TEST_CASE("the reply follows the result of the attempt") {
  const AttemptResult notRun{.outcome = Outcome::NotRun,
                             .cause = Cause::TargetShed,
                             .response = nullptr};
  const AttemptResult lost{.outcome = Outcome::Unknown,
                           .cause = Cause::TargetFailed,
                           .response = nullptr};
  const AttemptResult notKept{
      .outcome = Outcome::Ran, .cause = Cause::None, .response = nullptr};
  const std::vector<FinishCase> cases = {
      {"response", RanWith(10), AttemptState::Finished, Outcome::Ran,
       BeginResult::Duplicate},
      {"largest response", RanWith(65536), AttemptState::Finished, Outcome::Ran,
       BeginResult::Duplicate},
      {"too long", RanWith(65537), AttemptState::Unknown, Outcome::Ran,
       BeginResult::Duplicate},
      {"not kept", notKept, AttemptState::Unknown, Outcome::Ran,
       BeginResult::Duplicate},
      {"target lost", lost, AttemptState::Unknown, Outcome::Unknown,
       BeginResult::Duplicate},
      {"shed", notRun, AttemptState::NotRun, Outcome::NotRun,
       BeginResult::Tombstoned},
  };
  for (const FinishCase& row : cases) {
    CAPTURE(row.name);
    AttemptTable table{AttemptTableSettings{}};
    ManualClock clock;
    CHECK(table.Begin(Attempt(1), clock.Now()) == BeginResult::Started);
    CHECK(table.Begin(Attempt(1), clock.Now()) == BeginResult::Duplicate);
    CHECK(table.Query(Attempt(1), 1s, clock.Now()).state ==
          AttemptState::Running);
    table.Finish(Attempt(1), row.result, clock.Now());
    const AttemptReply reply = table.Query(Attempt(1), 1s, clock.Now());
    CHECK(reply.state == row.state);
    CHECK(reply.outcome == row.outcome);
    CHECK(reply.cause == row.result.cause);
    CHECK((reply.response != nullptr) == (row.state == AttemptState::Finished));
    CHECK(table.Begin(Attempt(1), clock.Now()) == row.again);
  }
}

// Guards against work that starts after its sender was told "not run".
TEST_CASE("a query before the request leaves a tombstone") {
  AttemptTable table{AttemptTableSettings{}};
  ManualClock clock;
  CHECK(table.Query(Attempt(1), 1s, clock.Now()).state == AttemptState::NotRun);
  PassTime(table, clock, 59s);
  CHECK(table.Begin(Attempt(1), clock.Now()) == BeginResult::Tombstoned);
  PassTime(table, clock, 2s);
  CHECK(table.Tombstones() == 0);
}

// Guards against "not run" for an attempt whose entry may have expired.
TEST_CASE("a query about an old attempt without an entry is unknown") {
  AttemptTable table{AttemptTableSettings{}};
  ManualClock clock;
  CHECK(table.Query(Attempt(1), 50s + 1ns, clock.Now()).state ==
        AttemptState::Unknown);
  CHECK(table.Tombstones() == 0);
  CHECK(table.Query(Attempt(2), 50s, clock.Now()).state ==
        AttemptState::NotRun);
}

// Guards against "not run" for finished work when the process was paused
// between the arrival of the query and its handling.
TEST_CASE("a pause does not count towards the retention") {
  AttemptTable table{AttemptTableSettings{}};
  ManualClock clock;
  table.Begin(Attempt(1), clock.Now());
  table.Finish(Attempt(1), RanWith(1), clock.Now());
  PassTime(table, clock, 45s);
  clock.Advance(30s);
  table.Expire(clock.Now());
  CHECK(table.Query(Attempt(1), 45s, clock.Now()).state ==
        AttemptState::Finished);
}

// Guards against eviction of running attempts and against a table that accepts
// attempts that it cannot record.
TEST_CASE("a full table refuses attempts and keeps its entries") {
  AttemptTable table{
      AttemptTableSettings{.maxAttempts = 3, .maxTombstones = 2}};
  ManualClock clock;
  for (uint64_t i = 0; i < 3; ++i) {
    CHECK(table.Begin(Attempt(i), clock.Now()) == BeginResult::Started);
  }
  CHECK(table.Begin(Attempt(3), clock.Now()) == BeginResult::Full);
  PassTime(table, clock, 300s);
  CHECK(table.Begin(Attempt(3), clock.Now()) == BeginResult::Full);
  CHECK(table.Running() == 3);
  table.Finish(Attempt(0), RanWith(1), clock.Now());
  CHECK(table.Begin(Attempt(3), clock.Now()) == BeginResult::Full);
  // Tombstones have a limit of their own; above it a query is not answered "not
  // run".
  CHECK(table.Query(Attempt(10), 1s, clock.Now()).state ==
        AttemptState::NotRun);
  CHECK(table.Query(Attempt(11), 1s, clock.Now()).state ==
        AttemptState::NotRun);
  CHECK(table.Query(Attempt(12), 1s, clock.Now()).state ==
        AttemptState::Unknown);
  PassTime(table, clock, 60s);
  CHECK(table.Begin(Attempt(3), clock.Now()) == BeginResult::Started);
}

// Guards against unbounded memory for responses, and against an entry that
// is dropped together with its response.
TEST_CASE("the oldest responses are dropped for new ones") {
  AttemptTable table{AttemptTableSettings{.maxStoredBytes = 100}};
  ManualClock clock;
  for (uint64_t i = 0; i < 3; ++i) {
    table.Begin(Attempt(i), clock.Now());
    table.Finish(Attempt(i), RanWith(40), clock.Now());
  }
  CHECK(table.StoredBytes() == 80);
  const AttemptReply oldest = table.Query(Attempt(0), 1s, clock.Now());
  CHECK(oldest.state == AttemptState::Unknown);
  CHECK(oldest.outcome == Outcome::Ran);
  CHECK(table.Begin(Attempt(0), clock.Now()) == BeginResult::Duplicate);
  CHECK(table.Query(Attempt(2), 1s, clock.Now()).state ==
        AttemptState::Finished);
  PassTime(table, clock, 61s);
  CHECK(table.StoredBytes() == 0);
  CHECK(table.Attempts() == 0);
}

// Guards against a sender that waits for ever for the reply about a running
// attempt.
TEST_CASE("finish returns the waiters once") {
  AttemptTable table{AttemptTableSettings{}};
  ManualClock clock;
  table.Begin(Attempt(1), clock.Now());
  for (uint64_t i = 0; i < 6; ++i) {
    table.Query(Attempt(1), 1s, clock.Now(),
                AttemptWaiter{.connection = i, .stream = 1});
    table.Query(Attempt(1), 1s, clock.Now(),
                AttemptWaiter{.connection = i, .stream = 1});
  }
  const auto waiters = table.Finish(Attempt(1), RanWith(1), clock.Now());
  REQUIRE(waiters.size() == 4);
  CHECK(waiters.back().connection == 5);
  CHECK(table.ReplyOf(Attempt(1)).state == AttemptState::Finished);
  CHECK(table.Finish(Attempt(1), RanWith(1), clock.Now()).empty());
  CHECK(table.ReplyOf(Attempt(2)).state == AttemptState::Unknown);
}

// Guards against any order of calls in which work starts twice, starts after
// "not run" was reported or is reported as "not run" after it ran, and against
// exceeded limits.
TEST_CASE("random histories keep at-most-once and the limits") {
  const bool holds = rc::check("attempt histories", [] {
    const AttemptTableSettings settings{.maxAttempts = 6,
                                        .maxTombstones = 4,
                                        .maxStoredBytes = 100,
                                        .maxResponseBytes = 50};
    AttemptTable table{settings};
    ManualClock clock;
    std::map<uint64_t, TimePoint> sent;
    std::set<uint64_t> started;
    std::set<uint64_t> reportedNotRun;
    const auto steps = *rc::gen::container<std::vector<uint32_t>>(
        200, rc::gen::arbitrary<uint32_t>());
    for (const uint32_t step : steps) {
      const uint64_t id = (step >> 8) % 12;
      sent.try_emplace(id, clock.Now());
      const Duration age = clock.Now() - sent[id];
      switch (step % 5) {
        case 0:
          // A request older than any deadline never reaches the table.
          if (age < 50s &&
              table.Begin(Attempt(id), clock.Now()) == BeginResult::Started) {
            RC_ASSERT(!started.contains(id));
            RC_ASSERT(!reportedNotRun.contains(id));
            started.insert(id);
          }
          break;
        case 1:
          table.Finish(Attempt(id), RanWith((step >> 16) % 60), clock.Now());
          break;
        case 2:
          if (table.Query(Attempt(id), age, clock.Now()).state ==
              AttemptState::NotRun) {
            RC_ASSERT(!started.contains(id));
            reportedNotRun.insert(id);
          }
          break;
        case 3:
          PassTime(table, clock, std::chrono::seconds((step >> 16) % 20));
          break;
        default:
          clock.Advance(std::chrono::seconds((step >> 16) % 90));
          break;
      }
      RC_ASSERT(table.Attempts() <= settings.maxAttempts);
      RC_ASSERT(table.Tombstones() <= settings.maxTombstones);
      RC_ASSERT(table.StoredBytes() <= settings.maxStoredBytes);
    }
  });
  CHECK(holds);
}
