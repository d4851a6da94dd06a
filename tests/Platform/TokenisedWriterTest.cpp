#include <doctest/doctest.h>

#include <thread>
#include <vector>

#include "Platform/FlakyStore.h"
#include "Platform/TokenisedWriter.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {
constexpr auto kNone = TableFault::None;
constexpr auto kRefuse = TableFault::Refuse;
constexpr auto kLoseRequest = TableFault::LoseRequest;
constexpr auto kLoseAnswer = TableFault::LoseAnswer;

/// Faults of a write and what must be known of it afterwards.
struct SettleCase {
  std::deque<TableFault> next;
  TableFault then;
  /// Whether the checked key exists before.
  bool taken;
  SettleStatus expected;
  /// Whether the write took effect.
  bool written;
};
}  // namespace

// Guards against a verdict that does not fit what the table did, above all
// "nothing was written" after a lost answer and a later refusal.
TEST_CASE("a lost answer is settled with the same token") {
  const std::vector<SettleCase> cases = {
      {{}, kNone, false, SettleStatus::Committed, true},
      {{}, kNone, true, SettleStatus::Conflict, false},
      {{}, kRefuse, false, SettleStatus::Unavailable, false},
      {{kLoseAnswer}, kNone, false, SettleStatus::Committed, true},
      {{kLoseAnswer}, kNone, true, SettleStatus::Conflict, false},
      {{kLoseRequest}, kNone, false, SettleStatus::Committed, true},
      {{kLoseAnswer, kRefuse}, kNone, false, SettleStatus::Committed, true},
      {{kLoseAnswer}, kRefuse, false, SettleStatus::Unknown, true},
      {{kLoseRequest}, kRefuse, false, SettleStatus::Unknown, false},
      {{}, kLoseAnswer, false, SettleStatus::Unknown, true},
      {{}, kLoseRequest, false, SettleStatus::Unknown, false},
  };
  for (size_t i = 0; i < cases.size(); ++i) {
    CAPTURE(i);
    FlakyStore store;
    if (cases[i].taken) {
      store.Transact({"", {}, {{"k", "other"}}});
    }
    store.Script(cases[i].next, cases[i].then);
    TokenisedWriter writer(store, {.deadline = 50ms, .firstPause = 1ms});
    const SettledWrite settled = writer.Write({"", {{"k", 0}}, {{"k", "own"}}});
    CHECK(settled.status == cases[i].expected);
    CHECK_FALSE(settled.token.empty());
    const auto record = store.Get("k");
    CHECK((record.has_value() && record->value == "own") == cases[i].written);
    CHECK(store.ChangesSince(0, 9).version <= 1);
  }
}

// Guards against an operator who cannot settle an unknown write later.
TEST_CASE("an unknown write can be repeated with its token") {
  FlakyStore store;
  store.Script({}, kLoseAnswer);
  TokenisedWriter writer(store, {.deadline = 20ms, .firstPause = 1ms});
  TableTransaction write{"", {{"k", 0}}, {{"k", "own"}}};
  write.token = writer.Write(write).token;
  store.Script({}, kNone);
  CHECK(writer.Write(write).status == SettleStatus::Committed);
  CHECK(store.ChangesSince(0, 9).version == 1);
}

// Guards against a planned stop that waits for a table that is down.
TEST_CASE("a stop request ends the repetitions") {
  FlakyStore store;
  store.Script({}, kLoseAnswer);
  TokenisedWriter writer(store, {.deadline = 1h, .firstPause = 1h});
  std::stop_source stop;
  std::thread stopper([&stop, &store] {
    while (store.Attempts() == 0) {
      std::this_thread::sleep_for(1ms);
    }
    stop.request_stop();
  });
  const SettledWrite settled =
      writer.Write({"", {}, {{"k", "own"}}}, stop.get_token());
  stopper.join();
  CHECK(settled.status == SettleStatus::Unknown);
  CHECK(store.Attempts() == 1);
}
