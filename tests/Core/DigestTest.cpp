#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "Core/Digest.h"

using namespace fescueline;

namespace {
struct Base64Case {
  std::string bytes;
  std::string text;
};
}  // namespace

// Guards against tokens that decode to other bytes than were signed.
TEST_CASE("base64url round trip and rejection") {
  const std::vector<Base64Case> cases = {
      {"", ""},        {"f", "Zg"},        {"fo", "Zm8"},
      {"foo", "Zm9v"}, {"foob", "Zm9vYg"}, {"\xff\xfe", "__4"},
  };
  for (const Base64Case& row : cases) {
    CAPTURE(row.text);
    CHECK(ToBase64Url(row.bytes) == row.text);
    CHECK(FromBase64Url(row.text) == row.bytes);
  }
  for (const char* bad : {"Z", "Zh", "Zm9=", "Z m9"}) {
    CAPTURE(bad);
    CHECK_FALSE(FromBase64Url(bad).has_value());
  }
}

// Guards against a wrong HMAC construction (RFC 4231, test case 2).
TEST_CASE("HMAC-SHA256 matches the published vector") {
  CHECK(ToHex(AsBytes(HmacSha256("Jefe", "what do ya want for nothing?"))) ==
        "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}
