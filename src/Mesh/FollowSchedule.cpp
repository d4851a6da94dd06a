#include "Mesh/FollowSchedule.h"

namespace fescueline {

FollowMode FollowSchedule::Mode(const View& aView, TimePoint aNow,
                                RandomSource& aRandom) {
  if (aView.isPrimary) {
    this->dueAt.reset();
    return this->settings.primaryMode;
  }
  if (aView.age <= this->settings.maxAge) {
    this->dueAt.reset();
    return FollowMode::Idle;
  }
  if (!this->dueAt) {
    const double spread =
        static_cast<double>(aView.peers) / this->settings.standbyCallsPerSecond;
    this->dueAt = aNow + FromSeconds(spread * aRandom.NextDouble());
  }
  return aNow >= *this->dueAt ? FollowMode::Immediate : FollowMode::Idle;
}

}  // namespace fescueline
