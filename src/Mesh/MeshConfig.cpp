#include "Mesh/MeshConfig.h"

#include <algorithm>

namespace fescueline {

namespace {
template <typename T>
const T* FindIn(const std::unordered_map<std::string, size_t>& aIndex,
                const std::vector<T>& aItems, const std::string& aName) {
  const auto found = aIndex.find(aName);
  return found == aIndex.end() ? nullptr : &aItems[found->second];
}

/// Returns the host in lower case and without the port.
std::string NormalHost(std::string_view aHost) {
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(host.begin(), host.end(), host.begin(),
                 [](unsigned char aChar) { return std::tolower(aChar); });
  return host;
}
}  // namespace

MeshConfig::MeshConfig(Content aContent) : content(std::move(aContent)) {
  for (size_t i = 0; i < this->content.routes.size(); ++i) {
    this->routesByHost[NormalHost(this->content.routes[i].host)].push_back(i);
  }
  for (auto& [host, routes] : this->routesByHost) {
    std::stable_sort(routes.begin(), routes.end(),
                     [this](size_t aOne, size_t aOther) {
                       return this->content.routes[aOne].prefix.size() >
                              this->content.routes[aOther].prefix.size();
                     });
  }
  for (size_t i = 0; i < this->content.organisations.size(); ++i) {
    const MeshOrganisation& organisation = this->content.organisations[i];
    this->organisationByName.emplace(organisation.name, i);
    for (const std::string& key : organisation.keys) {
      this->organisationByKey.emplace(key, i);
      this->organisationByKeyHash.emplace(AsBytes(Sha256(key)), i);
    }
  }
  for (const MeshRoute& route : this->content.routes) {
    if (route.open) {
      continue;
    }
    for (const MeshOrganisation& organisation : this->content.organisations) {
      this->ranks.emplace_back(organisation.rank, route.rank);
    }
  }
  std::sort(this->ranks.begin(), this->ranks.end());
  this->ranks.erase(std::unique(this->ranks.begin(), this->ranks.end()),
                    this->ranks.end());
  for (size_t i = 0; i < this->content.services.size(); ++i) {
    this->serviceByName.emplace(this->content.services[i].name, i);
  }
}

const MeshRoute* MeshConfig::FindRoute(std::string_view aHost,
                                       std::string_view aPath) const {
  const auto found = this->routesByHost.find(NormalHost(aHost));
  if (found == this->routesByHost.end()) {
    return nullptr;
  }
  for (const size_t index : found->second) {
    if (aPath.starts_with(this->content.routes[index].prefix)) {
      return &this->content.routes[index];
    }
  }
  return nullptr;
}

const MeshOrganisation* MeshConfig::FindByKey(const std::string& aKey) const {
  return FindIn(this->organisationByKey, this->content.organisations, aKey);
}

const MeshOrganisation* MeshConfig::FindByKeyHash(
    const std::string& aKeyHash) const {
  return FindIn(this->organisationByKeyHash, this->content.organisations,
                aKeyHash);
}

const MeshOrganisation* MeshConfig::FindOrganisation(
    const std::string& aName) const {
  return FindIn(this->organisationByName, this->content.organisations, aName);
}

const MeshService* MeshConfig::FindService(const std::string& aName) const {
  return FindIn(this->serviceByName, this->content.services, aName);
}

Importance MeshConfig::ImportanceOf(
    const MeshRoute& aRoute, const MeshOrganisation* aOrganisation) const {
  if (this->ranks.empty()) {
    return static_cast<Importance>(
        std::min<uint32_t>(aRoute.rank, kImportanceClasses - 1));
  }
  // Requests without an organisation are made by targets and rank with those of
  // the most important organisations.
  const std::pair<uint32_t, uint32_t> rank(
      aOrganisation == nullptr ? 0 : aOrganisation->rank, aRoute.rank);
  const auto position = static_cast<size_t>(
      std::lower_bound(this->ranks.begin(), this->ranks.end(), rank) -
      this->ranks.begin());
  // The pairs of ranks are spread evenly over the classes, in order.
  const size_t classes = std::max(this->ranks.size(), kImportanceClasses);
  return static_cast<Importance>(std::min(
      position * kImportanceClasses / classes, kImportanceClasses - 1));
}

}  // namespace fescueline
