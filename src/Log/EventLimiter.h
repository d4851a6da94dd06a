#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Time.h"

namespace fescueline {

/// Rate limit for log lines: allows the first lines of each event per second
/// and counts the others, so that a burst of one event neither floods the log
/// nor displaces lines of another. No locking.
class EventLimiter {
 public:
  /// Number of suppressed lines of one event.
  struct Suppressed {
    std::string event;
    uint64_t count = 0;
  };

  explicit EventLimiter(uint32_t aMaxPerSecond) : maxPerSecond(aMaxPerSecond) {}

  /// Whether to write a line of the event; if not, the line is counted.
  bool Allow(std::string_view aEvent, TimePoint aNow);
  /// Counts of the seconds that have ended, and resets them.
  std::vector<Suppressed> TakeSuppressed(TimePoint aNow);

 private:
  struct Window {
    TimePoint start{};
    uint32_t allowed = 0;
    uint64_t suppressed = 0;
  };

  uint32_t maxPerSecond;
  std::map<std::string, Window, std::less<>> windows;
  /// Whether any window has suppressed lines.
  bool anySuppressed = false;
};

}  // namespace fescueline
