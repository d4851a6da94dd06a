#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Core/BoundedJson.h"

using namespace fescueline;

namespace {
std::string Nested(size_t aDepth) {
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

/// Fault of a call; nullopt if it succeeds.
std::optional<JsonFault> FaultOf(const std::function<void()>& aCall) {
  try {
    aCall();
    return std::nullopt;
  } catch (const JsonError& failure) {
    return failure.Fault();
  }
}
}  // namespace

// Guards against a document that overflows the stack when it is copied, and
// against one that takes memory without a bound.
TEST_CASE("documents beyond a limit are rejected") {
  struct Row {
    const char* name;
    std::string text;
    std::optional<JsonFault> fault;
  };
  const JsonLimits limits{
      .maxBytes = 1'000'000, .maxNesting = 8, .allowDuplicateFields = false};
  for (const Row& row : std::vector<Row>{
           {"empty", "", JsonFault::Malformed},
           {"truncated", R"({"a":)", JsonFault::Malformed},
           {"not UTF-8", "{\"a\":\"\xff\"}", JsonFault::Malformed},
           {"number too large", R"({"a":1e999})", JsonFault::Malformed},
           {"at the depth limit", Nested(8), std::nullopt},
           {"nested too deeply", Nested(10), JsonFault::TooDeep},
           {"nested very deeply", Nested(200'000), JsonFault::TooDeep},
           {"very deep and unterminated", std::string(400'000, '['),
            JsonFault::TooDeep},
           {"too long", std::string(1'000'001, ' '), JsonFault::TooLong},
           {"same name in two objects", R"([{"a":1},{"a":2}])", std::nullopt},
           {"same name twice", R"({"a":1,"a":2})",
            JsonFault::DuplicateField}}) {
    CAPTURE(std::string(row.name));
    CHECK(FaultOf([&] { ParseJson(row.text, limits); }) == row.fault);
  }
}

// Guards against conversions of numbers that their type cannot hold.
TEST_CASE("numbers outside their range are rejected") {
  struct Row {
    std::string text;
    std::optional<JsonFault> whole;
    std::optional<JsonFault> number;
  };
  const auto type = JsonFault::WrongType;
  const auto range = JsonFault::OutOfRange;
  for (const Row& row : std::vector<Row>{{"0", {}, {}},
                                         {"100", {}, {}},
                                         {"101", range, range},
                                         {"-1", type, range},
                                         {"1.5", type, {}},
                                         {"1e300", type, range},
                                         {"9223372036854775808", range, range},
                                         {"18446744073709551615", range, range},
                                         {"99999999999999999999", type, range},
                                         {"\"1\"", type, type},
                                         {"null", type, type},
                                         {"[]", type, type}}) {
    CAPTURE(row.text);
    const auto value = nlohmann::json::parse(row.text);
    CHECK(FaultOf([&] { WholeNumber(value, "n", 100); }) == row.whole);
    CHECK(FaultOf([&] { NumberBetween(value, "n", 0, 100); }) == row.number);
  }
}
