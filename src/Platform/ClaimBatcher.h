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
#include "Platform/RetryingWriter.h"
#include "Platform/StopSleep.h"
#include "Platform/TableStore.h"

namespace fescueline {

/// Commits claims for Idempotency-Keys in batches, one transaction per batch,
/// on its own thread. Only that thread uses the store. `Submit` may be called
/// from any thread.
template <TableStore Store>
class ClaimBatcher {
 public:
  struct Options {
    /// Minimum time between the starts of two batches.
    Duration interval = std::chrono::milliseconds(5);
    /// Maximum number of claims in one batch.
    size_t maxBatch = 512;
    /// Maximum number of queued claims; further ones are Unavailable.
    size_t maxWaiting = 4096;
    /// Time for which a batch that the table refused is retried, as the nodes
    /// of a fleet may together exceed the table's rate limit for a moment.
    Duration retryPeriod = std::chrono::milliseconds(50);
    /// Conflicts in a batch after which all its keys are read to find the
    /// remaining duplicates, as the table has more capacity for reads than for
    /// writes.
    size_t conflictsBeforeReads = 4;
    /// Retries of transactions whose response was lost. The deadline also ends
    /// the retries of a batch after conflicts.
    typename RetryingWriter<Store>::Options writer = {};
  };

  ClaimBatcher(Store& aStore, Options aOptions);
  ClaimBatcher(const ClaimBatcher&) = delete;
  ClaimBatcher& operator=(const ClaimBatcher&) = delete;
  /// Stops the thread. Queued claims become Unavailable, and claims whose
  /// response was lost become Unknown.
  ~ClaimBatcher();

  /// Queues the claim and reports its result exactly once, also when the
  /// batcher is destroyed.
  /// A root id whose claim was reported as Claimed must not be submitted again.
  void Submit(Claim aClaim, ClaimCallback aDone);

 private:
  /// Main loop of the thread.
  void Run(const std::stop_token& aStop);
  /// Waits for queued claims and takes at most one batch of them.
  ClaimBatch TakeBatch(const std::stop_token& aStop);
  /// Resolves all claims of the batch.
  void Commit(ClaimBatch& aBatch, const std::stop_token& aStop);
  /// Handles a conflict: resolves the claim that failed, so that the others
  /// can be retried.
  void ResolveConflict(ClaimBatch& aBatch, const CommitResult& aWrite);
  /// Reports Duplicate for the claims whose key exists in the table. Returns
  /// false if the table is unavailable.
  bool ResolveExisting(ClaimBatch& aBatch);
  /// Whether one transaction wrote all claims of the batch, which happens when
  /// an attempt took effect and the table has dropped its token. One matching
  /// record does not suffice: the same request may have claimed that key
  /// earlier, in another transaction.
  bool IsCommitted(const ClaimBatch& aBatch);

  Store& store;
  Options options;
  /// Retries transactions whose response was lost.
  RetryingWriter<Store> writer;
  /// Guards `waiting` and `closed`; not held while calling the table or a
  /// callback.
  std::mutex mutex;
  /// Signals new claims.
  std::condition_variable_any wake;
  /// Queued claims.
  std::deque<PendingClaim> waiting;
  /// Set when the batcher stops; new claims are then refused.
  bool closed = false;
  /// Declared last, so that it starts after the other members are initialised.
  std::jthread thread;
};

}  // namespace fescueline

#include "Platform/ClaimBatcher.inl"
