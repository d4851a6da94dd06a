#pragma once

#include <cmath>
#include <deque>
#include <string>
#include <vector>

#include "Admission/AdmissionController.h"
#include "Admission/ThresholdTable.h"
#include "ChainScenario.h"
#include "SimulatedTarget.h"

namespace fescueline {

/// One call to one instance.
struct ChainCall {
  static constexpr uint32_t kNoParent = UINT32_MAX;

  uint32_t attempt = 0;
  /// Position in the route's path.
  uint32_t step = 0;
  uint32_t caller = 0;
  uint32_t target = 0;
  /// Call that waits for this one; kNoParent for a call of an entry node.
  uint32_t parent = kNoParent;
  /// Service time without child calls, in seconds.
  double work = 0;
  AdmissionHandle handle{};
  TimePoint receivedAt{};
  TimePoint childBegun{};
  Duration childTime{0};
  bool succeeded = false;
  std::vector<ThresholdReport> reports{};
};

/// A target and the node beside it.
struct ChainNode {
  ChainNode(EventLoop& aLoop, const ChainScenario& aScenario, uint32_t aIndex)
      : service(aIndex / kInstances),
        target(aLoop, aScenario.slots[service]),
        controller(aScenario.admission, aScenario.seed + aIndex),
        table(aScenario.table, aScenario.seed + aIndex),
        name("n" + std::to_string(aIndex)) {
    std::optional<uint32_t> slots;
    if (aScenario.declaredFactor) {
      slots = static_cast<uint32_t>(std::lround(aScenario.slots[this->service] *
                                                *aScenario.declaredFactor));
      this->declaredSlots = *slots;
    }
    this->controller.Core().SetDeclaredLimits(
        slots, aScenario.connections[this->service]);
  }

  uint32_t service;
  SimulatedTarget target;
  AdmissionController<uint32_t> controller;
  AdmissionController<uint32_t>::Batch batch;
  ThresholdTable table;
  std::string name;
  /// This node's calls in flight, by target.
  std::array<uint32_t, kServices * kInstances> calls{};
  /// Last start of a request that is not critical.
  TimePoint lowerStartedAt{};
  /// State of ChainPolicy::FixedFifo.
  uint32_t declaredSlots = 64;
  uint32_t running = 0;
  std::deque<uint32_t> fifo;
};

}  // namespace fescueline
