#include "Mesh/PlannedStop.h"

#include <algorithm>

namespace fescueline {

namespace {
/// Callers learn from two questions, a second apart, that a node is not ready.
constexpr Duration kCallersLeave = std::chrono::milliseconds(2600);
/// Part of the limit that is left for the end itself.
constexpr Duration kEndMargin = std::chrono::milliseconds(800);
/// Time for the last requests that are taken. The platform keeps sending to a
/// node that is not ready while most nodes of its data centre are not; the end
/// would cut off what such callers have in flight.
constexpr Duration kLastRequests = std::chrono::seconds(2);
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
  const Duration end = this->settings.limit() - kEndMargin;
  if (age >= std::max(kCallersLeave, end - kLastRequests) && !this->refusing) {
    this->refusing = true;
    this->settings.refuse();
  }
  // Looked at after the row is gone: requests may arrive until the very end.
  const bool idle = this->settings.isIdle();
  if (age >= end || (idle && this->left)) {
    this->settings.end();
  }
}

}  // namespace fescueline
