#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "Config/RecordTable.h"
#include "Config/Records.h"
#include "Config/RequestPolicy.h"
#include "Config/RouteIndex.h"
#include "Config/RuleIndex.h"
#include "Core/Digest.h"
#include "Platform/TableStore.h"

namespace fescueline {

/// The configuration at one version of the table. Immutable, thread-safe.
/// Pointers and views that it returns are valid as long as the snapshot.
class ConfigSnapshot {
 public:
  /// An empty configuration at version 0.
  ConfigSnapshot();
  /// aBase with changed records, each key at most once. A record that cannot
  /// be decoded keeps its previous value and is counted.
  ConfigSnapshot(const ConfigSnapshot& aBase, uint64_t aVersion,
                 const std::vector<TableRecord>& aChanged);

  uint64_t Version() const { return this->version; }
  /// Records that could not be decoded, over all changes so far.
  uint64_t DecodeErrors() const { return this->decodeErrors; }

  /// The key with the SHA-256 digest, even if it is withdrawn, or null. A
  /// request's key may only be accepted if it is active and its organisation
  /// exists.
  const KeyRecord* FindKey(const Digest256& aDigest) const;
  /// The route of a request, or null; see RouteIndex::Find.
  const Route* FindRoute(std::string_view aMethod,
                         std::string_view aPath) const {
    return this->routeIndex->Find(aMethod, aPath);
  }
  /// Null if the organisation does not exist.
  const OrganisationRecord* FindOrganisation(std::string_view aName) const;
  /// Null if the organisation has no allocation.
  const AllocationRecord* FindAllocation(std::string_view aOrganisation) const;
  /// The current voucher set.
  const VouchersRecord& Vouchers() const { return this->vouchers; }

  const RecordTable<KeyRecord>& Keys() const { return *this->keys; }
  const RecordTable<RouteRecord>& Routes() const { return *this->routes; }
  const RecordTable<RuleRecord>& Rules() const { return *this->rules; }
  const RecordTable<OrganisationRecord>& Organisations() const {
    return *this->organisations;
  }
  const RecordTable<AllocationRecord>& Allocations() const {
    return *this->allocations;
  }
  const RecordTable<MemberRecord>& Members() const { return *this->members; }

  /// How a request is handled. The route's labels override the defaults, and
  /// rules override both.
  RequestPolicy ResolvePolicy(const RequestAttributes& aAttributes) const;

 private:
  template <typename R>
  using TablePointer = std::shared_ptr<const RecordTable<R>>;

  /// Replaces the table if records of its kind changed; false if none did.
  template <typename R>
  bool Update(TablePointer<R>& aTable, std::string_view aKind,
              const std::vector<TableRecord>& aChanged);
  void UpdateVouchers(const std::vector<TableRecord>& aChanged);

  /// Version of the table.
  uint64_t version = 0;
  uint64_t decodeErrors = 0;
  /// `org/`
  TablePointer<OrganisationRecord> organisations;
  /// `key/`
  TablePointer<KeyRecord> keys;
  /// `route/`
  TablePointer<RouteRecord> routes;
  /// `rule/`
  TablePointer<RuleRecord> rules;
  /// `alloc/`
  TablePointer<AllocationRecord> allocations;
  /// `member/`
  TablePointer<MemberRecord> members;
  /// `vouchers`
  VouchersRecord vouchers;
  /// Index over `routes`.
  std::shared_ptr<const RouteIndex> routeIndex;
  /// Index over `rules`.
  std::shared_ptr<const RuleIndex> ruleIndex;
};

}  // namespace fescueline
