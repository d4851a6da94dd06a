#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <stop_token>

#include "Core/EnumNames.h"
#include "Core/Identifiers.h"
#include "Core/Time.h"
#include "Platform/StopSleep.h"
#include "Platform/TableStore.h"

namespace fescueline {

/// Outcome of a transaction, as far as it is known.
enum class CommitStatus : uint8_t {
  /// All writes took effect.
  Committed,
  /// A check failed; nothing was written.
  Conflict,
  /// The table did not execute the transaction; nothing was written.
  Unavailable,
  /// The response was lost, and retries got none before the deadline.
  Unknown
};

template <>
struct EnumNames<CommitStatus> {
  static constexpr std::array<EnumName<CommitStatus>, 4> kNames{
      {{CommitStatus::Committed, "committed"},
       {CommitStatus::Conflict, "conflict"},
       {CommitStatus::Unavailable, "unavailable"},
       {CommitStatus::Unknown, "unknown"}}};
};

/// Result of a write with its retries.
struct CommitResult {
  CommitStatus status = CommitStatus::Unavailable;
  /// The table's response; set if committed or in conflict.
  TransactResult result = {};
  /// Token with which a transaction with unknown outcome can be retried.
  std::string token = {};
  /// Whether an earlier attempt may have taken effect. If the table has dropped
  /// the token since, a conflict may be with that attempt.
  bool retried = false;
};

/// Commits transactions. If a response is lost, retries the transaction with
/// the same token until a deadline. Not thread-safe.
template <TableStore Store, Clock TimeSource = SteadyClock>
class RetryingWriter {
 public:
  struct Options {
    /// Time after the start of the first attempt at which retries end.
    Duration deadline = std::chrono::seconds(2);
    /// Delay before the first retry; doubled for each further one.
    Duration initialBackoff = std::chrono::milliseconds(10);
    /// Upper bound of the delay.
    Duration maxBackoff = std::chrono::milliseconds(200);
  };

  RetryingWriter(Store& aStore, Options aOptions, TimeSource aClock = {})
      : store(aStore), options(aOptions), clock(aClock) {}

  /// Commits the transaction. An empty token is replaced by a new one. A stop
  /// request ends the retries early.
  CommitResult Write(TableTransaction aTransaction,
                     const std::stop_token& aStop = {});

 private:
  /// Makes one attempt. Returns false if the outcome is unknown.
  bool Attempt(const TableTransaction& aTransaction, CommitResult& aOutcome);

  Store& store;
  Options options;
  TimeSource clock;
};

template <TableStore Store, Clock TimeSource>
CommitResult RetryingWriter<Store, TimeSource>::Write(
    TableTransaction aTransaction, const std::stop_token& aStop) {
  if (aTransaction.token.empty()) {
    aTransaction.token = Id128::Generate().ToString();
  }
  const TimePoint end = this->clock.Now() + this->options.deadline;
  Duration backoff = this->options.initialBackoff;
  CommitResult outcome{.token = aTransaction.token};
  while (!this->Attempt(aTransaction, outcome)) {
    outcome.retried = true;
    if (this->clock.Now() + backoff >= end ||
        !SleepUnlessStopped(aStop, backoff)) {
      outcome.status = CommitStatus::Unknown;
      break;
    }
    backoff = std::min(2 * backoff, this->options.maxBackoff);
  }
  return outcome;
}

template <TableStore Store, Clock TimeSource>
bool RetryingWriter<Store, TimeSource>::Attempt(
    const TableTransaction& aTransaction, CommitResult& aOutcome) {
  try {
    aOutcome.result = this->store.Transact(aTransaction);
    aOutcome.status = aOutcome.result.status == TransactStatus::Committed
                          ? CommitStatus::Committed
                          : CommitStatus::Conflict;
    return true;
  } catch (const PlatformError& error) {
    // An attempt without effect does not tell whether an earlier one took
    // effect.
    aOutcome.status = CommitStatus::Unavailable;
    return error.GetFailure() == Failure::Unavailable && !aOutcome.retried;
  }
}

}  // namespace fescueline
