#pragma once

#include <cstdint>
#include <deque>
#include <functional>

#include "EventLoop.h"

namespace fescueline {

/// A target with a fixed number of workers and an unbounded queue before them,
/// as a server with a thread pool has. A request keeps its worker while it
/// waits for calls of its own.
class SimulatedTarget {
 public:
  SimulatedTarget(EventLoop& aLoop, uint32_t aWorkers)
      : loop(aLoop), workers(aWorkers) {}

  /// Runs aAction when a worker is free.
  void Acquire(std::function<void()> aAction) {
    if (this->busy < this->workers) {
      ++this->busy;
      aAction();
      return;
    }
    this->waiting.push_back(std::move(aAction));
  }

  /// Runs aAction after the given work, which takes longer on a straggler.
  void Work(double aSeconds, std::function<void()> aAction) {
    this->loop.Post(FromSeconds(aSeconds * this->slowness), std::move(aAction));
  }

  /// Gives the worker to the next waiting request.
  void Release() {
    if (this->waiting.empty()) {
      --this->busy;
      return;
    }
    auto next = std::move(this->waiting.front());
    this->waiting.pop_front();
    next();
  }

  /// Factor on all work that begins from now on.
  void SetSlowness(double aFactor) { this->slowness = aFactor; }

 private:
  EventLoop& loop;
  uint32_t workers;
  uint32_t busy = 0;
  double slowness = 1;
  std::deque<std::function<void()>> waiting;
};

}  // namespace fescueline
