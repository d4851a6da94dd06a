#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Limits/GrantSettings.h"
#include "Limits/TokenBucket.h"

namespace fescueline {

/// Fleet-wide rate limiter on one node. The tokens of each organisation come
/// from a small fixed share that always accrues and from grants of the issuer.
/// A request that finds no token waits for a grant for a short time. Used by
/// the mesh (src/Mesh); the node in src/Node uses ShareLedger instead. Not
/// thread-safe.
class GrantHolder {
 public:
  /// Called once with whether the request was admitted.
  using Callback = std::function<void(bool)>;
  /// A request for tokens.
  struct Request {
    /// Echoed in the response; never 0.
    uint64_t requestId = 0;
    uint32_t tokens = 0;
  };
  /// The issuer's response.
  struct Response {
    /// Id of the request; 0 if the issuer does not echo it.
    uint64_t requestId = 0;
    uint32_t tokens = 0;
    /// Whether a response without tokens means that the organisation is over
    /// its rate; false if the responding node is not the issuer or has just
    /// become it.
    bool mayRefuse = false;
  };
  /// Requests tokens from the issuer; false if it can't be reached.
  using SendRequest = std::function<bool(const std::string&, const Request&)>;

  /// aOnWaiting is called when a request starts to wait and Tick is needed.
  GrantHolder(const GrantSettings& aSettings, SendRequest aSendRequest,
              std::function<void()> aOnWaiting)
      : settings(aSettings),
        sendRequest(std::move(aSendRequest)),
        onWaiting(std::move(aOnWaiting)) {}

  /// Sets an organisation's limit and the number of nodes that share it.
  void SetLimit(const std::string& aOrganisation, const OrganisationRate& aRate,
                size_t aNodes, TimePoint aNow);
  /// Sets whether this node has no issuer. It then uses an equal share of each
  /// rate on its own, which the issuer does not grant to other nodes.
  void SetIsolated(bool aIsolated, TimePoint aNow);
  /// Removes the organisations for which aKeep is false and refuses their
  /// waiting requests.
  void Retain(const std::function<bool(const std::string&)>& aKeep);

  /// Spends a token, or waits for one until aWaitUntil. aCallback runs once,
  /// possibly before Admit returns.
  void Admit(const std::string& aOrganisation, TimePoint aNow,
             TimePoint aWaitUntil, Callback aCallback);
  /// Gives back the token of a request that was not sent to any target.
  void Return(const std::string& aOrganisation, TimePoint aNow);
  /// Handles the issuer's response, possibly to a request that has been retried
  /// since.
  void OnGrant(const std::string& aOrganisation, const Response& aResponse,
               TimePoint aNow);
  /// Decides waiting requests and retries lost requests for tokens. Call every
  /// 10 ms while HasWaiters returns true.
  void Tick(TimePoint aNow);
  bool HasWaiters() const { return this->waiting > 0; }

 private:
  struct Waiter {
    TimePoint until;
    Callback callback;
  };
  struct OpenRequest {
    uint64_t requestId = 0;
    TimePoint at{};
  };
  /// Tokens of one response.
  struct Granted {
    uint32_t tokens = 0;
    TimePoint until{};
  };
  struct Share {
    OrganisationRate rate;
    size_t nodes = 0;
    /// Share of the rate that this node uses without the issuer.
    TokenBucket fixed;
    /// Unspent granted tokens; spent from the front.
    std::deque<Granted> granted;
    /// Lapse time of the granted token that was spent last.
    TimePoint spentUntil{};
    std::deque<Waiter> waiters;
    /// Unanswered requests, oldest first; those whose tokens would have lapsed
    /// by now are removed.
    std::deque<OpenRequest> openRequests;
    TimePoint nextRequestAt{};
    /// Arrivals since demandAt, and their moving average per second.
    uint32_t arrivals = 0;
    double demand = 0;
    TimePoint demandAt{};
  };

  /// Sets the rate that this node may use without the issuer.
  void UpdateFixedShare(Share& aShare, TimePoint aNow);
  bool TrySpend(Share& aShare, TimePoint aNow);
  void UpdateDemand(Share& aShare, TimePoint aNow);
  void RequestIfDue(const std::string& aOrganisation, Share& aShare,
                    TimePoint aNow);
  /// Removes and returns the open request that a response belongs to; nullopt
  /// if there is none.
  static std::optional<OpenRequest> TakeOpenRequest(Share& aShare,
                                                    uint64_t aRequestId);
  void DropLapsedRequests(Share& aShare, TimePoint aNow) const;
  /// Decides the waiters that can be admitted or have waited too long; all of
  /// them with aRefuseRest.
  void DecideWaiters(Share& aShare, TimePoint aNow, bool aRefuseRest);

  GrantSettings settings;
  SendRequest sendRequest;
  std::function<void()> onWaiting;
  std::unordered_map<std::string, Share> shares;
  size_t waiting = 0;
  uint64_t lastRequestId = 0;
  bool isolated = false;
};

}  // namespace fescueline
