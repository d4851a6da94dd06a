#include "Node/RunningAttempt.h"

namespace fescueline {

RunningAttempt::RunningAttempt(RequestContext aContext, const Times& aTimes,
                               uint32_t aRetries)
    : context(std::move(aContext)), times(aTimes), budget(aRetries) {}

uint32_t RunningAttempt::GrantForCall() {
  const std::lock_guard lock(this->mutex);
  const uint32_t remaining = this->budget.Remaining();
  return this->budget.Grant(remaining > 1 ? remaining - 1 : remaining);
}

void RunningAttempt::ReturnGrant(uint32_t aGranted, uint32_t aUnspent) {
  const std::lock_guard lock(this->mutex);
  this->budget.Return(aGranted, aUnspent);
}

bool RunningAttempt::SpendRetry() {
  const std::lock_guard lock(this->mutex);
  return this->budget.Spend();
}

uint32_t RunningAttempt::UnspentRetries() {
  const std::lock_guard lock(this->mutex);
  return this->budget.Remaining();
}

uint64_t RunningAttempt::BeginCall(std::function<void()> aCancel,
                                   TimePoint aNow) {
  uint64_t number = 0;
  {
    const std::lock_guard lock(this->mutex);
    if (this->ended) {
      return 0;
    }
    if (this->calls.empty()) {
      this->busySince = aNow;
    }
    number = ++this->callCount;
    this->calls[number] = std::move(aCancel);
  }
  if (this->callObserver) {
    this->callObserver(true);
  }
  return number;
}

void RunningAttempt::EndCall(uint64_t aCall, TimePoint aNow) {
  {
    const std::lock_guard lock(this->mutex);
    if (this->calls.erase(aCall) == 0) {
      return;
    }
    if (this->calls.empty()) {
      this->busyTime += aNow - this->busySince;
    }
  }
  if (this->callObserver) {
    this->callObserver(false);
  }
}

void RunningAttempt::SetCallObserver(std::function<void(bool)> aObserver) {
  this->callObserver = std::move(aObserver);
}

bool RunningAttempt::HasCalled() {
  const std::lock_guard lock(this->mutex);
  return this->callCount > 0;
}

Duration RunningAttempt::CallTime(TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  return this->calls.empty() ? this->busyTime
                             : this->busyTime + (aNow - this->busySince);
}

void RunningAttempt::End() {
  std::unordered_map<uint64_t, std::function<void()>> cancelled;
  {
    const std::lock_guard lock(this->mutex);
    this->ended = true;
    cancelled.swap(this->calls);
  }
  for (const auto& [number, cancel] : cancelled) {
    cancel();
  }
}

}  // namespace fescueline
