#pragma once

#include <array>
#include <cstdint>

#include "Core/EnumNames.h"

namespace fescueline {

/// Why a response was discarded, or a connection closed, because the responses
/// do not match the requests.
enum class ResponseFault : uint8_t {
  None,
  /// The response has the request id of another request.
  OtherRequest,
  /// The response has no request id and may belong to an earlier request.
  NoId,
  /// A success response without the target's signature.
  Unsigned,
  /// The bytes are not a valid response, or exceed the limits of the reader.
  Malformed,
  /// A response that should be skipped, but whose end cannot be determined.
  Unframed,
  /// Trailing bytes followed the response.
  Trailing,
  /// The response ended before the request was completely written.
  Early,
  /// Unsolicited bytes arrived while no request was in progress.
  Unsolicited,
  /// The response contains another response to the same request.
  Repeated,
  /// The status means that the request has not run, but the server does not
  /// confirm it.
  Undeclared,
  /// The server states that it did not run a request that has run.
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
