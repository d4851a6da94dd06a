#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Config/RecordTable.h"
#include "Config/Records.h"
#include "Config/RequestPolicy.h"
#include "Config/StringHash.h"

namespace fescueline {

using Rule = NamedRecord<RuleRecord>;

/// Finds the rule that sets each policy label. Rules that require one route,
/// service or organisation are indexed by it, so that few rules are tested per
/// request even if there are many. Immutable, thread-safe.
class RuleIndex {
 public:
  RuleIndex() = default;
  explicit RuleIndex(std::shared_ptr<const RecordTable<RuleRecord>> aRules);

  /// Overrides the labels of aPolicy that a matching rule sets.
  void Apply(const RequestAttributes& aAttributes,
             RequestPolicy& aPolicy) const;

 private:
  /// Positions in `ranked`, ascending.
  using Bucket = std::vector<uint32_t>;
  using Buckets =
      std::unordered_map<std::string, Bucket, StringHash, std::equal_to<>>;
  /// Position in `ranked` of the best match so far, by PolicyLabel.
  using BestRules = std::array<uint32_t, kPolicyLabels>;

  void Search(const Bucket& aBucket, const RequestAttributes& aAttributes,
              BestRules& aBest) const;
  void Search(const Buckets& aBuckets, std::string_view aValue,
              const RequestAttributes& aAttributes, BestRules& aBest) const;

  /// Keeps the indexed records alive.
  std::shared_ptr<const RecordTable<RuleRecord>> rules;
  /// Rules in order of precedence.
  std::vector<const Rule*> ranked;
  /// Rules that require one route.
  Buckets byRoute;
  /// Other rules that require one organisation.
  Buckets byOrganisation;
  /// Other rules that require one service.
  Buckets byService;
  /// All other rules.
  Bucket otherRules;
};

}  // namespace fescueline
