#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "Core/Time.h"
#include "Retry/RetryBudget.h"
#include "Transport/RequestContext.h"

namespace fescueline {

/// A request in progress at the node that holds its retry budget: the entry
/// node for a caller's request, the target's node for an attempt. Its calls to
/// other services spend the budget and are cancelled when it ends. Thread-safe;
/// no other lock is taken under its lock.
class RunningAttempt {
 public:
  struct Times {
    /// When the caller's request arrived at the entry node.
    TimePoint rootStart;
    /// When the request expires.
    TimePoint deadline;
  };

  RunningAttempt(RequestContext aContext, const Times& aTimes,
                 uint32_t aRetries);

  /// Organisation, importance and identifiers that its calls inherit.
  const RequestContext& Context() const { return this->context; }
  /// When the request expires.
  TimePoint Deadline() const { return this->times.deadline; }
  /// When the caller's request arrived at the entry node.
  TimePoint RootStart() const { return this->times.rootStart; }

  /// Retries to grant to a call. One is reserved for this hop if there are
  /// several: a lost connection spends all granted retries and must still be
  /// retriable here.
  uint32_t GrantForCall();
  /// Ends a grant and returns its unspent retries to the budget.
  void ReturnGrant(uint32_t aGranted, uint32_t aUnspent);
  /// Spends a retry at this hop; false if none is left.
  bool SpendRetry();
  /// Retries left over when the attempt ends.
  uint32_t UnspentRetries();

  /// Registers a call of this attempt; `aCancel` runs if the attempt ends
  /// first. Returns the call's number, or 0 if the attempt has ended.
  uint64_t BeginCall(std::function<void()> aCancel, TimePoint aNow);
  /// Ends a call.
  void EndCall(uint64_t aCall, TimePoint aNow);
  /// Whether the attempt has made a child call, and so has run at least in
  /// part.
  bool HasCalled();
  /// Total time with at least one call in progress.
  Duration CallTime(TimePoint aNow);
  /// Ends the attempt and cancels its calls.
  void End();
  /// Sets a function that is called at each call's begin (true) and end
  /// (false). Call before the target can make calls.
  void SetCallObserver(std::function<void(bool)> aObserver);

 private:
  /// Guards everything below.
  std::mutex mutex;
  /// Organisation, importance and identifiers; inherited by the calls.
  const RequestContext context;
  /// Start and expiry.
  const Times times;
  /// Retries left.
  RetryBudget budget;
  /// Cancel functions of calls in progress.
  std::unordered_map<uint64_t, std::function<void()>> calls;
  /// Number of calls so far.
  uint64_t callCount = 0;
  /// Start of the current period with calls in progress.
  TimePoint busySince{};
  /// Length of earlier periods with calls in progress.
  Duration busyTime{0};
  /// Called at the begin and end of each call; set once.
  std::function<void(bool)> callObserver;
  /// Whether the attempt has ended.
  bool ended = false;
};

using RunningAttemptPtr = std::shared_ptr<RunningAttempt>;

}  // namespace fescueline
