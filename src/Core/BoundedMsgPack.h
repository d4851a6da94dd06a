#pragma once

#include <cstddef>
#include <msgpack.hpp>
#include <string_view>

namespace fescueline {

/// Limits on a MessagePack document from outside the process.
struct MsgPackLimits {
  /// Maximum size of the document in bytes.
  size_t maxBytes = 0;
  /// Maximum number of elements in one array. Bounds the memory that a length
  /// field can make the decoder allocate.
  size_t maxElements = 1024;
  /// Maximum nesting depth.
  size_t maxNesting = 8;
};

/// Unpacks a document without maps and extension types. Throws an exception of
/// the library if it is malformed or exceeds a limit.
inline msgpack::object_handle UnpackBounded(std::string_view aBytes,
                                            const MsgPackLimits& aLimits) {
  if (aBytes.size() > aLimits.maxBytes) {
    throw msgpack::str_size_overflow("document too long");
  }
  const msgpack::unpack_limit limit(aLimits.maxElements, 0, aLimits.maxBytes,
                                    aLimits.maxBytes, 0, aLimits.maxNesting);
  return msgpack::unpack(aBytes.data(), aBytes.size(), nullptr, nullptr, limit);
}

}  // namespace fescueline
