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

/// Relays a target's response to the caller. A short response is buffered until
/// it is complete, so that the request can be retried if the response breaks
/// off; a longer one is streamed. Validates the peer's frames: a body that
/// contradicts the head is rejected. The owner serialises the calls; the
/// exchange may run its callbacks on any thread.
class ResponseRelay {
 public:
  /// aHeadRequest: the method is HEAD, so the response has no body.
  ResponseRelay(HttpExchangePtr aExchange, bool aHeadRequest)
      : exchange(std::move(aExchange)), headRequest(aHeadRequest) {}

  /// Prepares for a new attempt; drops the buffered response of the previous
  /// one.
  void Begin();
  /// Handles the head of a response. False if there was one before, the status
  /// is not a final one, or a field is malformed.
  [[nodiscard]] bool OnHead(const ResponseHeadFrame& aFrame);
  /// Handles a part of the body. aTaken runs on any thread, when there is room
  /// for as much again. False if the response has no body, or if the part
  /// exceeds its length or the credit.
  [[nodiscard]] bool OnData(std::string aData,
                            const std::function<void()>& aTaken);

  /// Whether the head has arrived.
  bool HasHead() const { return this->status != 0; }
  /// Whether the head and the complete body have arrived.
  bool IsComplete() const;
  /// Whether a part of the response has been sent to the caller.
  bool IsStreamed() const { return this->streamed; }
  /// Ends a streamed response. aOnSent: see HttpExchange.
  void EndStream(bool aComplete, std::function<void()> aOnSent = {}) {
    this->exchange->EndStream(aComplete, std::move(aOnSent));
  }

  int Status() const { return this->status; }
  /// Moves the buffered response out.
  HttpResponse Take();
  /// Sends the buffered response. aOnSent: see HttpExchange.
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
  /// Body bytes not yet written to the caller's connection; shared with the
  /// callbacks that decrement it.
  std::shared_ptr<std::atomic<uint64_t>> unwritten =
      std::make_shared<std::atomic<uint64_t>>(0);
  std::string body;
};

}  // namespace fescueline
