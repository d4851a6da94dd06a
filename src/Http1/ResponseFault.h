#pragma once

#include <array>
#include <cstdint>

#include "Core/EnumNames.h"

namespace fescueline {

/// Why a response was dropped or a connection was closed because requests and
/// responses on it do not match.
enum class ResponseFault : uint8_t {
  None,
  /// The response names another request.
  OtherRequest,
  /// Bytes came right behind the response.
  Surplus,
  /// Bytes came while no request waited.
  Unasked
};

template <>
struct EnumNames<ResponseFault> {
  static constexpr std::array<EnumName<ResponseFault>, 4> kNames{
      {{ResponseFault::None, "none"},
       {ResponseFault::OtherRequest, "other-request"},
       {ResponseFault::Surplus, "surplus"},
       {ResponseFault::Unasked, "unasked"}}};
};

}  // namespace fescueline
