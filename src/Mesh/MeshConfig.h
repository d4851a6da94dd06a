#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Core/Digest.h"
#include "Core/Importance.h"
#include "Core/Time.h"
#include "Http1/LoopHttpServer.h"
#include "Limits/GrantSettings.h"

namespace fescueline {

/// A service and its weight on a route.
struct WeightedService {
  std::string service;
  /// Share of the requests, relative to the sum of the route's weights.
  uint32_t weight = 1;
};

/// Routing rule for a host and path prefix.
struct MeshRoute {
  std::string name;
  std::string host;
  /// Path prefix that begins and ends with a slash.
  std::string prefix;
  /// Services that serve the route; at least one.
  std::vector<WeightedService> services;
  /// Whether a request may run more than once.
  bool idempotent = false;
  /// Whether requests need no key.
  bool open = false;
  /// Upper limit of the time until a request's deadline.
  Duration timeout{};
  /// Response time up to which a response is of most use to the caller. Not
  /// used.
  Duration latencyObjective{};
  /// Maximum number of targets that a request may be sent to.
  uint32_t maxTargets = 1;
  /// Rank of the route's requests; a lower rank is more important.
  uint32_t rank = 0;
};

/// A service of the call graph.
struct MeshService {
  std::string name;
  /// Connections that one target accepts in total; 0 if not configured.
  uint32_t maxConnections = 0;
  /// Path of a target's health check; empty if it has none.
  std::string healthPath;
  /// Requests per second that a cold target takes without failing; 0 if there
  /// is no bound.
  double coldRate = 0;
};

/// An organisation, its API keys and its rate limit.
struct MeshOrganisation {
  std::string name;
  std::vector<std::string> keys;
  OrganisationRate rate;
  /// Rank of the organisation; takes precedence over the rank of the route.
  uint32_t rank = 0;
};

/// One decoded version of the configuration. Immutable and shared.
class MeshConfig {
 public:
  /// Contents of a version.
  struct Content {
    uint64_t version = 0;
    std::vector<MeshRoute> routes;
    std::vector<MeshService> services;
    std::vector<MeshOrganisation> organisations;
    CallerLimits limits;
  };

  explicit MeshConfig(Content aContent);

  uint64_t Version() const { return this->content.version; }
  const Content& All() const { return this->content; }
  /// Route of the host with the longest matching prefix; null if none.
  const MeshRoute* FindRoute(std::string_view aHost,
                             std::string_view aPath) const;
  /// Organisation with the given API key; null if none.
  const MeshOrganisation* FindByKey(const std::string& aKey) const;
  /// Organisation whose API key has the given SHA-256 digest; null if none.
  const MeshOrganisation* FindByKeyHash(const std::string& aKeyHash) const;
  const MeshOrganisation* FindOrganisation(const std::string& aName) const;
  const MeshService* FindService(const std::string& aName) const;
  /// Importance of an organisation's requests on a route; aOrganisation is null
  /// for requests without an organisation.
  Importance ImportanceOf(const MeshRoute& aRoute,
                          const MeshOrganisation* aOrganisation) const;
  /// Whether any organisation is configured. If none is, no request needs a
  /// key.
  bool HasOrganisations() const { return !this->content.organisations.empty(); }

 private:
  Content content;
  /// Indices of routes by host, longest prefix first.
  std::unordered_map<std::string, std::vector<size_t>> routesByHost;
  std::unordered_map<std::string, size_t> organisationByKey;
  std::unordered_map<std::string, size_t> organisationByKeyHash;
  std::unordered_map<std::string, size_t> organisationByName;
  std::unordered_map<std::string, size_t> serviceByName;
  /// Pairs of organisation rank and route rank that occur, sorted.
  std::vector<std::pair<uint32_t, uint32_t>> ranks;
};

using MeshConfigPtr = std::shared_ptr<const MeshConfig>;

}  // namespace fescueline
