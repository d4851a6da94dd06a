#pragma once

#include <optional>

#include "Core/Outcome.h"
#include "Core/Time.h"
#include "Transport/HttpMessage.h"

namespace fescueline {

/// Wait to tell a refused caller: the suggested one, but short enough for the
/// caller to come back in the time that it has left, and spread by aUnit (0 to
/// 1) over its second half, so that refused callers do not return together.
Duration ComeBackAfter(Duration aSuggested, Duration aLeft, double aUnit);

/// Response to a caller whose request got none from a target. Its status says
/// "not run" exactly if that is the outcome. With a wait, the caller is told
/// when to come back.
HttpResponse CallerRefusal(Outcome aOutcome, Cause aCause,
                           std::optional<Duration> aWait);

}  // namespace fescueline
