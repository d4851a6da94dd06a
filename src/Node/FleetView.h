#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "Admission/ThresholdTable.h"
#include "Config/ConfigSnapshot.h"
#include "Core/OrderedMutex.h"
#include "Retry/RetryRatio.h"
#include "Routing/TargetPicker.h"
#include "Routing/TargetSubset.h"
#include "Routing/TargetTable.h"
#include "Transport/Frames.h"
#include "Transport/PeerClient.h"
#include "Transport/RequestContext.h"

namespace fescueline {

/// A target chosen for one attempt.
struct ChosenTarget {
  /// To be passed to Finish.
  CallTicket ticket;
  /// Address of the node beside the target.
  PeerAddress address;
};

/// This node's view of the targets and services that it calls: members, health,
/// thresholds, retry ratio. Thread-safe (lock rank Routing).
class FleetView {
 public:
  struct Settings {
    /// Node id of this node.
    std::string node;
    TargetTableSettings table;
    TargetPickerSettings picker;
    SubsetBounds subset;
    ThresholdTableSettings thresholds;
    RetryRatioSettings retries;
  };

  explicit FleetView(Settings aSettings);

  /// Updates the targets from the members of a configuration.
  void UpdateMembers(std::shared_ptr<const ConfigSnapshot> aSnapshot);
  /// Chooses a target of a service and counts the call; nothing if none may
  /// be used.
  std::optional<ChosenTarget> Pick(const std::string& aService,
                                   const std::vector<TargetRef>& aExclude,
                                   TimePoint aNow);
  /// Counts the end of a call.
  void Finish(const CallTicket& aTicket, CallResult aResult, TimePoint aNow);
  /// Applies the target state that a node reported.
  void OnState(const std::string& aNode, const StateWire& aState,
               TimePoint aNow);
  /// Handles the loss of the connection to a node. Returns whether its target
  /// was in use.
  bool OnUnreachable(const std::string& aNode);
  /// Takes unreachable targets out of use and updates the health of the others;
  /// call every 500 ms.
  void Tick(TimePoint aNow);
  /// Nodes to keep connections to.
  std::vector<PeerAddress> WantedPeers();

  /// Records the thresholds that a node sent with a response for a route.
  void ApplyThresholds(const std::string& aNode, const std::string& aRoute,
                       const std::vector<ThresholdWire>& aThresholds,
                       TimePoint aNow);
  /// Whether a service on the call path of the route would refuse the request.
  bool ShouldRefuse(const RequestContext& aContext, TimePoint aNow);
  /// Thresholds to send back with a response: the local target's and those of
  /// downstream services.
  std::vector<ThresholdWire> Thresholds(const RequestContext& aContext,
                                        const AdmissionThreshold& aOwn,
                                        TimePoint aNow);

  /// See RetryRatio.
  void CountFirstAttempt(TimePoint aNow);
  bool TryRetry(TimePoint aNow);
  /// Number of targets that this node may call.
  size_t Targets();

 private:
  /// Selects the targets of the services in use. Callers hold the lock.
  void Reselect();
  void SelectService(const std::string& aService,
                     std::unordered_set<std::string>& aSelected);

  /// Guards everything below.
  OrderedMutex mutex{LockRank::Routing};
  Settings settings;
  TargetTable table;
  TargetPicker picker;
  ThresholdTable thresholds;
  RetryRatio retries;
  RandomSource random;
  /// Configuration that the members came from.
  std::shared_ptr<const ConfigSnapshot> snapshot;
  /// Services that this node has called; only their targets are selected.
  std::unordered_set<std::string> services;
  /// Selected nodes and their addresses.
  std::unordered_map<std::string, PeerAddress> addresses;
};

}  // namespace fescueline
