#include <doctest/doctest.h>

#include <deque>

#include "Node/ResponseRelay.h"

using namespace fescueline;

namespace {

/// Exchange of a caller that takes parts only when the test says so.
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

  /// Lets the caller take the oldest part.
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

// Pattern: a peer sends on although the caller takes nothing. Guards against
// memory without bound for one response.
TEST_CASE("a relay holds no more than the credit of a response") {
  const auto exchange = std::make_shared<SlowExchange>();
  ResponseRelay relay(exchange, false);
  REQUIRE(relay.OnHead({.status = 200}));
  const std::string part(kMaxDataBytes, 'x');
  size_t credited = 0;
  const auto send = [&] {
    return relay.OnData(part, [&credited] { credited += kMaxDataBytes; });
  };
  size_t sent = 0;
  // As a sender with credit does, and one read beyond it.
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
