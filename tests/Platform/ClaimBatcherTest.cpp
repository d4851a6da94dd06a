#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

#include "Platform/ClaimBatcher.h"
#include "Platform/FlakyStore.h"
#include "Platform/StandInProcess.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

constexpr auto kNone = TableFault::None;
constexpr auto kRefuse = TableFault::Refuse;
constexpr auto kLoseRequest = TableFault::LoseRequest;
constexpr auto kLoseResponse = TableFault::LoseResponse;

constexpr auto kClaimed = ClaimResult::Claimed;
constexpr auto kDuplicate = ClaimResult::Duplicate;
constexpr auto kUnavailable = ClaimResult::Unavailable;
constexpr auto kUnknown = ClaimResult::Unknown;

/// Records claims and their results, in order of submission.
class ClaimLog {
 public:
  /// Submits a claim of organisation "acme".
  template <typename Batcher>
  void Submit(Batcher& aBatcher, const std::string& aKey, uint64_t aRoot) {
    const Claim claim{"acme", aKey, Id128{.high = 1, .low = aRoot}};
    const std::lock_guard lock(this->mutex);
    const size_t index = this->results.size();
    this->results.emplace_back();
    this->claims.push_back(claim);
    aBatcher.Submit(claim, [this, index](ClaimResult aResult) {
      const std::lock_guard inner(this->mutex);
      this->results[index].push_back(aResult);
      this->changed.notify_all();
    });
  }
  /// Waits until every claim has a result, and returns the results.
  std::vector<ClaimResult> Wait() {
    std::unique_lock lock(this->mutex);
    const bool complete = this->changed.wait_for(lock, 30s, [this] {
      return std::none_of(this->results.begin(), this->results.end(),
                          [](const auto& aList) { return aList.empty(); });
    });
    REQUIRE(complete);
    std::vector<ClaimResult> first;
    for (const auto& list : this->results) {
      CHECK(list.size() == 1);
      first.push_back(list.front());
    }
    return first;
  }
  /// Submitted claims, in order.
  const std::vector<Claim>& Claims() const { return this->claims; }

 private:
  /// Recursive, as Submit may call the callback on the calling thread.
  std::recursive_mutex mutex;
  /// Signalled for each result.
  std::condition_variable_any changed;
  std::vector<Claim> claims;
  /// Results of each claim; exactly one is expected.
  std::vector<std::vector<ClaimResult>> results;
};

/// Options with short times, for scripted stores.
ClaimBatcher<FlakyStore>::Options FastOptions() {
  return {.interval = 1ms,
          .retryPeriod = 5ms,
          .writer = {.deadline = 40ms, .initialBackoff = 1ms}};
}

/// Root ids of the request under test and of another request.
constexpr uint64_t kOwnRoot = 7;
constexpr uint64_t kOtherRoot = 8;

std::string TableKeyOf(const std::string& aKey) {
  return Claim{"acme", aKey, {}}.TableKey();
}

void WriteClaim(FlakyStore& aStore, const std::string& aKey, uint64_t aRoot) {
  aStore.Transact({"", {}, {{TableKeyOf(aKey), Id128{1, aRoot}.ToString()}}});
}

/// Claims the keys in one batch. Its transactions fail as given by aNext, and
/// further ones as given by aThen.
std::vector<ClaimResult> ClaimTogether(FlakyStore& aStore,
                                       const std::vector<std::string>& aKeys,
                                       std::deque<TableFault> aNext,
                                       TableFault aThen) {
  ClaimLog log;
  ClaimBatcher batcher(aStore, FastOptions());
  const int before = aStore.Attempts();
  // Blocks the first batch until all claims of the second are queued.
  aNext.push_front(kNone);
  aStore.Script(std::move(aNext), aThen);
  {
    const auto hold = aStore.Hold();
    log.Submit(batcher, "warm-up", kOtherRoot);
    while (aStore.Attempts() == before) {
      std::this_thread::sleep_for(1ms);
    }
    for (const std::string& key : aKeys) {
      log.Submit(batcher, key, kOwnRoot);
    }
  }
  std::vector<ClaimResult> results = log.Wait();
  CHECK(results.front() == kClaimed);
  results.erase(results.begin());
  return results;
}

/// Claims of one batch and their expected results.
struct BatchCase {
  /// Keys already claimed by another request.
  std::vector<std::string> taken;
  std::vector<std::string> keys;
  /// Faults of the batch's transactions, and of all further ones.
  std::deque<TableFault> next;
  TableFault then;
  std::vector<ClaimResult> expected;
};

/// Whether the result of a claim with the root id agrees with the table.
bool IsConsistent(ClaimResult aResult,
                  const std::optional<TableRecord>& aRecord,
                  const Id128& aRoot) {
  const bool own = aRecord.has_value() && aRecord->value == aRoot.ToString();
  switch (aResult) {
    case kClaimed:
      return own;
    case kDuplicate:
      return aRecord.has_value();
    case kUnavailable:
      return !own;
    case kUnknown:
      return true;
  }
  return false;
}

}  // namespace

