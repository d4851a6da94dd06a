#include "Transport/FrameCodec.h"

#include "Core/BoundedMsgPack.h"

namespace fescueline {

namespace {
/// Frames nest four levels: frame, content, array, array element.
constexpr MsgPackLimits kFrameLimits{
    .maxBytes = kMaxFrameBytes, .maxElements = 1024, .maxNesting = 8};
}  // namespace

size_t DecodeFrameLength(std::string_view aPrefix) {
  size_t length = 0;
  for (char byte : aPrefix) {
    length = (length << 8) | static_cast<uint8_t>(byte);
  }
  if (length == 0 || length > kMaxFrameBytes) {
    throw Error("frame.length", "", "length out of range");
  }
  return length;
}

DecodedFrame DecodeFrame(std::string_view aBytes) {
  DecodedFrame frame;
  try {
    frame.handle = UnpackBounded(aBytes, kFrameLimits);
  } catch (const std::exception& failure) {
    throw Error("frame.decode", "", failure.what());
  }
  const msgpack::object& root = frame.handle.get();
  if (root.type != msgpack::type::ARRAY || root.via.array.size != 2 ||
      root.via.array.ptr[0].type != msgpack::type::POSITIVE_INTEGER ||
      root.via.array.ptr[0].via.u64 > kMaxFrameType) {
    throw Error("frame.decode", "", "malformed frame header");
  }
  frame.type = static_cast<FrameType>(root.via.array.ptr[0].via.u64);
  return frame;
}

}  // namespace fescueline
