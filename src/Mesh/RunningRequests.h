#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "Node/RunningAttempt.h"

namespace fescueline {

/// Requests that the local target is running, by request identifier. A target
/// identifies a call that it makes by extending the identifier of the request
/// on whose behalf it calls ("PARENT.CALL"), which links the call to its
/// parent. Not thread-safe.
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
  /// Running request that made the given call; null if there is none, as for
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
