#pragma once

#include <string_view>

#include "Config/ConfigKeys.h"
#include "Config/Records.h"

namespace fescueline {

/// Table prefix of a record type that operators write.
template <typename R>
struct RecordKind;

template <>
struct RecordKind<OrganisationRecord> {
  static constexpr std::string_view kPrefix = kOrganisationPrefix;
};

template <>
struct RecordKind<RouteRecord> {
  static constexpr std::string_view kPrefix = kRoutePrefix;
};

template <>
struct RecordKind<RuleRecord> {
  static constexpr std::string_view kPrefix = kRulePrefix;
};

}  // namespace fescueline
