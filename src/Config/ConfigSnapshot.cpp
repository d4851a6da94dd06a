#include "Config/ConfigSnapshot.h"

#include <algorithm>
#include <array>

#include "Config/ConfigError.h"
#include "Config/ConfigKeys.h"

namespace fescueline {

namespace {
constexpr std::array<std::string_view, 3> kIdempotentMethods{"GET", "HEAD",
                                                             "OPTIONS"};

template <typename R>
bool IsNameValid(std::string_view aName) {
  return IsValidName(aName);
}

template <>
bool IsNameValid<KeyRecord>(std::string_view aName) {
  return aName.size() == 2 * sizeof(Digest256) &&
         aName.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}
}  // namespace

ConfigSnapshot::ConfigSnapshot()
    : organisations(std::make_shared<RecordTable<OrganisationRecord>>()),
      keys(std::make_shared<RecordTable<KeyRecord>>()),
      routes(std::make_shared<RecordTable<RouteRecord>>()),
      rules(std::make_shared<RecordTable<RuleRecord>>()),
      allocations(std::make_shared<RecordTable<AllocationRecord>>()),
      members(std::make_shared<RecordTable<MemberRecord>>()),
      routeIndex(std::make_shared<RouteIndex>()),
      ruleIndex(std::make_shared<RuleIndex>()) {}

ConfigSnapshot::ConfigSnapshot(const ConfigSnapshot& aBase, uint64_t aVersion,
                               const std::vector<TableRecord>& aChanged)
    : ConfigSnapshot(aBase) {
  this->version = aVersion;
  this->Update(this->organisations, kOrganisationPrefix, aChanged);
  this->Update(this->keys, kKeyPrefix, aChanged);
  this->Update(this->allocations, kAllocationPrefix, aChanged);
  this->Update(this->members, kMemberPrefix, aChanged);
  this->UpdateVouchers(aChanged);
  if (this->Update(this->routes, kRoutePrefix, aChanged)) {
    this->routeIndex = std::make_shared<RouteIndex>(this->routes);
  }
  if (this->Update(this->rules, kRulePrefix, aChanged)) {
    this->ruleIndex = std::make_shared<RuleIndex>(this->rules);
  }
}

template <typename R>
bool ConfigSnapshot::Update(TablePointer<R>& aTable, std::string_view aKind,
                            const std::vector<TableRecord>& aChanged) {
  std::vector<RecordChange<R>> changes;
  for (const TableRecord& record : aChanged) {
    if (!record.key.starts_with(aKind)) {
      continue;
    }
    RecordChange<R> change{.name = record.key.substr(aKind.size()),
                           .content = nullptr};
    if (!record.deleted) {
      try {
        if (!IsNameValid<R>(change.name)) {
          throw ConfigError("name", "is not valid");
        }
        change.content = std::make_shared<const NamedRecord<R>>(NamedRecord<R>{
            .name = change.name,
            .version = record.version,
            .record = R::FromJson(record.value, UnknownFields::Ignore)});
      } catch (const ConfigError&) {
        ++this->decodeErrors;
        continue;
      }
    }
    changes.push_back(std::move(change));
  }
  if (changes.empty()) {
    return false;
  }
  std::sort(changes.begin(), changes.end(),
            [](const RecordChange<R>& aLeft, const RecordChange<R>& aRight) {
              return aLeft.name < aRight.name;
            });
  aTable = std::make_shared<const RecordTable<R>>(*aTable, changes);
  return true;
}

void ConfigSnapshot::UpdateVouchers(const std::vector<TableRecord>& aChanged) {
  for (const TableRecord& record : aChanged) {
    if (record.key != kVouchersKey) {
      continue;
    }
    try {
      this->vouchers =
          record.deleted
              ? VouchersRecord()
              : VouchersRecord::FromJson(record.value, UnknownFields::Ignore);
      this->vouchers.version = record.version;
    } catch (const ConfigError&) {
      ++this->decodeErrors;
    }
  }
}

const KeyRecord* ConfigSnapshot::FindKey(const Digest256& aDigest) const {
  const auto* found = this->keys->Find(ToHex(AsBytes(aDigest)));
  return found == nullptr ? nullptr : &found->record;
}

const OrganisationRecord* ConfigSnapshot::FindOrganisation(
    std::string_view aName) const {
  const auto* found = this->organisations->Find(aName);
  return found == nullptr ? nullptr : &found->record;
}

const AllocationRecord* ConfigSnapshot::FindAllocation(
    std::string_view aOrganisation) const {
  const auto* found = this->allocations->Find(aOrganisation);
  return found == nullptr ? nullptr : &found->record;
}

RequestPolicy ConfigSnapshot::ResolvePolicy(
    const RequestAttributes& aAttributes) const {
  RequestPolicy policy;
  policy.idempotent =
      std::find(kIdempotentMethods.begin(), kIdempotentMethods.end(),
                aAttributes.method) != kIdempotentMethods.end();
  if (const Route* route = aAttributes.route; route != nullptr) {
    for (const auto& row : EnumNames<PolicyLabel>::kNames) {
      if (route->record.policy.Has(row.value)) {
        policy.SetLabel(row.value, route->record.policy,
                        {.by = DecidedBy::Route, .name = route->name});
      }
    }
  }
  this->ruleIndex->Apply(aAttributes, policy);
  return policy;
}

}  // namespace fescueline
