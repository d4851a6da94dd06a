#pragma once

#include <optional>

#include "Core/Outcome.h"
#include "Core/Time.h"
#include "Transport/HttpMessage.h"

namespace fescueline {

/// Retry-After time for a refused caller: the suggested time, limited so that
/// the caller can retry within its remaining time. aUnit (0 to 1, random)
/// spreads the result over the upper half of that time, so that refused callers
/// do not retry simultaneously.
Duration RetryAfterTime(Duration aSuggested, Duration aLeft, double aUnit);

/// Response to a caller whose request got no response from a target. The status
/// means "not run" if and only if that is the outcome. aWait sets Retry-After.
HttpResponse CallerRefusal(Outcome aOutcome, Cause aCause,
                           std::optional<Duration> aWait);

}  // namespace fescueline
