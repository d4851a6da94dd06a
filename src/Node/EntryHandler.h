#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "Config/ConfigReplica.h"
#include "Node/AttemptRegistry.h"
#include "Node/ConfigFreshness.h"
#include "Node/ForwardCall.h"
#include "Node/ShareManager.h"

namespace fescueline {

/// Claims Idempotency-Keys, so that only one request with a key runs.
class IdempotencyClaims {
 public:
  enum class Result : uint8_t { Claimed, Duplicate, Unavailable, Unknown };

  virtual ~IdempotencyClaims() = default;
  /// Claims a key of an organisation; aDecided runs once, on any thread.
  virtual void Claim(const std::string& aOrganisation, const std::string& aKey,
                     const Id128& aRootId,
                     std::function<void(Result)> aDecided) = 0;
  /// Releases a claim after the outcome "not run", so that the caller may
  /// retry.
  virtual void Release(const std::string& aOrganisation,
                       const std::string& aKey, const Id128& aRootId) = 0;
};

/// Accepts requests of callers and of the local target, checks whether they may
/// run, and forwards them. Thread-safe.
class EntryHandler {
 public:
  /// References must outlive the object.
  struct Dependencies {
    asio::io_context& io;
    std::string fleetSecret;
    ConfigReplica& config;
    ConfigFreshness& freshness;
    ShareManager& shares;
    AttemptRegistry& attempts;
    FleetView& fleet;
    PeerPool& peers;
    Metrics& metrics;
    IdempotencyClaims& claims;
    /// Longest wait of a request for a share of its organisation's rate.
    Duration shareWait = std::chrono::milliseconds(50);
  };

  explicit EntryHandler(Dependencies aDependencies);

  /// Handles a request on the callers' listener.
  void OnCaller(HttpExchangePtr aExchange);
  /// Handles a request of the local target.
  void OnLocalTarget(HttpExchangePtr aExchange);
  /// Refuses further requests of callers, because the node is stopping.
  void StopAccepting() { this->accepting = false; }
  /// Number of requests whose response has not been sent completely.
  size_t Open() const { return this->open.load(); }

 private:
  struct Pending;
  using PendingPtr = std::shared_ptr<Pending>;

  enum class Origin : uint8_t { Caller, Target };

  void Begin(HttpExchangePtr aExchange, RunningAttemptPtr aParent,
             Origin aOrigin);
  /// Steps of a request; each refuses it or starts the next step.
  void Route(const PendingPtr& aPending);
  /// Determines the organisation from the key; false if the request was
  /// refused.
  bool Authenticate(Pending& aPending);
  bool InheritContext(Pending& aPending);
  void AdmitByRate(const PendingPtr& aPending);
  void Claim(const PendingPtr& aPending);
  void Forward(const PendingPtr& aPending);
  void Refuse(Pending& aPending, const Refusal& aRefusal);

  Dependencies dependencies;
  /// Whether requests of callers are accepted.
  std::atomic<bool> accepting{true};
  /// Requests whose response has not been sent completely.
  std::atomic<size_t> open{0};
};

}  // namespace fescueline
