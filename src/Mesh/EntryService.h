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

/// Receives requests of callers and of the local target, admits or refuses
/// them, and sends them to targets. Runs on the event loop.
class EntryService {
 public:
  struct Dependencies {
    MeshContext& context;
    MeshFleet& fleet;
    GrantHolder& grants;
    /// Secret for signing the context of requests.
    std::string fleetSecret;
  };

  explicit EntryService(Dependencies aDependencies);

  void OnRequest(HttpExchangePtr aExchange);
  /// Refuses requests of callers from now on. Calls made by requests that run
  /// at the local target are still served.
  void RefuseNew() { this->refusesNew = true; }
  /// Also refuses calls made by requests that run at the local target.
  void RefuseCalls() { this->refusesCalls = true; }
  /// Number of requests in progress.
  size_t Open() const { return this->open; }

 private:
  friend class EntryCall;

  /// Selects the service for the next request of a route, in proportion to the
  /// weights.
  const std::string& ServiceFor(const MeshRoute& aRoute);
  /// Limit on the retries of this node at a service.
  RetryRatio& RetriesOf(const std::string& aService);

  Dependencies dependencies;
  /// State of the smooth weighted round robin: credit per route and service.
  std::unordered_map<std::string, std::unordered_map<std::string, int64_t>>
      credits;
  std::map<std::string, RetryRatio> retries;
  /// Routes whose requests have been observed to make downstream calls.
  std::unordered_set<std::string> routesWithCalls;
  size_t open = 0;
  bool refusesNew = false;
  bool refusesCalls = false;
};

}  // namespace fescueline