// Guards against a claim that fails because of another claim in its batch,
// and against a wrong result when the table refuses transactions or loses
// responses.
TEST_CASE("each claim of a batch gets its own result") {
  const std::vector<BatchCase> cases = {
      {{}, {"a", "b"}, {}, kNone, {kClaimed, kClaimed}},
      {{"b"}, {"a", "b", "c"}, {}, kNone, {kClaimed, kDuplicate, kClaimed}},
      {{"a", "b", "c", "d", "e", "f"},
       {"a", "b", "c", "x", "d", "e", "f"},
       {},
       kNone,
       {kDuplicate, kDuplicate, kDuplicate, kClaimed, kDuplicate, kDuplicate,
        kDuplicate}},
      {{}, {"a", "a", "b"}, {}, kNone, {kClaimed, kDuplicate, kClaimed}},
      {{"a"}, {"a", "a"}, {}, kNone, {kDuplicate, kDuplicate}},
      {{}, {"a", "b"}, {}, kRefuse, {kUnavailable, kUnavailable}},
      {{}, {"a", "b"}, {kRefuse}, kNone, {kClaimed, kClaimed}},
      {{"a"}, {"a", "b"}, {kNone}, kRefuse, {kDuplicate, kUnavailable}},
      {{}, {"a", "b"}, {kLoseResponse}, kNone, {kClaimed, kClaimed}},
      {{"a"}, {"a", "b"}, {kLoseResponse}, kNone, {kDuplicate, kClaimed}},
      {{}, {"a", "b"}, {kLoseRequest}, kNone, {kClaimed, kClaimed}},
      {{}, {"a", "a"}, {kLoseResponse}, kRefuse, {kUnknown, kUnavailable}},
      {{}, {"a", "b"}, {kLoseRequest}, kRefuse, {kUnknown, kUnknown}},
  };
  for (size_t i = 0; i < cases.size(); ++i) {
    CAPTURE(i);
    FlakyStore store;
    for (const std::string& key : cases[i].taken) {
      WriteClaim(store, key, kOtherRoot);
    }
    CHECK(ClaimTogether(store, cases[i].keys, cases[i].next, cases[i].then) ==
          cases[i].expected);
  }
}

// Guards against a batch with many duplicates that uses one write of the table
// for each of them.
TEST_CASE("many conflicts in a batch take few transactions") {
  FlakyStore store;
  std::vector<std::string> keys;
  for (int i = 0; i < 100; ++i) {
    keys.push_back("k" + std::to_string(i));
    if (i % 2 == 0) {
      WriteClaim(store, keys.back(), kOtherRoot);
    }
  }
  const int before = store.Attempts();
  const auto results = ClaimTogether(store, keys, {}, kNone);
  CHECK(std::count(results.begin(), results.end(), kClaimed) == 50);
  CHECK(std::count(results.begin(), results.end(), kDuplicate) == 50);
  CHECK(store.Attempts() - before <= 6);
}

// Guards against claims reported as duplicates of themselves, so that no
// request may run: a response is lost, the table drops the token, and the retry
// conflicts with the batch's own claims.
TEST_CASE("a conflict with the batch's own claims is recognised") {
  FlakyStore store({.rememberedTokens = 0});
  CHECK(ClaimTogether(store, {"a", "b"}, {kLoseResponse}, kNone) ==
        std::vector{kClaimed, kClaimed});
}

// Guards against taking an older claim with the same root id for proof that
// the whole batch was committed.
TEST_CASE(
    "an older claim of the same request does not confirm the rest of a batch") {
  // The order of the keys in a batch is unspecified, so both are tried.
  for (const bool olderFirst : {false, true}) {
    CAPTURE(olderFirst);
    FlakyStore store({.rememberedTokens = 0});
    WriteClaim(store, "older", kOwnRoot);
    std::vector<std::string> keys{"older", "new"};
    std::vector<ClaimResult> expected{kDuplicate, kClaimed};
    if (!olderFirst) {
      std::reverse(keys.begin(), keys.end());
      std::reverse(expected.begin(), expected.end());
    }
    CHECK(ClaimTogether(store, keys, {kLoseRequest}, kNone) == expected);
    CHECK(store.Get(TableKeyOf("new")).has_value());
  }
  // Two older claims, written by different transactions.
  FlakyStore store({.rememberedTokens = 0});
  WriteClaim(store, "a", kOwnRoot);
  WriteClaim(store, "b", kOwnRoot);
  CHECK(ClaimTogether(store, {"a", "b"}, {kLoseRequest}, kNone) ==
        std::vector{kDuplicate, kDuplicate});
}

