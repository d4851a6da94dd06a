#pragma once

#include <atomic>
#include <unordered_map>

#include "Config/ConfigReplica.h"
#include "Core/OrderedMutex.h"
#include "Node/AttemptRegistry.h"
#include "Node/ConfigFreshness.h"
#include "Node/FleetView.h"
#include "Node/InboundAttempt.h"
#include "Node/LocalTarget.h"
#include "Node/Metrics.h"
#include "Node/ShareManager.h"
#include "Transport/HttpClient.h"
#include "Transport/PeerServer.h"

namespace fescueline {

/// Handles attempts that other nodes send to the local target. Thread-safe;
/// the events of one connection arrive on its strand.
class TargetHandler {
 public:
  /// References must outlive the object.
  struct Dependencies {
    std::string fleetSecret;
    ConfigReplica& config;
    ConfigFreshness& freshness;
    ShareManager& shares;
    LocalTarget& target;
    AttemptRegistry& attempts;
    FleetView& fleet;
    HttpClient& client;
    Metrics& metrics;
  };

  explicit TargetHandler(Dependencies aDependencies);

  /// Handlers for the peer listener.
  PeerServer::Handlers PeerHandlers();
  /// Starts queued attempts that are admitted and refuses those that are
  /// dropped. Runs on each change of the queue; call it every 10 ms as well.
  void Pump();
  /// Number of attempts in progress.
  size_t Open() const { return this->open.load(); }

  // Used by InboundAttempt.
  /// Why the key or the share that the entry node used is no longer valid;
  /// Cause::None if both are valid.
  Cause CheckAuthority(const RequestContext& aContext, TimePoint aNow);
  HttpClient& Client() { return this->dependencies.client; }
  const std::string& FleetSecret() const {
    return this->dependencies.fleetSecret;
  }
  void Release(AdmissionHandle aHandle, const AdmissionCompletion& aCompletion);
  void CancelQueued(AdmissionHandle aHandle);
  std::vector<ThresholdWire> Thresholds(const RequestContext& aContext);
  void OnFinished(InboundAttempt& aAttempt, AttemptResult aResult);

 private:
  using Streams = std::unordered_map<uint64_t, InboundAttemptPtr>;

  void OnRequest(const PeerServer::SessionPtr& aSession, RequestFrame aFrame,
                 Duration aTransitDelay);
  void OnQuery(const PeerServer::SessionPtr& aSession,
               const AttemptQueryFrame& aFrame);
  void OnClosed(const PeerServer::SessionPtr& aSession);
  InboundAttemptPtr Find(const PeerServer::SessionPtr& aSession,
                         uint64_t aStream);
  /// Why an attempt may not run here; Cause::None if it may.
  Cause Check(const RequestContext& aContext, TimePoint aNow);
  void Admit(const InboundAttemptPtr& aAttempt, TimePoint aNow);
  void Reply(const PeerServer::SessionPtr& aSession, uint64_t aStream,
             const AttemptReply& aReply);
  static void SendRefusal(const PeerServer::SessionPtr& aSession,
                          const RequestFrame& aFrame, Cause aCause,
                          Outcome aOutcome = Outcome::NotRun);

  Dependencies dependencies;
  /// Guards `streams` and `waitingSessions`.
  OrderedMutex mutex{LockRank::Transport};
  /// Open attempts by session number and stream.
  std::unordered_map<uint64_t, Streams> streams;
  /// Sessions with queries that wait for a running attempt.
  std::unordered_map<uint64_t, std::weak_ptr<PeerSession>> waitingSessions;
  /// Attempts in progress.
  std::atomic<size_t> open{0};
};

}  // namespace fescueline
