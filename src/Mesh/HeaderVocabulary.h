#pragma once

#include <string>

namespace fescueline {

/// Names of the header fields that callers, targets and nodes exchange.
struct HeaderVocabulary {
  /// Caller's identifier of a request, echoed by targets.
  std::string requestId;
  /// Time that the caller will still wait, milliseconds.
  std::string timeout;
  /// Caller's key.
  std::string key;
  /// To the target: organisation of the caller.
  std::string organisation;
  /// To the target: service of the instance where the request began.
  std::string callerService;
  /// To the target: the target that is meant; others refuse.
  std::string expectedTarget;
  /// From the target: its signature, which every success has. Empty if targets
  /// do not sign.
  std::string signature;
  /// From the target: it did not run the request.
  std::string notRun;
  /// From the target, when asked for its health: its identifier.
  std::string targetId;
  /// From the target: running and waiting requests, and slots.
  std::string load;
};

}  // namespace fescueline
