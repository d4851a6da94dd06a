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
  /// The response names no request and may belong to an earlier one.
  NoId,
  /// A success without the target's signature.
  Unsigned,
  /// The bytes are no response, or the reader's bounds end it.
  Malformed,
  /// A response to skip whose end is not certain.
  Unframed,
  /// Bytes came right behind the response.
  Trailing,
  /// The response ended before the request was written.
  Early,
  /// Bytes came while no request waited.
  Unsolicited,
  /// The response holds another one to the same request.
  Repeated,
  /// The status promises that the request has not run, and the server does not
  /// say so.
  Undeclared,
  /// The server says that it did not run a request which has run.
  Contradicted
};

template <>
struct EnumNames<ResponseFault> {
  static constexpr std::array<EnumName<ResponseFault>, 12> kNames{
      {{ResponseFault::None, "none"},
       {ResponseFault::OtherRequest, "other-request"},
       {ResponseFault::NoId, "no-id"},
       {ResponseFault::Unsigned, "unsigned"},
       {ResponseFault::Malformed, "malformed"},
       {ResponseFault::Unframed, "unframed"},
       {ResponseFault::Trailing, "surplus"},
       {ResponseFault::Early, "early"},
       {ResponseFault::Unsolicited, "unasked"},
       {ResponseFault::Repeated, "repeated"},
       {ResponseFault::Undeclared, "undeclared"},
       {ResponseFault::Contradicted, "contradicted"}}};
};

}  // namespace fescueline
