#pragma once

#include <cstdint>
#include <mutex>

namespace fescueline {

/// Ranks of the locks of shared state. A thread that holds a lock may take only
/// locks of a higher rank.
enum class LockRank : uint8_t {
  Config = 10,
  Freshness = 20,
  Limits = 30,
  Routing = 40,
  Admission = 50,
  Outcome = 60,
  Transport = 70,
  Metrics = 80
};

/// Mutex with a rank; asserts the lock order in debug builds (without
/// NDEBUG). Satisfies Lockable, for std::lock_guard and std::unique_lock.
class OrderedMutex {
 public:
  explicit OrderedMutex(LockRank aRank) : rank(aRank) {}

  void lock();
  void unlock();

 private:
  std::mutex mutex;
  /// Position in the lock order.
  LockRank rank;
  /// Rank that the owner held before, restored on unlock.
  uint8_t outerRank = 0;
};

}  // namespace fescueline
