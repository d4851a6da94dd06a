#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Core/EnumNames.h"
#include "Core/Identifiers.h"
#include "Core/Outcome.h"
#include "Core/Time.h"

namespace fescueline {

/// Result of registering an attempt before its work starts.
enum class BeginResult : uint8_t {
  /// The attempt is registered as running; the work may start.
  Started,
  /// The same attempt is running or has run; it must not start again.
  Duplicate,
  /// The sender was told "not run"; the work must never start.
  Tombstoned,
  /// The table is full; refuse with "not run".
  Full
};

template <>
struct EnumNames<BeginResult> {
  static constexpr std::array<EnumName<BeginResult>, 4> kNames{
      {{BeginResult::Started, "started"},
       {BeginResult::Duplicate, "duplicate"},
       {BeginResult::Tombstoned, "tombstoned"},
       {BeginResult::Full, "full"}}};
};

/// State of an attempt, as reported to its sender.
enum class AttemptState : uint8_t {
  /// Finished, and the stored response is attached.
  Finished,
  /// Still running; Finish returns the registered waiter.
  Running,
  /// The work did not and will not happen.
  NotRun,
  /// The attempt is too old to have an entry, or its response was not kept.
  Unknown
};

template <>
struct EnumNames<AttemptState> {
  static constexpr std::array<EnumName<AttemptState>, 4> kNames{
      {{AttemptState::Finished, "finished"},
       {AttemptState::Running, "running"},
       {AttemptState::NotRun, "not-run"},
       {AttemptState::Unknown, "unknown"}}};
};

/// One header of a stored response.
struct StoredHeader {
  std::string name;
  std::string value;
};

/// A complete response, kept for a sender that lost its connection.
struct StoredResponse {
  uint16_t status = 0;
  /// Header fields in the order in which the target sent them.
  std::vector<StoredHeader> headers;
  /// Body; empty when the body was too long to keep.
  std::string body;

  /// Bytes of the header fields and the body.
  size_t Bytes() const;
};

/// How an attempt ended.
struct AttemptResult {
  /// Ran: the target answered. NotRun: refused or shed before any work.
  /// Unknown: the connection to the target failed after the first byte of the
  /// request was sent.
  Outcome outcome = Outcome::Unknown;
  /// Cause of a failure.
  Cause cause = Cause::None;
  /// The complete response, if available. May be left out when it is longer
  /// than maxResponseBytes.
  std::shared_ptr<const StoredResponse> response;
};

/// Recipient of the reply when a running attempt finishes: a stream of a
/// connection.
struct AttemptWaiter {
  /// Local number of the peer connection.
  uint64_t connection = 0;
  /// Stream or query number on that connection.
  uint64_t stream = 0;

  auto operator<=>(const AttemptWaiter&) const = default;
};

/// Answer to an attempt query.
struct AttemptReply {
  AttemptState state = AttemptState::Unknown;
  /// With state Unknown, Ran means "ran, response lost".
  Outcome outcome = Outcome::Unknown;
  /// Cause of a failure, if one was recorded.
  Cause cause = Cause::None;
  /// Set when the state is Finished.
  std::shared_ptr<const StoredResponse> response;
};

/// Limits of an AttemptTable.
struct AttemptTableSettings {
  /// Running and finished attempts together.
  size_t maxAttempts = 4096;
  /// Tombstones of attempts that were never seen. They have a limit of their
  /// own, so that queries are answered while the table refuses attempts, and
  /// queries cannot use up the space for attempts.
  size_t maxTombstones = 1024;
  /// Bytes of all stored responses together.
  size_t maxStoredBytes = size_t{8} << 20;
  /// Bytes of one stored response.
  size_t maxResponseBytes = size_t{64} << 10;
  /// Time for which finished attempts and tombstones are kept.
  Duration retention = std::chrono::seconds(60);
  /// Age of an attempt without an entry above which a query for it is answered
  /// Unknown. The difference to the retention covers the transit of the query.
  Duration queryWindow = std::chrono::seconds(50);
};

/// Attempts of non-idempotent requests at the target's node: makes sure that an
/// attempt starts at most once, and reports its outcome to a sender that lost
/// its connection. Not thread-safe; the owner locks.
///
/// Contract:
/// - An attempt id is sent once; a retry is a new attempt. The owner calls
///   Begin before any work, starts the work only if the result is Started, and
///   then calls Finish exactly once, whatever the outcome.
/// - An attempt past its deadline never reaches Begin, and deadlines are
///   shorter than the query window. An attempt that was queried too late to
///   get a tombstone therefore cannot start any more.
/// - A query goes to the incarnation that the attempt was sent to. Another
///   incarnation has no record of it: the sender treats that as Unknown without
///   a query.
/// - The age of a query is counted from when the attempt was sent, on the
///   sender's clock.
/// - NotRun is final: the work has not happened and Begin will refuse it. A
///   query for which this cannot be guaranteed is answered Unknown.
/// - aNow never goes backwards, and Expire is called at least once a second.
///   Retention is counted in active time, in which a gap of more than a second
///   between two calls counts as one second. Otherwise a query that arrived
///   while the process was paused would find its attempt expired and be
///   answered "not run".
/// - Running attempts are never dropped. Memory is bounded by the settings;
///   Begin answers Full when there is no room.
class AttemptTable {
 public:
  explicit AttemptTable(const AttemptTableSettings& aSettings);

