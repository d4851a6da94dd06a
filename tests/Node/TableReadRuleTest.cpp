#include <doctest/doctest.h>

#include <vector>

#include "Node/TableReadRule.h"

using namespace fescueline;
using namespace std::chrono_literals;

// Guards against table reads that grow with the fleet, and against nodes that
// neither relays nor the table keep fresh.
TEST_CASE("in a large fleet only vouchers and ageing nodes read the table") {
  struct Row {
    const char* name;
    size_t members;
    bool isVoucher;
    std::optional<Duration> age;
    bool reads;
  };
  const std::vector<Row> rows = {
      {"no member known", 0, false, std::nullopt, true},
      {"small fleet", 64, false, 10ms, true},
      {"large fleet", 65, false, 10ms, false},
      {"large fleet, voucher", 10'000, true, 10ms, true},
      {"large fleet, half of the limit", 10'000, false, 2s, false},
      {"large fleet, ageing", 10'000, false, 2001ms, true},
      {"large fleet, never renewed", 10'000, false, std::nullopt, true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CHECK(ShouldReadTable({.members = row.members,
                           .isVoucher = row.isVoucher,
                           .age = row.age,
                           .freshnessLimit = 4s}) == row.reads);
  }
}
