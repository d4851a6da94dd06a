#include <doctest/doctest.h>

#include <thread>
#include <vector>

#include "Platform/FlakyStore.h"
#include "Platform/RetryingWriter.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {
constexpr auto kNone = TableFault::None;
constexpr auto kRefuse = TableFault::Refuse;
constexpr auto kLoseRequest = TableFault::LoseRequest;
constexpr auto kLoseResponse = TableFault::LoseResponse;

/// Faults of a write and its expected result.
struct WriteCase {
  std::deque<TableFault> next;
  TableFault then;
  /// Whether the checked key exists before the write.
  bool exists;
  CommitStatus expected;
  /// Whether the write took effect.
  bool written;
};
}  // namespace

// Guards against a result that contradicts the table, above all Unavailable
// after a lost response and a later refusal.
TEST_CASE("a write with a lost response is retried with the same token") {
  const std::vector<WriteCase> cases = {
      {{}, kNone, false, CommitStatus::Committed, true},
      {{}, kNone, true, CommitStatus::Conflict, false},
      {{}, kRefuse, false, CommitStatus::Unavailable, false},
      {{kLoseResponse}, kNone, false, CommitStatus::Committed, true},
      {{kLoseResponse}, kNone, true, CommitStatus::Conflict, false},
      {{kLoseRequest}, kNone, false, CommitStatus::Committed, true},
      {{kLoseResponse, kRefuse}, kNone, false, CommitStatus::Committed, true},
      {{kLoseResponse}, kRefuse, false, CommitStatus::Unknown, true},
      {{kLoseRequest}, kRefuse, false, CommitStatus::Unknown, false},
      {{}, kLoseResponse, false, CommitStatus::Unknown, true},
      {{}, kLoseRequest, false, CommitStatus::Unknown, false},
  };
  for (size_t i = 0; i < cases.size(); ++i) {
    CAPTURE(i);
    FlakyStore store;
    if (cases[i].exists) {
      store.Transact({"", {}, {{"k", "other"}}});
    }
    store.Script(cases[i].next, cases[i].then);
    RetryingWriter writer(store, {.deadline = 50ms, .initialBackoff = 1ms});
    const CommitResult outcome = writer.Write({"", {{"k", 0}}, {{"k", "own"}}});
    CHECK(outcome.status == cases[i].expected);
    CHECK_FALSE(outcome.token.empty());
    const auto record = store.Get("k");
    CHECK((record.has_value() && record->value == "own") == cases[i].written);
    CHECK(store.ChangesSince(0, 9).version <= 1);
  }
}

// Guards against an operator who cannot find out the outcome of an unknown
// write later.
TEST_CASE("a write with unknown outcome can be retried with its token") {
  FlakyStore store;
  store.Script({}, kLoseResponse);
  RetryingWriter writer(store, {.deadline = 20ms, .initialBackoff = 1ms});
  TableTransaction write{"", {{"k", 0}}, {{"k", "own"}}};
  write.token = writer.Write(write).token;
  store.Script({}, kNone);
  CHECK(writer.Write(write).status == CommitStatus::Committed);
  CHECK(store.ChangesSince(0, 9).version == 1);
}

// Guards against a planned stop that waits for a table that is down.
TEST_CASE("a stop request ends the retries") {
  FlakyStore store;
  store.Script({}, kLoseResponse);
  RetryingWriter writer(store, {.deadline = 1h, .initialBackoff = 1h});
  std::stop_source stop;
  std::thread stopper([&stop, &store] {
    while (store.Attempts() == 0) {
      std::this_thread::sleep_for(1ms);
    }
    stop.request_stop();
  });
  const CommitResult outcome =
      writer.Write({"", {}, {{"k", "own"}}}, stop.get_token());
  stopper.join();
  CHECK(outcome.status == CommitStatus::Unknown);
  CHECK(store.Attempts() == 1);
}
