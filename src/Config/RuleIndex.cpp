#include "Config/RuleIndex.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace fescueline {

namespace {
constexpr uint32_t kNoRule = std::numeric_limits<uint32_t>::max();

size_t RequirementCount(const Rule& aRule) {
  return aRule.record.selector.Requirements().size();
}

/// Whether a rule takes precedence over another one that sets the same label.
bool Precedes(const Rule* aLeft, const Rule* aRight) {
  const size_t left = RequirementCount(*aLeft);
  const size_t right = RequirementCount(*aRight);
  return left != right ? left > right : aLeft->name < aRight->name;
}

std::optional<std::string_view> LookUp(const RequestAttributes& aAttributes,
                                       std::string_view aName) {
  if (aName == "method") {
    return aAttributes.method;
  }
  if (aName == "organisation") {
    return aAttributes.organisation.empty()
               ? std::nullopt
               : std::optional(aAttributes.organisation);
  }
  if (aAttributes.route == nullptr) {
    return std::nullopt;
  }
  if (aName == "route") {
    return aAttributes.route->name;
  }
  if (aName == "service") {
    return aAttributes.route->record.service;
  }
  return aAttributes.route->record.labels.Find(aName);
}
}  // namespace

RuleIndex::RuleIndex(std::shared_ptr<const RecordTable<RuleRecord>> aRules)
    : rules(std::move(aRules)) {
  for (const auto& rule : this->rules->Items()) {
    this->ranked.push_back(rule.get());
  }
  std::sort(this->ranked.begin(), this->ranked.end(), Precedes);
  for (uint32_t rank = 0; rank < this->ranked.size(); ++rank) {
    const Selector& selector = this->ranked[rank]->record.selector;
    if (const auto route = selector.RequiredValue("route")) {
      this->byRoute[std::string(*route)].push_back(rank);
    } else if (const auto name = selector.RequiredValue("organisation")) {
      this->byOrganisation[std::string(*name)].push_back(rank);
    } else if (const auto service = selector.RequiredValue("service")) {
      this->byService[std::string(*service)].push_back(rank);
    } else {
      this->otherRules.push_back(rank);
    }
  }
}

void RuleIndex::Search(const Bucket& aBucket,
                       const RequestAttributes& aAttributes,
                       BestRules& aBest) const {
  const auto lookUp = [&](std::string_view aName) {
    return LookUp(aAttributes, aName);
  };
  for (const uint32_t rank : aBucket) {
    if (rank > *std::max_element(aBest.begin(), aBest.end())) {
      return;
    }
    const RuleRecord& rule = this->ranked[rank]->record;
    if (!rule.selector.Matches(lookUp)) {
      continue;
    }
    for (size_t label = 0; label < kPolicyLabels; ++label) {
      if (rank < aBest[label] &&
          rule.policy.Has(static_cast<PolicyLabel>(label))) {
        aBest[label] = rank;
      }
    }
  }
}

void RuleIndex::Search(const Buckets& aBuckets, std::string_view aValue,
                       const RequestAttributes& aAttributes,
                       BestRules& aBest) const {
  if (const auto bucket = aBuckets.find(aValue); bucket != aBuckets.end()) {
    this->Search(bucket->second, aAttributes, aBest);
  }
}

void RuleIndex::Apply(const RequestAttributes& aAttributes,
                      RequestPolicy& aPolicy) const {
  BestRules best;
  best.fill(kNoRule);
  if (aAttributes.route != nullptr) {
    this->Search(this->byRoute, aAttributes.route->name, aAttributes, best);
    this->Search(this->byService, aAttributes.route->record.service,
                 aAttributes, best);
  }
  this->Search(this->byOrganisation, aAttributes.organisation, aAttributes,
               best);
  this->Search(this->otherRules, aAttributes, best);
  for (size_t label = 0; label < kPolicyLabels; ++label) {
    if (best[label] != kNoRule) {
      const Rule& rule = *this->ranked[best[label]];
      aPolicy.SetLabel(static_cast<PolicyLabel>(label), rule.record.policy,
                       {.by = DecidedBy::Rule, .name = rule.name});
    }
  }
}

}  // namespace fescueline
