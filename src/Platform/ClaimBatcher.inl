// Implementation of ClaimBatcher.

namespace fescueline {

template <TableStore Store>
ClaimBatcher<Store>::ClaimBatcher(Store& aStore, Options aOptions)
    : store(aStore),
      options(std::move(aOptions)),
      writer(aStore, this->options.writer),
      thread([this](const std::stop_token& aStop) { this->Run(aStop); }) {}

template <TableStore Store>
ClaimBatcher<Store>::~ClaimBatcher() {
  {
    const std::lock_guard lock(this->mutex);
    this->closed = true;
  }
  this->thread.request_stop();
  this->thread.join();
  for (const PendingClaim& left : this->waiting) {
    left.done(ClaimResult::Unavailable);
  }
}

template <TableStore Store>
void ClaimBatcher<Store>::Submit(Claim aClaim, ClaimCallback aDone) {
  {
    const std::lock_guard lock(this->mutex);
    if (!this->closed && this->waiting.size() < this->options.maxWaiting) {
      this->waiting.push_back(
          PendingClaim{.claim = std::move(aClaim), .done = std::move(aDone)});
      this->wake.notify_one();
      return;
    }
  }
  aDone(ClaimResult::Unavailable);
}

template <TableStore Store>
void ClaimBatcher<Store>::Run(const std::stop_token& aStop) {
  const SteadyClock clock;
  while (!aStop.stop_requested()) {
    ClaimBatch batch = this->TakeBatch(aStop);
    const TimePoint start = clock.Now();
    this->Commit(batch, aStop);
    const Duration rest = start + this->options.interval - clock.Now();
    if (rest > Duration::zero()) {
      SleepUnlessStopped(aStop, rest);
    }
  }
}

template <TableStore Store>
ClaimBatch ClaimBatcher<Store>::TakeBatch(const std::stop_token& aStop) {
  std::deque<PendingClaim> taken;
  {
    std::unique_lock lock(this->mutex);
    this->wake.wait(lock, aStop, [this] { return !this->waiting.empty(); });
    while (!aStop.stop_requested() && !this->waiting.empty() &&
           taken.size() < this->options.maxBatch) {
      taken.push_back(std::move(this->waiting.front()));
      this->waiting.pop_front();
    }
  }
  ClaimBatch batch;
  for (PendingClaim& next : taken) {
    batch.Add(std::move(next));
  }
  return batch;
}

template <TableStore Store>
void ClaimBatcher<Store>::Commit(ClaimBatch& aBatch,
                                 const std::stop_token& aStop) {
  const SteadyClock clock;
  const TimePoint start = clock.Now();
  size_t conflicts = 0;
  while (!aBatch.IsEmpty()) {
    // A transaction in conflict writes nothing, so the claims that remain at
    // the deadline can be refused.
    if (aStop.stop_requested() ||
        clock.Now() - start > this->options.writer.deadline) {
      aBatch.ResolveAll(ClaimResult::Unavailable);
      return;
    }
    const CommitResult write =
        this->writer.Write(aBatch.MakeTransaction(), aStop);
    switch (write.status) {
      case CommitStatus::Committed:
        aBatch.ResolveAll(ClaimResult::Claimed);
        break;
      case CommitStatus::Unknown:
        aBatch.ResolveAll(ClaimResult::Unknown);
        break;
      case CommitStatus::Conflict:
        this->ResolveConflict(aBatch, write);
        if (++conflicts == this->options.conflictsBeforeReads &&
            !this->ResolveExisting(aBatch)) {
          aBatch.ResolveAll(ClaimResult::Unavailable);
        }
        break;
      case CommitStatus::Unavailable:
        if (clock.Now() - start > this->options.retryPeriod ||
            !SleepUnlessStopped(aStop, this->options.interval)) {
          aBatch.ResolveAll(ClaimResult::Unavailable);
        }
        break;
    }
  }
}

template <TableStore Store>
void ClaimBatcher<Store>::ResolveConflict(ClaimBatch& aBatch,
                                          const CommitResult& aWrite) {
  if (aWrite.retried) {
    // An earlier attempt may have taken effect, so the conflict can be with
    // this batch's own claims.
    try {
      if (this->IsCommitted(aBatch)) {
        aBatch.ResolveAll(ClaimResult::Claimed);
        return;
      }
    } catch (const PlatformError&) {
      aBatch.ResolveAll(ClaimResult::Unknown);
      return;
    }
  }
  if (!aBatch.Resolve(aWrite.result.conflictKey, ClaimResult::Duplicate)) {
    // The response names a key that is not in the transaction.
    aBatch.ResolveAll(ClaimResult::Unavailable);
  }
}

template <TableStore Store>
bool ClaimBatcher<Store>::ResolveExisting(ClaimBatch& aBatch) {
  try {
    for (const std::string& key : aBatch.Keys()) {
      if (this->store.Get(key).has_value()) {
        aBatch.Resolve(key, ClaimResult::Duplicate);
      }
    }
    return true;
  } catch (const PlatformError&) {
    return false;
  }
}

template <TableStore Store>
bool ClaimBatcher<Store>::IsCommitted(const ClaimBatch& aBatch) {
  std::optional<uint64_t> version;
  for (const std::string& key : aBatch.Keys()) {
    const auto record = this->store.Get(key);
    if (!record.has_value() || record->value != aBatch.ValueOf(key) ||
        record->version != version.value_or(record->version)) {
      return false;
    }
    version = record->version;
  }
  return true;
}

}  // namespace fescueline