// Guards against results that contradict the table, for any order of faults.
TEST_CASE("results agree with the table for random faults") {
  const bool holds = rc::check([] {
    FlakyStore store;
    const auto script = *rc::gen::container<std::deque<TableFault>>(
        rc::gen::element(kNone, kNone, kRefuse, kLoseRequest, kLoseResponse));
    const auto keys =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    ClaimLog log;
    {
      auto options = FastOptions();
      options.interval = 100us;
      options.writer.deadline = 5ms;
      options.writer.initialBackoff = 100us;
      store.Script(script, kNone);
      ClaimBatcher first(store, options);
      ClaimBatcher second(store, options);
      uint64_t root = 0;
      for (const int key : keys) {
        ++root;
        log.Submit(root % 2 == 0 ? first : second, std::to_string(key), root);
      }
    }
    const std::vector<ClaimResult> results = log.Wait();
    std::map<std::string, int> claimed;
    for (size_t i = 0; i < results.size(); ++i) {
      const Claim& claim = log.Claims()[i];
      RC_ASSERT(
          IsConsistent(results[i], store.Get(claim.TableKey()), claim.rootId));
      claimed[claim.idempotencyKey] += results[i] == kClaimed ? 1 : 0;
      RC_ASSERT(claimed[claim.idempotencyKey] <= 1);
    }
  });
  CHECK(holds);
}

// Guards against claims without a result when a node stops, and against
// unbounded memory while the table is slow.
TEST_CASE("every claim gets one result when the batcher is destroyed or full") {
  FlakyStore store;
  ClaimLog log;
  auto options = FastOptions();
  options.maxWaiting = 10;
  options.retryPeriod = 1h;
  options.writer.deadline = 1h;
  store.Script({}, kRefuse);
  {
    ClaimBatcher batcher(store, options);
    for (int i = 0; i < 50; ++i) {
      log.Submit(batcher, std::to_string(i), kOwnRoot);
    }
  }
  const std::vector<ClaimResult> results = log.Wait();
  CHECK(std::count(results.begin(), results.end(), kUnavailable) == 50);
  CHECK(store.List("").empty());
}

// Guards against a key that is claimed by two nodes, or by none, when both
// claim it at the same time and the table loses responses.
TEST_CASE("two batchers claim each key exactly once") {
  const StandInProcess standIn;
  standIn.Control(R"({"writes_per_second":1e6,"reads_per_second":1e6})");
  HttpTableStore stores[] = {standIn.OpenTable("claims"),
                             standIn.OpenTable("claims")};
  constexpr uint64_t kKeys = 300;
  ClaimLog logs[2];
  {
    ClaimBatcher first(stores[0], {.writer = {.deadline = 20s}});
    ClaimBatcher second(stores[1], {.writer = {.deadline = 20s}});
    for (uint64_t i = 0; i < kKeys; ++i) {
      if (i % 50 == 0) {
        standIn.Control(R"({"lose_answers":3})");
      }
      logs[0].Submit(first, std::to_string(i), 2 * i);
      logs[1].Submit(second, std::to_string(kKeys - 1 - i), 2 * i + 1);
      if (i % 10 == 0) {
        std::this_thread::sleep_for(2ms);
      }
    }
    logs[0].Wait();
    logs[1].Wait();
  }
  HttpTableStore table = standIn.OpenTable("claims");
  std::map<std::string, std::string> winners;
  for (ClaimLog& log : logs) {
    const std::vector<ClaimResult> results = log.Wait();
    for (size_t i = 0; i < results.size(); ++i) {
      const Claim& claim = log.Claims()[i];
      CHECK((results[i] == kClaimed || results[i] == kDuplicate));
      if (results[i] == kClaimed) {
        CHECK(
            winners.emplace(claim.TableKey(), claim.rootId.ToString()).second);
      }
    }
  }
  const std::vector<TableRecord> records = table.List("claim/acme/");
  CHECK(records.size() == kKeys);
  CHECK(winners.size() == kKeys);
  for (const TableRecord& record : records) {
    CHECK(winners[record.key] == record.value);
  }
  CHECK(standIn.Stat("answers_lost") > 0);
  CHECK(standIn.Stat("writes") < kKeys);
}

// Guards against Unknown or Claimed while the table is down, and against a
// batcher that does not recover.
TEST_CASE("claims are refused while the table is down and work afterwards") {
  StandInProcess standIn;
  HttpTableStore store = standIn.OpenTable("claims", 300ms);
  ClaimBatcher batcher(store, {});
  ClaimLog log;
  standIn.Control(R"({"down":true})");
  log.Submit(batcher, "a", 1);
  CHECK(log.Wait() == std::vector{kUnavailable});
  standIn.Control(R"({"down":false})");
  log.Submit(batcher, "a", 2);
  CHECK(log.Wait() == std::vector{kUnavailable, kClaimed});
  standIn.Stop();
  log.Submit(batcher, "a", 3);
  CHECK(log.Wait().back() == kUnavailable);
}
