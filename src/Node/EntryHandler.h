#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "Config/ConfigReplica.h"
#include "Node/AttemptRegistry.h"
#include "Node/ForwardCall.h"
#include "Node/NodeKnowledge.h"
#include "Node/ShareKeeper.h"

namespace fescueline {

/// Claims that a request with an Idempotency-Key runs here first.
class IdempotencyClaims {
 public:
  /// Result of a claim.
  enum class Result : uint8_t { Claimed, Duplicate, Unavailable, Unknown };

  virtual ~IdempotencyClaims() = default;
  /// Claims the pair; aDecided runs once, on any thread.
  virtual void Claim(const std::string& aOrganisation, const std::string& aKey,
                     const Id128& aRootId,
                     std::function<void(Result)> aDecided) = 0;
  /// Gives a claim up after "not run", so that the caller may try again.
  virtual void Release(const std::string& aOrganisation,
                       const std::string& aKey, const Id128& aRootId) = 0;
};

/// Takes requests from callers and from the local target, decides whether
/// they may run, and forwards them. Thread-safe.
class EntryHandler {
 public:
  /// Tables and services that it works on; all outlive it.
  struct Dependencies {
    asio::io_context& io;
    std::string fleetSecret;
    ConfigReplica& config;
    NodeKnowledge& knowledge;
    ShareKeeper& shares;
    AttemptRegistry& attempts;
    FleetView& fleet;
    PeerPool& peers;
    Metrics& metrics;
    IdempotencyClaims& claims;
    /// Longest wait for a share.
    Duration shareWait = std::chrono::milliseconds(50);
  };

  explicit EntryHandler(Dependencies aDependencies);

  /// A request on the callers' listener.
  void OnCaller(HttpExchangePtr aExchange);
  /// A request of the local target.
  void OnLocalTarget(HttpExchangePtr aExchange);
  /// The node stops: callers' requests are refused from now on.
  void StopAccepting() { this->accepting = false; }
  /// Requests without an end.
  size_t Open() const { return this->open.load(); }

 private:
  struct Pending;
  using PendingPtr = std::shared_ptr<Pending>;

  /// Where a request comes from.
  enum class Origin : uint8_t { Caller, Target };

  void Begin(HttpExchangePtr aExchange, RunningAttemptPtr aParent,
             Origin aOrigin);
  /// Steps of a request; each refuses or goes on to the next.
  void Route(const PendingPtr& aPending);
  /// Organisation of the key; false if the request was refused.
  bool Authenticate(Pending& aPending);
  bool Inherit(Pending& aPending);
  void AdmitByRate(const PendingPtr& aPending);
  void Claim(const PendingPtr& aPending);
  void Forward(const PendingPtr& aPending);
  void Refuse(Pending& aPending, const Refusal& aRefusal);

  Dependencies dependencies;
  /// Whether callers' requests are taken.
  std::atomic<bool> accepting{true};
  /// Requests without an end.
  std::atomic<size_t> open{0};
};

}  // namespace fescueline
