#include "Platform/StopSleep.h"

#include <condition_variable>
#include <mutex>

namespace fescueline {

bool SleepUnlessStopped(const std::stop_token& aStop, Duration aDuration) {
  std::mutex mutex;
  std::condition_variable_any wake;
  std::unique_lock lock(mutex);
  wake.wait_for(lock, aStop, aDuration, [] { return false; });
  return !aStop.stop_requested();
}

}  // namespace fescueline
