#pragma once

#include <stop_token>

#include "Core/Time.h"

namespace fescueline {

/// Sleeps for the duration or until a stop is requested, whichever is first.
/// Returns false if a stop was requested. Thread-safe.
bool SleepUnlessStopped(const std::stop_token& aStop, Duration aDuration);

}  // namespace fescueline
