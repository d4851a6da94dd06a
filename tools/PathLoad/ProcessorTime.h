#pragma once

#include <cstdint>

#include "Core/Time.h"

namespace fescueline {

/// Processor time that a process has used, from /proc/<pid>/stat, in steps of
/// 10 ms on most systems. Throws Error if there is no such process.
Duration ProcessorTime(uint64_t aPid);

}  // namespace fescueline
