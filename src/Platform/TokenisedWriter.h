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

/// What is known about a transaction after it was settled.
enum class SettleStatus : uint8_t {
  /// All writes took effect.
  Committed,
  /// A check failed; nothing was written.
  Conflict,
  /// The table could not be asked; nothing was written.
  Unavailable,
  /// The answer was lost and repeating did not settle it in time.
  Unknown
};

template <>
struct EnumNames<SettleStatus> {
  static constexpr std::array<EnumName<SettleStatus>, 4> kNames{
      {{SettleStatus::Committed, "committed"},
       {SettleStatus::Conflict, "conflict"},
       {SettleStatus::Unavailable, "unavailable"},
       {SettleStatus::Unknown, "unknown"}}};
};

/// A settled transaction.
struct SettledWrite {
  /// What is known.
  SettleStatus status = SettleStatus::Unavailable;
  /// The table's answer; set if committed or in conflict.
  TransactResult result = {};
  /// Token under which an unknown transaction can be repeated.
  std::string token = {};
  /// Whether an earlier attempt may have taken effect. If the table has lost
  /// its memory of tokens, a conflict may then be with that attempt.
  bool repeated = false;
};

/// Commits transactions and settles those whose answer was lost, by repeating
/// them with the same token until a deadline. One thread at a time.
template <TableStore Store, Clock TimeSource = SteadyClock>
class TokenisedWriter {
 public:
  struct Options {
    /// Time from the first attempt after which none is started.
    Duration deadline = std::chrono::seconds(2);
    /// Pause before the first repetition; doubled for each further one.
    Duration firstPause = std::chrono::milliseconds(10);
    /// Longest pause.
    Duration longestPause = std::chrono::milliseconds(200);
  };

  TokenisedWriter(Store& aStore, Options aOptions, TimeSource aClock = {})
      : store(aStore), options(aOptions), clock(aClock) {}

  /// Commits the transaction. An empty token is replaced by a new one. A stop
  /// request ends the repetitions early.
  SettledWrite Write(TableTransaction aTransaction,
                     const std::stop_token& aStop = {});

 private:
  /// Makes one attempt. Returns whether it settled the transaction.
  bool Attempt(const TableTransaction& aTransaction, SettledWrite& aSettled);

  /// The table.
  Store& store;
  /// Deadline and pauses.
  Options options;
  /// Source of time for the deadline.
  TimeSource clock;
};

template <TableStore Store, Clock TimeSource>
SettledWrite TokenisedWriter<Store, TimeSource>::Write(
    TableTransaction aTransaction, const std::stop_token& aStop) {
  if (aTransaction.token.empty()) {
    aTransaction.token = Id128::Generate().ToString();
  }
  const TimePoint end = this->clock.Now() + this->options.deadline;
  Duration pause = this->options.firstPause;
  SettledWrite settled{.token = aTransaction.token};
  while (!this->Attempt(aTransaction, settled)) {
    settled.repeated = true;
    if (this->clock.Now() + pause >= end || !SleepUnlessStopped(aStop, pause)) {
      settled.status = SettleStatus::Unknown;
      break;
    }
    pause = std::min(2 * pause, this->options.longestPause);
  }
  return settled;
}

template <TableStore Store, Clock TimeSource>
bool TokenisedWriter<Store, TimeSource>::Attempt(
    const TableTransaction& aTransaction, SettledWrite& aSettled) {
  try {
    aSettled.result = this->store.Transact(aTransaction);
    aSettled.status = aSettled.result.status == TransactStatus::Committed
                          ? SettleStatus::Committed
                          : SettleStatus::Conflict;
    return true;
  } catch (const PlatformError& error) {
    // An attempt without effect says nothing about an earlier one whose
    // outcome is unknown.
    aSettled.status = SettleStatus::Unavailable;
    return error.GetFailure() == Failure::Unavailable && !aSettled.repeated;
  }
}

}  // namespace fescueline
