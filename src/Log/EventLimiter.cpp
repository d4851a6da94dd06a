#include "Log/EventLimiter.h"

namespace fescueline {

namespace {
constexpr Duration kWindow = std::chrono::seconds(1);
}  // namespace

bool EventLimiter::Allow(std::string_view aEvent, TimePoint aNow) {
  auto found = this->windows.find(aEvent);
  if (found == this->windows.end()) {
    found =
        this->windows.emplace(std::string(aEvent), Window{.start = aNow}).first;
  }
  Window& window = found->second;
  if (aNow - window.start >= kWindow && window.suppressed == 0) {
    window = {.start = aNow};
  }
  if (window.allowed < this->maxPerSecond && aNow - window.start < kWindow) {
    ++window.allowed;
    return true;
  }
  ++window.suppressed;
  this->anySuppressed = true;
  return false;
}

std::vector<EventLimiter::Suppressed> EventLimiter::TakeSuppressed(
    TimePoint aNow) {
  std::vector<Suppressed> all;
  if (!this->anySuppressed) {
    return all;
  }
  this->anySuppressed = false;
  for (auto& [event, window] : this->windows) {
    if (window.suppressed == 0) {
      continue;
    }
    if (aNow - window.start < kWindow) {
      this->anySuppressed = true;
      continue;
    }
    all.push_back({.event = event, .count = window.suppressed});
    window = {.start = aNow};
  }
  return all;
}

}  // namespace fescueline
