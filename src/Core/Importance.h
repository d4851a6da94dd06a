#pragma once

#include <array>
#include <cstdint>

#include "Core/EnumNames.h"

namespace fescueline {

/// Importance class of a request; a lower value is shed later.
enum class Importance : uint8_t { Critical, High, Normal, Low };

inline constexpr size_t kImportanceClasses = 4;

template <>
struct EnumNames<Importance> {
  static constexpr std::array<EnumName<Importance>, kImportanceClasses> kNames{
      {{Importance::Critical, "critical"},
       {Importance::High, "high"},
       {Importance::Normal, "normal"},
       {Importance::Low, "low"}}};
};

}  // namespace fescueline