  /// Registers an attempt as running, unless it must not start.
  BeginResult Begin(const Id128& aAttempt, TimePoint aNow);

  /// Records the result of a running attempt and returns the waiters to
  /// answer with ReplyOf. Ignored when the attempt is not running.
  std::vector<AttemptWaiter> Finish(const Id128& aAttempt,
                                    AttemptResult aResult, TimePoint aNow);

  /// Returns the state of an attempt that was sent aAge ago. An attempt that
  /// was never seen gets a tombstone. While it is running, aWaiter is
  /// registered.
  AttemptReply Query(const Id128& aAttempt, Duration aAge, TimePoint aNow,
                     std::optional<AttemptWaiter> aWaiter = std::nullopt);

  /// Reply for the waiters of an attempt that has just finished. Does not set
  /// a tombstone; Unknown when there is no entry.
  AttemptReply ReplyOf(const Id128& aAttempt) const;

  /// Drops the entries that are past their retention; returns their number.
  size_t Expire(TimePoint aNow);

  size_t Running() const { return this->running; }
  /// Running and finished attempts.
  size_t Attempts() const { return this->attempts; }
  /// Tombstones set by queries.
  size_t Tombstones() const { return this->tombstones; }
  size_t StoredBytes() const { return this->storedBytes; }

 private:
  enum class EntryState : uint8_t { Running, Finished, Tombstone };

  struct Entry {
    EntryState state = EntryState::Running;
    /// Result once finished.
    Outcome outcome = Outcome::Unknown;
    /// Cause of a failure.
    Cause cause = Cause::None;
    /// Response once finished, unless it was too long or was dropped.
    std::shared_ptr<const StoredResponse> response;
    /// Queries to answer when the attempt finishes.
    std::vector<AttemptWaiter> waiters;
  };

  /// An entry's place in the order of expiry.
  struct Expiry {
    /// Active time at which the entry is dropped.
    Duration at;
    Id128 attempt;
  };

  /// Advances the active time to aNow.
  void AdvanceActiveTime(TimePoint aNow);
  /// Drops at most aLimit expired entries.
  size_t DropExpired(size_t aLimit);
  /// Schedules the expiry of an entry that will not change any more.
  void ScheduleExpiry(const Id128& aAttempt);
  /// Keeps the response if it fits, dropping older responses for it.
  void Store(const Id128& aAttempt, Entry& aEntry,
             std::shared_ptr<const StoredResponse> aResponse);
  void DropResponse(Entry& aEntry);
  static AttemptReply MakeReply(const Entry& aEntry);

  AttemptTableSettings settings;
  std::unordered_map<Id128, Entry> entries;
  /// Finished attempts and tombstones, oldest first.
  std::deque<Expiry> expiries;
  /// Attempts with a stored response, oldest first.
  std::deque<Id128> stored;
  /// Active time so far.
  Duration activeTime{0};
  /// Time of the last call.
  std::optional<TimePoint> lastCall;
  size_t running = 0;
  /// Number of running and finished attempts.
  size_t attempts = 0;
  /// Number of tombstones set by queries.
  size_t tombstones = 0;
  size_t storedBytes = 0;
};

}  // namespace fescueline
