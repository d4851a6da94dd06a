#pragma once

#include <optional>
#include <unordered_map>

#include "Core/Identifiers.h"
#include "Core/OrderedMutex.h"
#include "Node/RunningAttempt.h"
#include "Outcome/AttemptTable.h"

namespace fescueline {

/// Attempts at the local target: running attempts, which calls of the target
/// refer to, and outcomes of non-idempotent attempts. Thread-safe (lock rank
/// Outcome).
class AttemptRegistry {
 public:
  explicit AttemptRegistry(const AttemptTableSettings& aSettings)
      : outcomes(aSettings) {}

  /// Registers a running attempt. Only a non-idempotent attempt is checked
  /// against the recorded outcomes.
  BeginResult Begin(const RunningAttemptPtr& aAttempt, TimePoint aNow);
  /// Removes a running attempt and records its outcome unless it is idempotent.
  /// Returns the queries that wait for the outcome.
  std::vector<AttemptWaiter> Finish(const RunningAttemptPtr& aAttempt,
                                    AttemptResult aResult, TimePoint aNow);
  /// The running attempt, or null.
  RunningAttemptPtr Find(const Id128& aAttempt);

  /// See AttemptTable.
  AttemptReply Query(const Id128& aAttempt, Duration aAge, TimePoint aNow,
                     AttemptWaiter aWaiter);
  AttemptReply ReplyOf(const Id128& aAttempt);
  void Expire(TimePoint aNow);
  /// Number of running attempts.
  size_t Running();

 private:
  /// Guards both tables.
  OrderedMutex mutex{LockRank::Outcome};
  /// Outcomes of non-idempotent attempts.
  AttemptTable outcomes;
  /// Running attempts by attempt id.
  std::unordered_map<Id128, RunningAttemptPtr> running;
};

}  // namespace fescueline
