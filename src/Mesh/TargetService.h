#pragma once

#include <asio.hpp>
#include <memory>
#include <string>
#include <unordered_map>

#include "Admission/AdmissionController.h"
#include "Http1/ConnectionPool.h"
#include "Http1/ResponseFault.h"
#include "Mesh/LocalTargetState.h"
#include "Mesh/MeshContext.h"
#include "Routing/FailureShare.h"
#include "Transport/PeerServer.h"
#include "Transport/RequestContext.h"

namespace fescueline {

class TargetAttempt;

/// Runs the attempts of all nodes at the local target: checks their authority
/// right before each is sent, queues them by importance, and keeps the target
/// within its slots. Runs on the loop.
class TargetService {
 public:
  using AttemptPtr = std::shared_ptr<TargetAttempt>;
  using Controller = AdmissionController<AttemptPtr>;

  /// Construction parameters.
  struct Dependencies {
    MeshContext& context;
    LocalTargetState& target;
    std::string fleetSecret;
  };

  explicit TargetService(Dependencies aDependencies);

  /// A request, and how long it was held up on the way.
  void OnRequest(const PeerServer::SessionPtr& aSession, RequestFrame aFrame,
                 Duration aHeldUp);
  void OnCredit(const PeerServer::SessionPtr& aSession,
                const CreditFrame& aFrame);
  void OnCancel(const PeerServer::SessionPtr& aSession, uint64_t aStream);
  void OnClosed(const PeerServer::SessionPtr& aSession);
  /// The target's state or slots changed.
  void OnTargetChanged();
  /// A new configuration is in force: the service's bounds may differ.
  void OnConfigChanged() { this->ApplyBounds(); }
  /// The node is stopping: takes nothing new.
  void Stop();

  /// State of the target for peers.
  StateWire State() const;
  /// Attempts queued or running.
  size_t Open() const { return this->open; }

 private:
  friend class TargetAttempt;

  /// Why the attempt must not run; None if it may.
  Cause Check(const RequestContext& aContext, TimePoint aNow) const;
  /// What is known of a response that did not match.
  struct FaultReport {
    ResponseFault fault = ResponseFault::None;
    /// Request that waited; empty if none did.
    std::string_view request;
    /// Identifier in the response; empty if it has none.
    std::string_view answered;
    /// Whether the connection had carried another request.
    bool usedBefore = false;
    /// Status of the response; 0 if it is of no account.
    int status = 0;
  };

  /// Counts and logs a response that did not match.
  void ReportFault(const FaultReport& aReport);
  /// Passes the target's slots and connections on to the admission.
  void ApplyBounds();
  /// Starts and drops queued attempts.
  void Pump();
  void SchedulePump();
  /// Pumps once the present event has been handled.
  void SchedulePumpNow();
  /// Thresholds on the path of a request, for the frame that ends it.
  std::vector<ThresholdWire> Thresholds(const RequestContext& aContext);
  AttemptPtr Find(const PeerServer::SessionPtr& aSession, uint64_t aStream);
  void Remove(const TargetAttempt& aAttempt);

  Dependencies dependencies;
  Controller controller;
  std::unique_ptr<ConnectionPool> pool;
  /// Target that the resting connections lead to.
  std::string poolOf;
  /// Requests that the target failed by itself.
  FailureShare failures;
  asio::steady_timer pumpTimer;
  bool pumpScheduled = false;
  /// Guards against a pump within a pump.
  bool pumping = false;
  bool pumpAgain = false;
  bool stopping = false;
  /// Attempts by session and stream.
  std::unordered_map<uint64_t, std::unordered_map<uint64_t, AttemptPtr>>
      attempts;
  size_t open = 0;
};

}  // namespace fescueline
