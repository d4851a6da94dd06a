#include "Mesh/PlannedStop.h"

namespace fescueline {

namespace {
/// Time after which the node leaves the fleet. Callers usually no longer send
/// then: they learn from two readiness checks, a second apart, that a node is
/// not ready.
constexpr Duration kLeaveAfter = std::chrono::milliseconds(2600);
/// Part of the limit reserved for the termination itself.
constexpr Duration kEndMargin = std::chrono::milliseconds(400);
/// Time after which callers that still send are refused. The platform keeps
/// sending to a node that is not ready while most nodes of its data centre are
/// not ready; the termination would abort the requests in flight of such
/// callers. Callers count on an answer to what they send later than 3 s after
/// the stop began.
constexpr Duration kRefuseAfter = std::chrono::milliseconds(2900);
/// Time before the termination from which nothing new is accepted. Longer than
/// most calls take; a call that is refused fails the request that made it.
constexpr Duration kLastCallTime = std::chrono::milliseconds(800);
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
  if (age >= kLeaveAfter && !this->leaving) {
    this->leaving = true;
    this->settings.leave([this] { this->left = true; });
  }
  const Duration endAge = this->settings.limit() - kEndMargin;
  const bool ending = age >= endAge - kLastCallTime;
  if ((ending || age >= kRefuseAfter) && !this->refusing) {
    this->refusing = true;
    this->settings.refuse();
  }
  if (ending && !this->refusingCalls) {
    this->refusingCalls = true;
    this->settings.refuseCalls();
  }
  // Checked after the row has been removed, too, as requests may arrive until
  // the end.
  const bool idle = this->settings.isIdle();
  const bool late = age >= endAge;
  if (late || (idle && this->left)) {
    this->settings.end();
  }
}

}  // namespace fescueline
