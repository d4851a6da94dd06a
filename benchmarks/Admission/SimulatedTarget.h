#pragma once

#include <cstdint>
#include <deque>
#include <functional>

#include "EventLoop.h"

namespace fescueline {

/// A target with a fixed number of workers and an unbounded queue, such as a
/// server with a thread pool. A request keeps its worker while it waits for
/// child calls.
class SimulatedTarget {
 public:
  SimulatedTarget(EventLoop& aLoop, uint32_t aWorkers)
      : loop(aLoop), workers(aWorkers) {}

  /// Assigns a worker and runs aAction, when a worker is free.
  void Acquire(std::function<void()> aAction) {
    if (this->busy < this->workers) {
      ++this->busy;
      aAction();
      return;
    }
    this->waiting.push_back(std::move(aAction));
  }

  /// Runs aAction after the given service time times the slowness.
  void Work(double aSeconds, std::function<void()> aAction) {
    this->loop.Post(FromSeconds(aSeconds * this->slowness), std::move(aAction));
  }

  /// Passes the worker to the next waiting request, or frees it.
  void Release() {
    if (this->waiting.empty()) {
      --this->busy;
      return;
    }
    auto next = std::move(this->waiting.front());
    this->waiting.pop_front();
    next();
  }

  /// Sets the factor on the service time of all work that starts from now on.
  void SetSlowness(double aFactor) { this->slowness = aFactor; }

 private:
  EventLoop& loop;
  uint32_t workers;
  uint32_t busy = 0;
  double slowness = 1;
  std::deque<std::function<void()>> waiting;
};

}  // namespace fescueline
