#pragma once

#include <array>
#include <cstdint>

#include "Core/EnumNames.h"

namespace fescueline {

/// State of a target as announced to its local node and forwarded to the nodes
/// that call it.
enum class TargetState : uint8_t {
  /// Not ready for requests yet.
  Starting,
  /// Takes requests.
  Ready,
  /// Finishes its requests and takes no new ones.
  Draining,
  /// Has not announced itself within the lease, or has stopped.
  Gone
};

template <>
struct EnumNames<TargetState> {
  static constexpr std::array<EnumName<TargetState>, 4> kNames{
      {{TargetState::Starting, "starting"},
       {TargetState::Ready, "ready"},
       {TargetState::Draining, "draining"},
       {TargetState::Gone, "gone"}}};
};

}  // namespace fescueline
