#include "Node/AttemptRegistry.h"

#include <mutex>

namespace fescueline {

BeginResult AttemptRegistry::Begin(const RunningAttemptPtr& aAttempt,
                                   TimePoint aNow) {
  const RequestContext& context = aAttempt->Context();
  const std::lock_guard lock(this->mutex);
  if (!context.idempotent) {
    const BeginResult result = this->outcomes.Begin(context.attemptId, aNow);
    if (result != BeginResult::Started) {
      return result;
    }
  }
  const bool added = this->running.emplace(context.attemptId, aAttempt).second;
  return added ? BeginResult::Started : BeginResult::Duplicate;
}

std::vector<AttemptWaiter> AttemptRegistry::Finish(
    const RunningAttemptPtr& aAttempt, AttemptResult aResult, TimePoint aNow) {
  const RequestContext& context = aAttempt->Context();
  const std::lock_guard lock(this->mutex);
  this->running.erase(context.attemptId);
  if (context.idempotent) {
    return {};
  }
  return this->outcomes.Finish(context.attemptId, std::move(aResult), aNow);
}

RunningAttemptPtr AttemptRegistry::Find(const Id128& aAttempt) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->running.find(aAttempt);
  return found == this->running.end() ? nullptr : found->second;
}

AttemptReply AttemptRegistry::Query(const Id128& aAttempt, Duration aAge,
                                    TimePoint aNow, AttemptWaiter aWaiter) {
  const std::lock_guard lock(this->mutex);
  return this->outcomes.Query(aAttempt, aAge, aNow, aWaiter);
}

AttemptReply AttemptRegistry::ReplyOf(const Id128& aAttempt) {
  const std::lock_guard lock(this->mutex);
  return this->outcomes.ReplyOf(aAttempt);
}

void AttemptRegistry::Expire(TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  this->outcomes.Expire(aNow);
}

size_t AttemptRegistry::Running() {
  const std::lock_guard lock(this->mutex);
  return this->running.size();
}

}  // namespace fescueline
