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

/// Finds the deciding rule of each label. Rules that require one route,
/// service or organisation are looked up by it, so a decision costs little
/// with many rules. Immutable; any thread.
class RuleIndex {
 public:
  RuleIndex() = default;
  explicit RuleIndex(std::shared_ptr<const RecordTable<RuleRecord>> aRules);

  /// Overrides the labels of aPolicy that a matching rule sets.
  void Decide(const RequestAttributes& aAttributes,
              RequestPolicy& aPolicy) const;

 private:
  /// Positions in `ranked`, ascending.
  using Bucket = std::vector<uint32_t>;
  using Buckets =
      std::unordered_map<std::string, Bucket, StringHash, std::equal_to<>>;
  /// For each label the position of the best rule so far.
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
  Bucket general;
};

}  // namespace fescueline
