#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <stop_token>
#include <string>
#include <thread>
#include <utility>

#include "Core/Time.h"
#include "Platform/Claim.h"
#include "Platform/ClaimBatch.h"
#include "Platform/StopSleep.h"
#include "Platform/TableStore.h"
#include "Platform/TokenisedWriter.h"

namespace fescueline {

/// Commits claims for Idempotency-Keys, many in one transaction, on a thread
/// of its own. The store is used by that thread only. `Submit` may be called
/// from any thread.
template <TableStore Store>
class ClaimBatcher {
 public:
  struct Options {
    /// Least time between the starts of two batches.
    Duration interval = std::chrono::milliseconds(5);
    /// Claims in one batch.
    size_t maxBatch = 512;
    /// Claims that wait for a batch; further ones are Unavailable.
    size_t maxWaiting = 4096;
    /// Time for which a batch that the table refused is tried again, as the
    /// nodes of a fleet may together exceed the table's rate for a moment.
    Duration patience = std::chrono::milliseconds(50);
    /// Conflicts in a batch after which all its keys are read, as the table
    /// has more capacity for reads than for writes.
    size_t conflictsBeforeReads = 4;
    /// How lost answers are settled.
    typename TokenisedWriter<Store>::Options settle = {};
  };

  ClaimBatcher(Store& aStore, Options aOptions);
  ClaimBatcher(const ClaimBatcher&) = delete;
  ClaimBatcher& operator=(const ClaimBatcher&) = delete;
  /// Stops the thread. Waiting claims become Unavailable, and claims whose
  /// answer was lost become Unknown.
  ~ClaimBatcher();

  /// Claims and reports the result once, also when the batcher is destroyed.
  /// A root id whose claim was reported as Claimed must not be submitted again.
  void Submit(Claim aClaim, ClaimCallback aDone);

 private:
  /// Body of the thread.
  void Run(const std::stop_token& aStop);
  /// Waits for claims and takes at most one batch of them.
  ClaimBatch TakeBatch(const std::stop_token& aStop);
  /// Settles all claims of the batch.
  void Commit(ClaimBatch& aBatch, const std::stop_token& aStop);
  /// Handles a conflict: settles the claim that failed, so that the others
  /// can be tried again.
  void ResolveConflict(ClaimBatch& aBatch, const SettledWrite& aWrite);
  /// Settles all claims whose key exists. False if the table is unavailable.
  bool SettleExisting(ClaimBatch& aBatch);
  /// Whether one transaction wrote all claims of the batch: an attempt took
  /// effect whose token the table has forgotten. A single key with its root
  /// id proves nothing for the others, since that claim may be older.
  bool IsCommitted(const ClaimBatch& aBatch);

  /// The table of claims.
  Store& store;
  /// Limits.
  Options options;
  /// Settles lost answers.
  TokenisedWriter<Store> writer;
  /// Guards `waiting` and `closed`; never held during a call to the table or
  /// a callback.
  std::mutex mutex;
  /// Signals new claims.
  std::condition_variable_any wake;
  /// Claims for the next batches.
  std::deque<PendingClaim> waiting;
  /// Whether claims are no longer accepted.
  bool closed = false;
  /// The batcher's thread; last, so that it starts after everything else.
  std::jthread thread;
};

}  // namespace fescueline

#include "Platform/ClaimBatcher.inl"
