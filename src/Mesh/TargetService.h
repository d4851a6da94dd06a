#pragma once

#include <asio.hpp>
#include <memory>
#include <string>
#include <unordered_map>

#include "Admission/AdmissionController.h"
#include "Core/ByteBudget.h"
#include "Http1/ConnectionPool.h"
#include "Http1/ResponseFault.h"
#include "Mesh/LocalTargetState.h"
#include "Mesh/MeshContext.h"
#include "Routing/FailureRate.h"
#include "Transport/PeerServer.h"
#include "Transport/RequestContext.h"

namespace fescueline {

class TargetAttempt;

/// Runs the attempts of all nodes at the local target: queues them by
/// importance, keeps the target within its slots, and authorises each attempt
/// again right before it is sent. Runs on the event loop.
class TargetService {
 public:
  using AttemptPtr = std::shared_ptr<TargetAttempt>;
  using Controller = AdmissionController<AttemptPtr>;

  struct Dependencies {
    MeshContext& context;
    LocalTargetState& target;
    std::string fleetSecret;
    /// Bytes of requests that may wait for the target or be written to it.
    size_t maxHeldBytes = size_t{64} << 20;
  };

  explicit TargetService(Dependencies aDependencies);

  /// Handles a request. aTransitDelay, the transit time of the frame beyond the
  /// fastest transit seen, is subtracted from the request's remaining time.
  void OnRequest(const PeerServer::SessionPtr& aSession, RequestFrame aFrame,
                 Duration aTransitDelay);
  void OnCredit(const PeerServer::SessionPtr& aSession,
                const CreditFrame& aFrame);
  void OnCancel(const PeerServer::SessionPtr& aSession, uint64_t aStream);
  void OnClosed(const PeerServer::SessionPtr& aSession);
  /// Handles a change of the target's state or slots.
  void OnTargetChanged();
  /// Handles a new configuration, which may change the service's limits.
  void OnConfigChanged() { this->ApplyBounds(); }
  /// Refuses new requests from now on, as the node is stopping.
  void Stop();

  /// State of the target, to send to peers.
  StateWire State() const;
  const ByteBudget& Budget() const { return *this->budget; }
  /// Number of attempts that are queued or running.
  size_t Open() const { return this->open; }

 private:
  friend class TargetAttempt;

  /// Checks whether the attempt is authorised and the target available. Returns
  /// the cause if it must not run, otherwise None.
  Cause Check(const RequestContext& aContext, TimePoint aNow) const;
  /// A response that did not match a request.
  struct FaultReport {
    ResponseFault fault = ResponseFault::None;
    /// Identifier of the pending request; empty if there was none.
    std::string_view request;
    /// Identifier in the response; empty if it has none.
    std::string_view answered;
    /// Whether the connection had carried an earlier request.
    bool usedBefore = false;
    /// Status of the response; 0 if it is not relevant.
    int status = 0;
  };

  /// Counts and logs a response that did not match.
  void ReportFault(const FaultReport& aReport);
  /// Applies the limits on slots and connections to the admission controller.
  void ApplyBounds();
  /// Bounds the starts per second while the target is cold.
  void ApplyColdRate(TimePoint aNow);
  /// Service of the target in the current configuration; null if unknown.
  const MeshService* Service() const;
  /// Starts queued attempts that are admitted, and drops expired ones.
  void Pump();
  void SchedulePump();
  /// Posts a Pump, to run after the current event has been handled.
  void SchedulePumpNow();
  /// Thresholds of this and downstream services, for the frame that ends a
  /// request.
  std::vector<ThresholdWire> Thresholds(const RequestContext& aContext);
  AttemptPtr Find(const PeerServer::SessionPtr& aSession, uint64_t aStream);
  void Remove(const TargetAttempt& aAttempt);

  Dependencies dependencies;
  /// Bytes of the requests of all attempts.
  std::shared_ptr<ByteBudget> budget;
  Controller controller;
  std::unique_ptr<ConnectionPool> pool;
  /// Identifier of the target that the pooled connections lead to.
  std::string poolTarget;
  /// Share of recent requests that failed at the target itself.
  FailureRate failures;
  asio::steady_timer pumpTimer;
  bool pumpScheduled = false;
  /// Prevents a nested Pump; the outer one runs again instead.
  bool pumping = false;
  bool pumpAgain = false;
  bool stopping = false;
  /// Bound on the starts per second in force; 0 if there is none.
  double coldRate = 0;
  /// Attempts by session number and stream.
  std::unordered_map<uint64_t, std::unordered_map<uint64_t, AttemptPtr>>
      attempts;
  size_t open = 0;
};

}  // namespace fescueline
