#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "Core/EnumNames.h"
#include "Core/Error.h"

namespace fescueline {

/// Possible effect of a failed call to the platform.
enum class Failure : uint8_t {
  /// The call had no effect and will have none.
  Unavailable,
  /// The write may have taken effect or may still take effect.
  OutcomeUnknown
};

template <>
struct EnumNames<Failure> {
  static constexpr std::array<EnumName<Failure>, 2> kNames{
      {{Failure::Unavailable, "unavailable"},
       {Failure::OutcomeUnknown, "outcome-unknown"}}};
};

/// Failed call to the table service or the object store.
class PlatformError : public Error {
 public:
  PlatformError(Failure aFailure, std::string_view aStep,
                std::string_view aPeer, std::string_view aMessage)
      : Error(aStep, aPeer, aMessage), failure(aFailure) {}

  Failure GetFailure() const { return this->failure; }

 private:
  Failure failure;
};

}  // namespace fescueline
