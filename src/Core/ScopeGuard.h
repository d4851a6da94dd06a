#pragma once

#include <utility>

namespace fescueline {

/// Runs a function when the scope ends, unless released. Not thread-safe.
template <typename F>
class [[nodiscard]] ScopeGuard {
 public:
  explicit ScopeGuard(F aOnExit) : onExit(std::move(aOnExit)) {}
  ScopeGuard(const ScopeGuard&) = delete;
  ScopeGuard& operator=(const ScopeGuard&) = delete;
  ~ScopeGuard() {
    if (this->armed) {
      this->onExit();
    }
  }

  /// Cancels the call at the end of the scope.
  void Release() { this->armed = false; }

 private:
  F onExit;
  bool armed = true;
};

}  // namespace fescueline
