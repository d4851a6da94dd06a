#pragma once

#include <utility>

namespace fescueline {

/// Runs a function when the scope ends, unless released. One thread.
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

  /// Gives up the clean-up.
  void Release() { this->armed = false; }

 private:
  /// The clean-up.
  F onExit;
  /// Whether the clean-up still runs at the end of the scope.
  bool armed = true;
};

}  // namespace fescueline
