#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "Transport/FrameCodec.h"
#include "Transport/RequestContext.h"

using namespace fescueline;

namespace {
struct BadFrame {
  const char* name;
  std::string bytes;
};

std::string WithoutPrefix(const std::string& aFrame) {
  return aFrame.substr(kFramePrefixBytes);
}
}  // namespace

// Guards against fields that are lost or swapped in encoding or decoding.
TEST_CASE("a decoded frame equals the encoded one") {
  const std::string bytes =
      EncodeFrame(RequestFrame{.stream = 7,
                               .context = "token",
                               .retries = 2,
                               .sentAt = -5,
                               .method = "POST",
                               .target = "/fees?x=1",
                               .headers = {{"a", "b"}},
                               .body = std::string("\0\xff", 2)});
  CHECK(DecodeFrameLength(bytes.substr(0, kFramePrefixBytes)) ==
        bytes.size() - kFramePrefixBytes);
  const DecodedFrame frame = DecodeFrame(WithoutPrefix(bytes));
  REQUIRE(frame.type == FrameType::Request);
  const auto request = frame.As<RequestFrame>();
  CHECK(request.stream == 7);
  CHECK(request.sentAt == -5);
  CHECK(request.headers.at(0).value == "b");
  CHECK(request.body.size() == 2);
}

// Guards against crashes and unbounded memory use on malicious input.
TEST_CASE("malformed frames are rejected with an error") {
  const std::string good = WithoutPrefix(EncodeFrame(PingFrame{.sequence = 1}));
  const std::vector<BadFrame> cases = {
      {"empty", ""},
      {"truncated", good.substr(0, good.size() - 1)},
      {"not an array", "\x01"},
      {"array of one", "\x91\x01"},
      {"unknown type", "\x92\x7f\x90"},
      {"type is text", "\x92\xa1x\x90"},
      {"array length beyond the data", "\xdd\xff\xff\xff\xff"},
      {"string length beyond the data", "\x92\x0c\xdb\xff\xff\xff\xff"},
      {"nesting bomb", std::string(1000, '\x91')},
  };
  for (const BadFrame& row : cases) {
    CAPTURE(row.name);
    CHECK_THROWS_AS(DecodeFrame(row.bytes), Error);
  }
  const DecodedFrame ping = DecodeFrame(good);
  // Trailing fields may be missing, since older senders lack them. Wrong types
  // are rejected.
  CHECK_THROWS_AS(ping.As<HelloFrame>(), Error);
}

// Guards against a length prefix that makes the receiver allocate gigabytes.
TEST_CASE("frame lengths out of range are rejected") {
  CHECK_THROWS_AS(DecodeFrameLength(std::string("\0\0\0\0", 4)), Error);
  CHECK_THROWS_AS(DecodeFrameLength("\xff\xff\xff\xff"), Error);
}

namespace {
/// TokenGrantFrame of versions without request ids.
struct GrantFrameWithoutId {
  static constexpr FrameType kType = FrameType::TokenGrant;
  std::string organisation;
  uint32_t tokens = 0;
  bool mayRefuse = false;
  MSGPACK_DEFINE_ARRAY(organisation, tokens, mayRefuse)
};
}  // namespace

// Guards against a fleet that gets no tokens during a rolling upgrade.
TEST_CASE("token grants with and without a request id are compatible") {
  const std::string earlier = EncodeFrame(GrantFrameWithoutId{
      .organisation = "acme", .tokens = 3, .mayRefuse = true});
  const auto read = DecodeFrame(WithoutPrefix(earlier)).As<TokenGrantFrame>();
  CHECK(read.tokens == 3);
  CHECK(read.mayRefuse);
  CHECK(read.requestId == 0);
  const std::string later = EncodeFrame(
      TokenGrantFrame{.organisation = "acme", .tokens = 3, .requestId = 7});
  CHECK(DecodeFrame(WithoutPrefix(later)).As<TokenGrantFrame>().requestId == 7);
  CHECK(DecodeFrame(WithoutPrefix(later)).As<GrantFrameWithoutId>().tokens ==
        3);
}

// Guards against contexts that were modified in transit or forged by a target.
TEST_CASE("a request context is accepted only with a valid signature") {
  const RequestContext context{.organisation = "acme",
                               .rootId = {1, 2},
                               .attemptId = {3, 4},
                               .service = "fees",
                               .importance = Importance::Critical,
                               .idempotent = false,
                               .remaining = std::chrono::seconds(3),
                               .depth = 2};
  const std::string token = SignContext(context, "secret");
  const auto verified = VerifyContext(token, "secret");
  REQUIRE(verified.has_value());
  CHECK(verified->organisation == "acme");
  CHECK(verified->importance == Importance::Critical);
  CHECK(verified->remaining == std::chrono::seconds(3));
  CHECK_FALSE(VerifyContext(token, "other secret").has_value());
  for (size_t i = 0; i < token.size(); ++i) {
    CAPTURE(i);
    std::string changed = token;
    changed[i] = changed[i] == 'A' ? 'B' : 'A';
    CHECK_FALSE(VerifyContext(changed, "secret").has_value());
    CHECK_FALSE(VerifyContext(token.substr(0, i), "secret").has_value());
  }
}
