#pragma once

#include <string>

namespace fescueline {

/// Names of the HTTP header fields between callers, nodes and targets.
struct HeaderNames {
  /// Request identifier set by the caller and echoed by targets.
  std::string requestId;
  /// Remaining time until the caller's timeout, in milliseconds.
  std::string timeout;
  /// API key of the caller.
  std::string key;
  /// To the target: organisation of the caller.
  std::string organisation;
  /// To the target: service of the instance at the entry node.
  std::string callerService;
  /// To the target: identifier of the intended target; any other target refuses
  /// the request.
  std::string expectedTarget;
  /// From the target: signature, present in every successful response. Empty if
  /// targets do not sign.
  std::string signature;
  /// From the target: marks a request that was not run.
  std::string notRun;
  /// From the target, in response to a health check: its identifier.
  std::string targetId;
  /// From the target: number of running requests, waiting requests and slots.
  std::string load;
  /// From the target, in response to a health check: remaining warm-up time,
  /// milliseconds.
  std::string coldTime;
};

}  // namespace fescueline
