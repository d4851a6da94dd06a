#include <doctest/doctest.h>

#include <deque>

#include "Node/ResponseRelay.h"

using namespace fescueline;

namespace {

/// Exchange of a caller that reads parts only when the test calls Take.
class SlowExchange final : public HttpExchange {
 public:
  HttpRequest& Request() override { return this->request; }
  void OnAbort(std::function<void()>) override {}
  void Respond(HttpResponse, std::function<void()>) override {}
  void StartStream(int, HttpHeaders, std::optional<uint64_t>) override {}
  void Write(std::string, std::function<void()> aOnWritten) override {
    this->parts.push_back(std::move(aOnWritten));
  }
  void EndStream(bool, std::function<void()>) override {}

  /// Completes the write of the oldest part.
  void Take() {
    const auto taken = std::move(this->parts.front());
    this->parts.pop_front();
    taken();
  }

  std::deque<std::function<void()>> parts;

 private:
  HttpRequest request;
};

}  // namespace

// A peer keeps sending although the caller reads nothing. Guards against
// unbounded memory for one response.
TEST_CASE("a relay buffers no more than the credit of a response") {
  const auto exchange = std::make_shared<SlowExchange>();
  ResponseRelay relay(exchange, false);
  REQUIRE(relay.OnHead({.status = 200}));
  const std::string part(kMaxDataBytes, 'x');
  size_t credited = 0;
  const auto send = [&] {
    return relay.OnData(part, [&credited] { credited += kMaxDataBytes; });
  };
  size_t sent = 0;
  // A sender uses its credit and may exceed it by one read.
  while (static_cast<int64_t>(sent) - static_cast<int64_t>(credited) <
         kInitialCredit) {
    REQUIRE(send());
    sent += kMaxDataBytes;
  }
  CHECK(send());
  CHECK_FALSE(send());
  exchange->Take();
  CHECK(send());
  CHECK_FALSE(send());
}

// A peer passes on a head that its target should not have sent. Guards against
// a status or a field that is no part of HTTP reaching a caller.
TEST_CASE("a relay takes only the head of a final HTTP response") {
  struct Row {
    ResponseHeadFrame head;
    bool accepted;
  };
  for (const Row& row : std::vector<Row>{
           {{.status = 200}, true},
           {{.status = 599, .headers = {{"X-Mark", "a\tb"}}}, true},
           {{.status = 0}, false},
           {{.status = 99}, false},
           {{.status = 103}, false},
           {{.status = 600}, false},
           {{.status = 65535}, false},
           {{.status = 200, .headers = {{"X Mark", "a"}}}, false},
           {{.status = 200, .headers = {{"Content-Length ", "2"}}}, false},
           {{.status = 200, .headers = {{"", "a"}}}, false},
           {{.status = 200, .headers = {{"X\x7f", "a"}}}, false},
           {{.status = 200, .headers = {{"X", "a\r\nY: b"}}}, false}}) {
    CAPTURE(row.head.status);
    ResponseRelay relay(std::make_shared<SlowExchange>(), false);
    CHECK(relay.OnHead(row.head) == row.accepted);
    CHECK(relay.HasHead() == row.accepted);
  }
}
