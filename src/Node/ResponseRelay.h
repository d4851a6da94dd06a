#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "Transport/Frames.h"
#include "Transport/HttpServer.h"

namespace fescueline {

/// Passes a target's response on to the caller: a short one only when it is
/// whole, so that a broken one can be repeated, a longer one as it arrives.
/// Does not rely on the peer: what does not fit the response's head is refused.
/// Its owner serialises the calls; the exchange may run its callbacks on any
/// thread.
class ResponseRelay {
 public:
  /// aHeadRequest: the caller wants no body.
  ResponseRelay(HttpExchangePtr aExchange, bool aHeadRequest)
      : exchange(std::move(aExchange)), headRequest(aHeadRequest) {}

  /// Another attempt begins: drops what was held back of the one before.
  void Begin();
  /// A response begins. False if it has begun before or is no response.
  [[nodiscard]] bool OnHead(const ResponseHeadFrame& aFrame);
  /// A part of the body. aTaken runs when there is room for as much again, on
  /// any thread.
  /// False if the part belongs to no response or is more than there may be.
  [[nodiscard]] bool OnData(std::string aData,
                            const std::function<void()>& aTaken);

  /// Whether the response has begun.
  bool HasHead() const { return this->status != 0; }
  /// Whether the response has begun and its body fits the head.
  bool IsWhole() const;
  /// Whether the caller has got a part of the response.
  bool IsStreamed() const { return this->streamed; }
  /// Ends a response that was streamed. aOnSent runs as that of HttpExchange.
  void EndStream(bool aWhole, std::function<void()> aOnSent = {}) {
    this->exchange->EndStream(aWhole, std::move(aOnSent));
  }

  int Status() const { return this->status; }
  /// The response that was held back.
  HttpResponse Take();
  /// Passes the response that was held back on. aOnSent runs as that of
  /// HttpExchange.
  void Deliver(std::function<void()> aOnSent = {});

 private:
  HttpExchangePtr exchange;
  bool headRequest;
  bool streamed = false;
  /// 0 before the head.
  int status = 0;
  HttpHeaders headers;
  std::optional<uint64_t> length;
  /// Body bytes that have arrived.
  uint64_t received = 0;
  /// Body bytes that the caller's connection has not taken yet; shared with
  /// the callbacks that count it down.
  std::shared_ptr<std::atomic<uint64_t>> waiting =
      std::make_shared<std::atomic<uint64_t>>(0);
  std::string body;
};

}  // namespace fescueline
