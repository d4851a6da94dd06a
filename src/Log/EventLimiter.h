#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Time.h"

namespace fescueline {

/// Keeps the first lines of each event in a second and counts the others, so
/// that a burst of one event neither floods the log nor hides another. No
/// locking.
class EventLimiter {
 public:
  /// Lines of one event that were left out.
  struct Suppressed {
    std::string event;
    uint64_t count = 0;
  };

  explicit EventLimiter(uint32_t aPerSecond) : perSecond(aPerSecond) {}

  /// Whether a line of the event is kept.
  bool Admit(std::string_view aEvent, TimePoint aNow);
  /// Counts of seconds that have ended, to be reported once.
  std::vector<Suppressed> TakeSuppressed(TimePoint aNow);

 private:
  struct Window {
    TimePoint since{};
    uint32_t kept = 0;
    uint64_t suppressed = 0;
  };

  uint32_t perSecond;
  std::map<std::string, Window, std::less<>> windows;
  /// Whether any window has suppressed lines.
  bool anySuppressed = false;
};

}  // namespace fescueline
