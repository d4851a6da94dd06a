#pragma once

#include <string>

#include "Core/Outcome.h"
#include "Core/Time.h"
#include "Transport/Frames.h"
#include "Transport/HttpMessage.h"

namespace fescueline {

/// Why a request got no response from a target.
struct Refusal {
  /// What is known about the work.
  Outcome outcome = Outcome::NotRun;
  /// Cause.
  Cause cause = Cause::None;
  /// Suggested wait before another request; 0 if repeating is pointless.
  Duration retryAfter{0};
  /// Further explanation, such as the field that was wrong.
  std::string detail;
};

/// The time, spread over half to one and a half of it, so that refused callers
/// do not come back together.
Duration WithJitter(Duration aBase);

/// HTTP status for a cause.
int StatusOf(Cause aCause);

/// The response that tells a caller of the refusal: status, headers
/// `fescueline-outcome`, `fescueline-cause` and `Retry-After`, and one line of
/// text.
HttpResponse ToResponse(const Refusal& aRefusal);

/// The frame that tells a peer that its attempt got no response, without the
/// retries and thresholds that go with it.
RefusalFrame ToFrame(uint64_t aStream, Outcome aOutcome, Cause aCause,
                     Duration aRetryAfter);

}  // namespace fescueline
