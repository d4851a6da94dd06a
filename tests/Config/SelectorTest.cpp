#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Config/ConfigError.h"
#include "Config/LabelSet.h"
#include "Config/Selector.h"

using namespace fescueline;

namespace {
struct MatchCase {
  std::string selector;
  bool matches;
};

struct ErrorCase {
  std::string selector;
  std::string description;
};

const std::string kNameMessage =
    " must be 1 to 63 letters, digits, '.', '_' or '-', beginning with a "
    "letter or digit";

std::string ErrorOf(std::string_view aText) {
  try {
    Selector::Parse(aText);
  } catch (const ConfigError& error) {
    return error.Description();
  }
  return "accepted";
}
}  // namespace

// Guards against selectors that match other requests than the operator intends.
TEST_CASE("selectors match according to the syntax") {
  const LabelSet labels{{"service", "fees"}, {"method", "POST"}, {"beta", ""}};
  const auto lookUp = [&](std::string_view aName) {
    return labels.Find(aName);
  };
  const std::vector<MatchCase> cases = {
      {"", true},
      {"  ", true},
      {"service=fees", true},
      {"service==fees", true},
      {"service = fees , method==POST", true},
      {"service=fees,method=GET", false},
      {"service!=fees", false},
      {"service!=orders", true},
      {"organisation!=acme", true},
      {"organisation=acme", false},
      {"method in (POST,PUT)", true},
      {"method in(GET)", false},
      {"method notin (GET, PUT)", true},
      {"method notin (POST)", false},
      {"organisation notin (acme)", true},
      {"organisation in (acme)", false},
      {"beta", true},
      {"!beta", false},
      {"! alpha", true},
      {"alpha", false},
      {"in in (x)", false},
      {"service=fees,method in (POST,PUT),organisation!=acme,!alpha", true},
  };
  for (const MatchCase& row : cases) {
    CAPTURE(row.selector);
    CHECK(Selector::Parse(row.selector).Matches(lookUp) == row.matches);
  }
}

// Guards against errors without a position, and against control characters in
// labels.
TEST_CASE("selector errors give the column") {
  const std::vector<ErrorCase> cases = {
      {",", "selector: column 1: a label name" + kNameMessage},
      {"a=b,", "selector: column 5: a label name" + kNameMessage},
      {"a=", "selector: column 3: a value" + kNameMessage},
      {"a in x", "selector: column 6: expected '('"},
      {"a in (x", "selector: column 8: expected ',' or ')'"},
      {"a in ()", "selector: column 7: a value" + kNameMessage},
      {"a b",
       "selector: column 3: expected '=', '==', '!=', 'in', 'notin' or ','"},
      {"a=b c", "selector: column 5: expected ',' or the end of the selector"},
      {"a===b", "selector: column 4: a value" + kNameMessage},
      {"!!a", "selector: column 2: a label name" + kNameMessage},
      {"a=x\r\ny", "selector: column 3: a value" + kNameMessage},
      {"a=b)", "selector: column 4: expected ',' or the end of the selector"},
      {"a=" + std::string(64, 'x'),
       "selector: column 3: a value" + kNameMessage},
  };
  for (const ErrorCase& row : cases) {
    CAPTURE(row.selector);
    CHECK(ErrorOf(row.selector) == row.description);
  }
}

// Guards against rules with unbounded cost per request.
TEST_CASE("selectors are bounded in size") {
  std::string requirements = "a";
  std::string values = "a in (x";
  for (int index = 0; index < 100; ++index) {
    requirements += ",a";
    values += ",x";
  }
  CHECK(ErrorOf(requirements).find("more than 32") != std::string::npos);
  CHECK(ErrorOf(values + ")").find("more than 64") != std::string::npos);
}
