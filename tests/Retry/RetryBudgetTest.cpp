#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

#include "Core/RandomSource.h"
#include "Retry/RetryBudget.h"
#include "Retry/RetryPolicy.h"

using namespace fescueline;
using namespace std::chrono_literals;

namespace {
/// Response of a child call, as received by its parent.
struct ChildReply {
  bool lost = false;
  Outcome outcome = Outcome::Ran;
  uint32_t unspent = 0;
};

/// A tree of calls with random failures. Each node holds the budget that its
/// parent granted, makes child calls in parallel or sequentially, and retries
/// failed calls as the policy and the budget allow.
class CallTree {
 public:
  CallTree(RandomSource& aRandom, uint32_t aDepth)
      : random(aRandom), maxDepth(aDepth) {}

  /// Runs the root call with a budget and counts retries and lost responses.
  void Run(uint32_t aRetries) {
    RetryBudget budget(aRetries);
    this->Call(budget, 0);
  }

  uint32_t retries = 0;
  uint32_t lostReplies = 0;
  uint32_t deepest = 0;

 private:
  struct PendingCall {
    uint32_t granted;
    ChildReply reply;
  };

  /// Sends one attempt with a random part of the budget.
  PendingCall Send(RetryBudget& aBudget, uint32_t aDepth) {
    const auto wanted =
        static_cast<uint32_t>(this->random.NextBelow(aBudget.Remaining() + 2));
    const uint32_t granted = aBudget.Grant(wanted);
    return {.granted = granted, .reply = this->Attempt(granted, aDepth)};
  }

  /// Makes one call with its retries.
  void Call(RetryBudget& aBudget, uint32_t aDepth) {
    this->Complete(aBudget, aDepth, this->Send(aBudget, aDepth));
  }

  /// Ends an attempt; retries on failure while policy and budget allow.
  void Complete(RetryBudget& aBudget, uint32_t aDepth, PendingCall aCall) {
    while (true) {
      aBudget.Return(aCall.granted, aCall.reply.lost ? 0 : aCall.reply.unspent);
      const FailedCall failed{
          .outcome = aCall.reply.lost ? Outcome::Unknown : aCall.reply.outcome,
          .cause = Cause::ConnectionLost,
          .idempotent = true,
          .onThisHop = true,
          .remaining = 1s};
      if (!RetryPolicy({}).MayRetry(failed) || !aBudget.Spend()) {
        return;
      }
      ++this->retries;
      aCall = this->Send(aBudget, aDepth);
    }
  }

  /// Runs an attempt at the target's node.
  ChildReply Attempt(uint32_t aGranted, uint32_t aDepth) {
    this->deepest = std::max(this->deepest, aDepth);
    if (this->random.NextDouble() < 0.3) {
      return {.lost = false, .outcome = Outcome::NotRun, .unspent = aGranted};
    }
    RetryBudget budget(aGranted);
    if (aDepth < this->maxDepth) {
      // One chain to the full depth, with short side branches.
      this->Call(budget, aDepth + 1);
      const uint64_t fanOut = this->random.NextBelow(3);
      std::vector<PendingCall> parallel;
      for (uint64_t i = 0; i < fanOut; ++i) {
        parallel.push_back(
            this->Send(budget, std::max(aDepth + 1, this->maxDepth - 1)));
      }
      for (const PendingCall& call : parallel) {
        this->Complete(budget, std::max(aDepth + 1, this->maxDepth - 1), call);
      }
    }
    const bool lost = this->random.NextDouble() < 0.2;
    this->lostReplies += lost;
    return {
        .lost = lost, .outcome = Outcome::Ran, .unspent = budget.Remaining()};
  }

  RandomSource& random;
  uint32_t maxDepth;
};
}  // namespace

// Guards against retries that multiply along a chain or over a fan-out.
TEST_CASE("retries of a tree of calls stay within the root's budget") {
  uint32_t deepest = 0;
  uint64_t exhausted = 0;
  uint64_t lost = 0;
  constexpr uint64_t kTrees = 20000;
  for (uint64_t seed = 0; seed < kTrees; ++seed) {
    CAPTURE(seed);
    RandomSource random(seed);
    const auto depth = static_cast<uint32_t>(1 + random.NextBelow(19));
    const auto retries = static_cast<uint32_t>(random.NextBelow(11));
    CallTree tree(random, depth);
    tree.Run(retries);
    REQUIRE(tree.retries <= retries);
    deepest = std::max(deepest, tree.deepest);
    exhausted += retries > 0 && tree.retries == retries;
    lost += tree.lostReplies;
  }
  // Checks that the trees are deep and lossy enough to reach the bound.
  CHECK(deepest >= 19);
  CHECK(exhausted > kTrees / 100);
  CHECK(lost > kTrees / 10);
}

// Guards against parallel child calls that together get more than the remaining
// budget.
TEST_CASE("parallel grants share the remaining budget") {
  RetryBudget budget(3);
  CHECK(budget.Grant(2) == 2);
  CHECK(budget.Grant(2) == 1);
  CHECK(budget.Grant(1) == 0);
  CHECK_FALSE(budget.Spend());
  budget.Return(1, 1);
  CHECK(budget.Remaining() == 1);
  budget.Return(2, 0);
  CHECK(budget.Spend());
  CHECK(budget.Remaining() == 0);
}

// Guards against a child call that creates retries by returning too many,
// twice, or without a grant.
TEST_CASE("returns never create retries") {
  const bool holds = rc::check("hostile returns", [] {
    const uint32_t initial = *rc::gen::inRange(0, 11);
    RetryBudget budget(initial);
    uint32_t spent = 0;
    for (const auto& [first, second] :
         *rc::gen::arbitrary<std::vector<std::pair<uint8_t, uint32_t>>>()) {
      switch (first % 3) {
        case 0:
          budget.Grant(second % 12);
          break;
        case 1:
          budget.Return(first, second);
          break;
        default:
          spent += budget.Spend();
          break;
      }
      RC_ASSERT(spent + budget.Remaining() <= initial);
    }
  });
  CHECK(holds);
}
