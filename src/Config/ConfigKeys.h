#pragma once

#include <string_view>

namespace fescueline {

inline constexpr std::string_view kOrganisationPrefix = "org/";
inline constexpr std::string_view kKeyPrefix = "key/";
inline constexpr std::string_view kRoutePrefix = "route/";
inline constexpr std::string_view kRulePrefix = "rule/";
inline constexpr std::string_view kAllocationPrefix = "alloc/";
inline constexpr std::string_view kMemberPrefix = "member/";
inline constexpr std::string_view kVouchersKey = "vouchers";

}  // namespace fescueline
