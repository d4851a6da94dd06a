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

/// What rules see of a request.
struct RequestAttributes {
  /// Route of the request; gives the route's name, service and labels.
  const Route* route = nullptr;
  /// HTTP method.
  std::string_view method;
  /// Organisation of the caller; empty if there is none.
  std::string_view organisation;
};

/// What set the value of a label.
enum class DecidedBy : uint8_t { Default, Route, Rule };

template <>
struct EnumNames<DecidedBy> {
  static constexpr std::array<EnumName<DecidedBy>, 3> kNames{
      {{DecidedBy::Default, "default"},
       {DecidedBy::Route, "route"},
       {DecidedBy::Rule, "rule"}}};
};

/// Which rule or route decided a label.
struct LabelDecision {
  /// Kind of the deciding record.
  DecidedBy by = DecidedBy::Default;
  /// Its name; empty for the default. Valid as long as the snapshot.
  std::string_view name;
};

/// How a request is handled.
struct RequestPolicy {
  /// Shed last to first.
  Importance importance = Importance::Normal;
  /// Whether the route needs no key.
  bool open = false;
  /// Whether the request may run more than once.
  bool idempotent = false;
  /// Time from entry to response.
  Duration deadline = std::chrono::seconds(10);
  /// Retry budget of the root request.
  uint32_t retries = 2;
  /// For each PolicyLabel, what decided it.
  std::array<LabelDecision, kPolicyLabels> decisions;

  const LabelDecision& DecisionOn(PolicyLabel aLabel) const {
    return this->decisions[static_cast<size_t>(aLabel)];
  }
  /// Takes the values that aLabels sets and records aSource as their origin.
  void Take(PolicyLabel aLabel, const PolicyLabels& aLabels,
            LabelDecision aSource);
};

}  // namespace fescueline
