#include <doctest/doctest.h>

#include <vector>

#include "Http1/ShedPolicy.h"

using namespace fescueline;
using namespace std::chrono_literals;

namespace {

constexpr size_t kLimit = size_t{8} << 20;
constexpr size_t kLarge = 1'000'000;
constexpr size_t kSmall = 5'000;

/// A caller; aLast is the time of its last progress, aHost the last part of its
/// address.
CallerLoad Caller(CallerPhase aPhase, size_t aHeld, int aLast = 0,
                  uint8_t aHost = 1) {
  return {.phase = aPhase,
          .held = aHeld,
          .lastProgress = TimePoint(std::chrono::seconds(aLast)),
          .address = asio::ip::address_v4({10, 0, 0, aHost})};
}

struct Row {
  const char* what;
  std::vector<CallerLoad> callers;
  /// Bytes held in total.
  size_t held;
  std::optional<size_t> chosen;
};

}  // namespace

// A crowd sends bodies that stop short of their end, or reads no response.
// Guards against giving up ordinary requests for it.
TEST_CASE("the caller that holds most without a result is given up for bytes") {
  using enum CallerPhase;
  for (const Row& row : std::vector<Row>{
           {"budget kept", {Caller(Receiving, kLarge)}, kLimit / 2, {}},
           {"large body in the reserve of small requests",
            {Caller(Receiving, kSmall), Caller(Receiving, kLarge)},
            kLimit - 1,
            1},
           {"only small requests in their reserve",
            {Caller(Receiving, kSmall), Caller(InProgress, kLarge)},
            kLimit - 1,
            {}},
           {"largest first",
            {Caller(Receiving, kSmall), Caller(Receiving, kLarge),
             Caller(Receiving, kLarge + 1), Caller(Unread, 2 * kLarge)},
            kLimit + 1,
            2},
           {"address that holds most first",
            {Caller(Receiving, kLarge, 0, 1),
             Caller(Receiving, kLarge - 1, 0, 2),
             Caller(Receiving, kLarge - 2, 0, 2)},
            kLimit + 1,
            1},
           {"unread response without progress",
            {Caller(Unread, kLarge, 7), Caller(Unread, kSmall, 5),
             Caller(InProgress, kLarge, 1), Caller(Lingering, kSmall, 0)},
            kLimit + 1,
            1},
           {"nothing but requests in progress",
            {Caller(InProgress, kLarge), Caller(Idle, kSmall)},
            kLimit + 1,
            {}}}) {
    CAPTURE(row.what);
    const auto budget = std::make_shared<ByteBudget>(kLimit);
    HeldBytes held(budget);
    held.Set(row.held);
    CHECK(ShedPolicy::ChooseForBytes(row.callers, *budget) == row.chosen);
  }
}

// A crowd opens connections and sends nothing. Guards against a listener that
// is full for ordinary callers.
TEST_CASE("the connection longest without progress makes room for a new one") {
  using enum CallerPhase;
  for (const Row& row : std::vector<Row>{
           {"oldest of those without a request",
            {Caller(InProgress, kSmall, 1), Caller(Idle, kSmall, 5),
             Caller(Receiving, kSmall, 4), Caller(Unread, kSmall, 2)},
            0,
            2},
           {"address with most connections",
            {Caller(Idle, kSmall, 1, 1), Caller(Idle, kSmall, 5, 2),
             Caller(Idle, kSmall, 6, 2)},
            0,
            1},
           {"a request in progress on each",
            {Caller(InProgress, kSmall), Caller(Unread, kSmall)},
            0,
            {}}}) {
    CAPTURE(row.what);
    CHECK(ShedPolicy::ChooseForConnection(row.callers) == row.chosen);
  }
}

// Guards against bytes that stay counted after their owner has ended.
TEST_CASE("an owner returns its bytes to the budget") {
  const auto budget = std::make_shared<ByteBudget>(100);
  {
    HeldBytes first(budget);
    HeldBytes second(budget);
    first.Set(60);
    second.Set(50);
    CHECK(budget->IsExceeded());
    first.Set(10);
    CHECK(budget->Held() == 60);
    CHECK_FALSE(budget->IsExceeded());
  }
  CHECK(budget->Held() == 0);
}
