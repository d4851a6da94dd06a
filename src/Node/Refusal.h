#pragma once

#include <string>

#include "Core/Outcome.h"
#include "Core/Time.h"
#include "Transport/Frames.h"
#include "Transport/HttpMessage.h"

namespace fescueline {

/// Why a request got no response from a target.
struct Refusal {
  /// Whether the request may have run.
  Outcome outcome = Outcome::NotRun;
  Cause cause = Cause::None;
  /// Suggested wait before a retry; 0 if a retry is pointless.
  Duration retryAfter{0};
  /// Further explanation, such as the invalid field.
  std::string detail;
};

/// A random time from 0.5 to 1.5 times aBase, so that refused callers do not
/// retry at the same time.
Duration WithJitter(Duration aBase);

/// HTTP status for a cause.
int StatusOf(Cause aCause);

/// The response to a refused caller: status, headers `fescueline-outcome`,
/// `fescueline-cause` and `Retry-After`, and one line of text.
HttpResponse ToResponse(const Refusal& aRefusal);

/// The frame for a peer whose attempt got no response. The caller adds unspent
/// retries and thresholds.
RefusalFrame ToFrame(uint64_t aStream, Outcome aOutcome, Cause aCause,
                     Duration aRetryAfter);

}  // namespace fescueline
