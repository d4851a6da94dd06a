#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "Transport/Frames.h"
#include "Transport/HttpServer.h"

namespace fescueline {

/// Passes a target's response on to the caller: a short one only when it is
/// whole, so that a broken one can be repeated, a longer one as it arrives.
/// Runs on the loop.
class ResponseRelay {
 public:
  explicit ResponseRelay(HttpExchangePtr aExchange)
      : exchange(std::move(aExchange)) {}

  /// A response begins; an earlier one that was held back is dropped.
  void OnHead(const ResponseHeadFrame& aFrame);
  /// A part of the body. aTaken runs when there is room for as much again.
  void OnData(std::string aData, const std::function<void()>& aTaken);

  /// Whether the caller has got a part of the response.
  bool IsStreamed() const { return this->streamed; }
  /// Ends a response that was streamed.
  void EndStream(bool aWhole) { this->exchange->EndStream(aWhole); }

  int Status() const { return this->status; }
  /// The response that was held back.
  HttpResponse Take();

 private:
  HttpExchangePtr exchange;
  bool streamed = false;
  int status = 0;
  HttpHeaders headers;
  std::optional<uint64_t> length;
  std::string body;
};

}  // namespace fescueline
