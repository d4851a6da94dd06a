#include "Mesh/PlannedStop.h"

namespace fescueline {

namespace {
/// Callers learn from two questions, a second apart, that a node is not ready.
constexpr Duration kCallersLeave = std::chrono::milliseconds(2600);
/// Part of the limit that is left for the end itself.
constexpr Duration kEndMargin = std::chrono::milliseconds(800);
}  // namespace

bool PlannedStop::Begin(TimePoint aNow) {
  if (this->since) {
    return false;
  }
  this->since = aNow;
  return true;
}

void PlannedStop::Tick(TimePoint aNow) {
  if (!this->since) {
    return;
  }
  const Duration age = aNow - *this->since;
  if (age >= kCallersLeave && !this->leaving) {
    this->leaving = true;
    this->settings.leave([this] { this->left = true; });
  }
  // Looked at after the row is gone: requests may arrive until the very end.
  const bool idle = this->settings.isIdle();
  const bool late = age >= this->settings.limit() - kEndMargin;
  if (late || (idle && this->left)) {
    this->settings.end();
  }
}

}  // namespace fescueline
