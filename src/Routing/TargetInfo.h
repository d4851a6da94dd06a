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

/// What the member record and the announcements say about a target.
struct TargetInfo {
  /// Node id of the node beside the target.
  std::string node;
  /// Incarnation of that node.
  Id128 incarnation;
  /// Service that the target belongs to.
  std::string service;
  /// Data centre of the instance.
  std::string dataCentre;
  /// Region of the data centre.
  std::string region;
  /// Requests that the target handles at once.
  uint32_t capacity = 1;
};

/// Reference to a target of a TargetTable. Stays valid as a value after the
/// target was removed or replaced; the table ignores it then.
struct TargetRef {
  /// Slot in the table.
  uint32_t index = 0;
  /// Number of times that the slot was reused.
  uint32_t generation = 0;

  auto operator<=>(const TargetRef&) const = default;
};

/// What a target's node reports with each pong. A hint: it lags, and the
/// target may report anything.
struct TargetReport {
  /// State of the target.
  TargetState state = TargetState::Ready;
  /// Requests queued and running at the target from all callers.
  uint32_t load = 0;
  /// Requests that the target handles at once; 0 leaves it unchanged.
  uint32_t capacity = 0;
  /// How long the target has been ready, if the report says so; otherwise it
  /// counts from the first report with state Ready.
  std::optional<Duration> readyFor = std::nullopt;
  /// Share of the target's recent requests that it failed by itself.
  double failing = 0.0;
};

/// How a call to a target ended, as far as routing is concerned.
enum class CallResult : uint8_t {
  /// A complete response that does not blame the target.
  Answered,
  /// No complete response, an expired deadline, or a 5xx response.
  Failed,
  /// The target's node could not be reached.
  ConnectFailed,
  /// Refused or shed for load; the target is busy, not faulty.
  Refused,
  /// Given up by the caller; says nothing about the target.
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
