#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "Node/RunningAttempt.h"

namespace fescueline {

/// Requests that the local target is running, by the caller's identifier. A
/// target names its own calls by extending the identifier of the request that
/// makes them ("PARENT.CALL"), which ties a call to its parent. One thread.
class RunningRequests {
 public:
  void Add(const std::string& aRequestId, const RunningAttemptPtr& aAttempt) {
    this->attempts[aRequestId] = aAttempt;
  }
  void Remove(const std::string& aRequestId,
              const RunningAttemptPtr& aAttempt) {
    const auto found = this->attempts.find(aRequestId);
    if (found != this->attempts.end() && found->second == aAttempt) {
      this->attempts.erase(found);
    }
  }
  /// The running request that makes this call; null if there is none, as for
  /// requests of callers.
  RunningAttemptPtr ParentOf(std::string_view aRequestId) const {
    const size_t dot = aRequestId.rfind('.');
    if (dot == std::string_view::npos) {
      return nullptr;
    }
    const auto found =
        this->attempts.find(std::string(aRequestId.substr(0, dot)));
    return found == this->attempts.end() ? nullptr : found->second;
  }

 private:
  std::unordered_map<std::string, RunningAttemptPtr> attempts;
};

}  // namespace fescueline
