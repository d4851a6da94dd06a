#pragma once

#include <msgpack.hpp>
#include <string>
#include <string_view>

#include "Core/Error.h"
#include "Transport/Frames.h"

namespace fescueline {

/// Maximum frame size: a request body of 1 MiB plus headers and framing.
inline constexpr size_t kMaxFrameBytes = size_t{1280} * 1024;
/// Size of the length prefix of a frame.
inline constexpr size_t kFramePrefixBytes = 4;

/// A received frame. `handle` owns the decoded content.
struct DecodedFrame {
  FrameType type = FrameType::Ping;
  msgpack::object_handle handle;

  /// Content of the frame as T. Throws Error if its types do not match.
  template <typename T>
  T As() const {
    try {
      return this->handle.get().via.array.ptr[1].as<T>();
    } catch (const std::exception& failure) {
      throw Error("frame.decode", "", failure.what());
    }
  }
};

/// Encodes a frame: length prefix, then MessagePack array [type, content].
template <typename T>
std::string EncodeFrame(const T& aFrame) {
  msgpack::sbuffer buffer;
  buffer.write("\0\0\0\0", kFramePrefixBytes);
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(2);
  packer.pack(static_cast<uint8_t>(T::kType));
  packer.pack(aFrame);
  std::string bytes(buffer.data(), buffer.size());
  const size_t length = bytes.size() - kFramePrefixBytes;
  for (size_t i = 0; i < kFramePrefixBytes; ++i) {
    const size_t shift = 8 * (kFramePrefixBytes - 1 - i);
    bytes[i] = static_cast<char>((length >> shift) & 0xff);
  }
  return bytes;
}

/// Decodes the length prefix of a frame. Throws Error if the length is 0 or
/// exceeds kMaxFrameBytes.
size_t DecodeFrameLength(std::string_view aPrefix);

/// Decodes the bytes after the prefix. Throws Error on malformed input and on
/// nesting or element counts above those of any frame.
DecodedFrame DecodeFrame(std::string_view aBytes);

}  // namespace fescueline
