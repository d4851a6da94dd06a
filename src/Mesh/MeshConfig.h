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

/// A service and its part of a route's requests.
struct WeightedService {
  std::string service;
  /// Part in proportion to the sum of the route's weights.
  uint32_t weight = 1;
};

/// Rule for the requests of one host and path prefix.
struct MeshRoute {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  /// Where requests go; at least one.
  std::vector<WeightedService> services;
  /// Whether a request may run more than once.
  bool idempotent = false;
  /// Whether requests need no key.
  bool open = false;
  /// Longest time that a caller is kept waiting.
  Duration timeout{};
  /// Time within which a response is worth most to the caller.
  Duration latencyObjective{};
  /// Most targets that one request may be sent to.
  uint32_t maxTargets = 1;
  /// Rank of its requests; a lower one is more important.
  uint32_t rank = 0;
};

/// A service of the graph.
struct MeshService {
  std::string name;
  /// Connections that one target accepts from all callers; 0 if not stated.
  uint32_t maxConnections = 0;
  /// Where a target answers whether it is healthy; empty if nowhere.
  std::string healthPath;
};

/// An organisation, its keys and its limit.
struct MeshOrganisation {
  std::string name;
  std::vector<std::string> keys;
  OrganisationRate rate;
  /// Rank of the organisation; goes before the rank of the route.
  uint32_t rank = 0;
};

/// One version of the configuration, decoded. Immutable and shared.
class MeshConfig {
 public:
  /// What a version consists of.
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
  /// Route of the host with the longest prefix of the path; null if none.
  const MeshRoute* FindRoute(std::string_view aHost,
                             std::string_view aPath) const;
  /// Organisation that holds the key; null if nobody does.
  const MeshOrganisation* FindByKey(const std::string& aKey) const;
  /// The same by the key's digest.
  const MeshOrganisation* FindByKeyHash(const std::string& aKeyHash) const;
  const MeshOrganisation* FindOrganisation(const std::string& aName) const;
  const MeshService* FindService(const std::string& aName) const;
  /// Importance of an organisation's requests on a route, or of requests
  /// without an organisation if it is null.
  Importance ImportanceOf(const MeshRoute& aRoute,
                          const MeshOrganisation* aOrganisation) const;
  /// Whether requests on closed routes need a key.
  bool HasOrganisations() const { return !this->content.organisations.empty(); }

 private:
  Content content;
  /// Positions of routes by host, longest prefix first.
  std::unordered_map<std::string, std::vector<size_t>> routesByHost;
  std::unordered_map<std::string, size_t> organisationByKey;
  std::unordered_map<std::string, size_t> organisationByKeyHash;
  std::unordered_map<std::string, size_t> organisationByName;
  std::unordered_map<std::string, size_t> serviceByName;
  /// Pairs of ranks in use, of organisation and route, in their order.
  std::vector<std::pair<uint32_t, uint32_t>> ranks;
};

using MeshConfigPtr = std::shared_ptr<const MeshConfig>;

}  // namespace fescueline
