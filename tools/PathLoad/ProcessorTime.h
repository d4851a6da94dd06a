#pragma once

#include <cstdint>

#include "Core/Time.h"

namespace fescueline {

/// Processor time used by a process, from /proc/<pid>/stat; its resolution is
/// 10 ms on most systems. Throws Error if there is no such process.
Duration ProcessorTime(uint64_t aPid);

}  // namespace fescueline
