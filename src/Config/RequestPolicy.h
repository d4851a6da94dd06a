#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "Config/PolicyLabels.h"
#include "Config/RouteIndex.h"
#include "Core/EnumNames.h"
#include "Core/Importance.h"
#include "Core/Time.h"

namespace fescueline {

/// Attributes of a request that selectors are matched against.
struct RequestAttributes {
  /// Route of the request; gives the route's name, service and labels.
  const Route* route = nullptr;
  /// HTTP method.
  std::string_view method;
  /// Organisation of the caller; empty if there is none.
  std::string_view organisation;
};

/// Kind of source that set the value of a label.
enum class DecidedBy : uint8_t { Default, Route, Rule };

template <>
struct EnumNames<DecidedBy> {
  static constexpr std::array<EnumName<DecidedBy>, 3> kNames{
      {{DecidedBy::Default, "default"},
       {DecidedBy::Route, "route"},
       {DecidedBy::Rule, "rule"}}};
};

/// Source of a label's value: the default, the route or a rule.
struct LabelDecision {
  DecidedBy by = DecidedBy::Default;
  /// Name of the route or rule; empty for the default. Valid as long as the
  /// snapshot.
  std::string_view name;
};

/// How a request is handled.
struct RequestPolicy {
  /// Under overload, less important requests are shed first.
  Importance importance = Importance::Normal;
  /// Whether the route needs no key.
  bool open = false;
  /// Whether the request may be executed more than once.
  bool idempotent = false;
  /// Longest time from the entry of the root request to its response.
  Duration deadline = std::chrono::seconds(10);
  /// Retry budget of the root request.
  uint32_t retries = 2;
  /// Source of each value, by PolicyLabel.
  std::array<LabelDecision, kPolicyLabels> decisions;

  const LabelDecision& DecisionOn(PolicyLabel aLabel) const {
    return this->decisions[static_cast<size_t>(aLabel)];
  }
  /// Sets one label to its value in aLabels, which must have it, and records
  /// aSource as the source of the value.
  void SetLabel(PolicyLabel aLabel, const PolicyLabels& aLabels,
                LabelDecision aSource);
};

}  // namespace fescueline
