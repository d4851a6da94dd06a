#include "Mesh/EntryService.h"

#include <algorithm>

#include "Mesh/EntryCall.h"

namespace fescueline {

namespace {
/// Part of the fleet's limit on retries that nodes use, as their windows are
/// not aligned and calls with an unknown parent may belong to retries.
constexpr double kRetryShare = 0.65;
}  // namespace

EntryService::EntryService(Dependencies aDependencies)
    : dependencies(std::move(aDependencies)) {}

void EntryService::OnRequest(HttpExchangePtr aExchange) {
  std::make_shared<EntryCall>(*this, std::move(aExchange))->Start();
}

const std::string& EntryService::ServiceFor(const MeshRoute& aRoute) {
  if (aRoute.services.size() == 1) {
    return aRoute.services.front().service;
  }
  auto& credit = this->credits[aRoute.name];
  int64_t total = 0;
  const WeightedService* best = nullptr;
  for (const WeightedService& part : aRoute.services) {
    credit[part.service] += part.weight;
    total += part.weight;
    if (part.weight > 0 &&
        (best == nullptr || credit[part.service] > credit[best->service])) {
      best = &part;
    }
  }
  if (best == nullptr) {
    return aRoute.services.front().service;
  }
  credit[best->service] -= total;
  return best->service;
}

RetryRatio& EntryService::RetriesOf(const std::string& aService) {
  const auto found = this->retries.find(aService);
  if (found != this->retries.end()) {
    return found->second;
  }
  const MeshSettings& settings = this->dependencies.context.settings;
  const double nodes =
      static_cast<double>(std::max<size_t>(1, this->dependencies.fleet.Size()));
  return this->retries
      .emplace(aService,
               RetryRatio({.ratio = settings.retryRatio * kRetryShare,
                           .floor = static_cast<uint32_t>(settings.retryFloor *
                                                          kRetryShare / nodes),
                           .window = settings.retryWindow}))
      .first->second;
}

}  // namespace fescueline
