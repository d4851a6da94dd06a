#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "Core/Time.h"

namespace fescueline {

/// Event loop of a simulation on a manual clock. Events run in order of time,
/// and in posting order at equal times. Deterministic.
class EventLoop {
 public:
  TimePoint Now() const { return this->clock.Now(); }

  /// Runs aAction after the given time.
  void Post(Duration aDelay, std::function<void()> aAction) {
    this->events.push(
        {this->clock.Now() + aDelay, ++this->posted, std::move(aAction)});
  }

  /// Runs all events up to the given time.
  void RunUntil(TimePoint aEnd) {
    while (!this->events.empty() && this->events.top().at <= aEnd) {
      // priority_queue::top() is const; moving is safe since pop() follows.
      Event event = std::move(const_cast<Event&>(this->events.top()));
      this->events.pop();
      this->clock.now = event.at;
      event.action();
    }
    this->clock.now = aEnd;
  }

 private:
  /// An action and when it runs.
  struct Event {
    TimePoint at;
    uint64_t order;
    std::function<void()> action;

    bool operator<(const Event& aOther) const {
      return this->at != aOther.at ? this->at > aOther.at
                                   : this->order > aOther.order;
    }
  };

  ManualClock clock;
  uint64_t posted = 0;
  std::priority_queue<Event> events;
};

}  // namespace fescueline
