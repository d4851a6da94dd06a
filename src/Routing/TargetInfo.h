#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include "Core/EnumNames.h"
#include "Core/Identifiers.h"
#include "Core/Time.h"
#include "Membership/TargetState.h"

namespace fescueline {

/// Description of a target from its member record and announcements.
struct TargetInfo {
  /// Id of the node beside the target.
  std::string node;
  /// Incarnation of that node.
  Id128 incarnation;
  /// Service that the target belongs to.
  std::string service;
  /// Data centre of the instance.
  std::string dataCentre;
  /// Region of the data centre.
  std::string region;
  /// Requests that the target handles concurrently.
  uint32_t capacity = 1;
};

/// Handle of a target in a TargetTable. The table ignores handles of targets
/// that were removed or replaced.
struct TargetRef {
  /// Slot in the table.
  uint32_t index = 0;
  /// Number of times that the slot was reused.
  uint32_t generation = 0;

  auto operator<=>(const TargetRef&) const = default;
};

/// Status report of a target's node, sent with each pong. Only a hint: it lags,
/// and the values are not verified.
struct TargetReport {
  /// State of the target.
  TargetState state = TargetState::Ready;
  /// Requests queued and running at the target from all callers.
  uint32_t load = 0;
  /// Requests that the target handles concurrently; 0 keeps the known value.
  uint32_t capacity = 0;
  /// Time for which the target has been ready; if absent, it counts from the
  /// first report with state Ready.
  std::optional<Duration> readyFor = std::nullopt;
  /// Share of recent requests that the target itself failed, 0 to 1.
  double failureRate = 0.0;
};

/// Result of a call to a target, as used for routing.
enum class CallResult : uint8_t {
  /// A complete response that shows no fault of the target.
  Answered,
  /// No complete response, an expired deadline, or a 5xx response.
  Failed,
  /// The target's node could not be reached.
  ConnectFailed,
  /// Refused or shed because of load; the target is busy, not faulty.
  Refused,
  /// Cancelled by the caller; no sample of the target's health.
  Cancelled
};

template <>
struct EnumNames<CallResult> {
  static constexpr std::array<EnumName<CallResult>, 5> kNames{
      {{CallResult::Answered, "answered"},
       {CallResult::Failed, "failed"},
       {CallResult::ConnectFailed, "connect-failed"},
       {CallResult::Refused, "refused"},
       {CallResult::Cancelled, "cancelled"}}};
};

}  // namespace fescueline
