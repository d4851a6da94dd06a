#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "Limits/GrantHolder.h"
#include "Mesh/MeshContext.h"
#include "Mesh/MeshFleet.h"
#include "Node/Refusal.h"
#include "Retry/RetryRatio.h"
#include "Transport/HttpServer.h"

namespace fescueline {

/// Takes the requests of callers and of the local target, decides whether they
/// may run, and sends them to targets. Runs on the loop.
class EntryService {
 public:
  /// Construction parameters.
  struct Dependencies {
    MeshContext& context;
    MeshFleet& fleet;
    GrantHolder& grants;
    /// Secret for signing the context of requests.
    std::string fleetSecret;
  };

  explicit EntryService(Dependencies aDependencies);

  void OnRequest(HttpExchangePtr aExchange);
  /// Refuses requests of callers from now on. Calls of requests that run beside
  /// this node are still served.
  void RefuseNew() { this->refusesNew = true; }
  /// Requests in progress.
  size_t Open() const { return this->open; }

 private:
  friend class EntryCall;

  /// Service for the next request of a route, in proportion to the weights.
  const std::string& ServiceFor(const MeshRoute& aRoute);
  /// Bound on the repeats of this node at a service.
  RetryRatio& RetriesOf(const std::string& aService);

  Dependencies dependencies;
  /// Smooth weighted round robin: credit of each service by route.
  std::unordered_map<std::string, std::unordered_map<std::string, int64_t>>
      credits;
  std::map<std::string, RetryRatio> retries;
  /// Routes whose requests were seen to make calls of their own.
  std::unordered_set<std::string> routesWithCalls;
  size_t open = 0;
  bool refusesNew = false;
};

}  // namespace fescueline
