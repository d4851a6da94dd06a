#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

#include "Core/BoundedMsgPack.h"
#include "Limits/ShareMessages.h"
#include "Platform/TableStore.h"

/// Payloads of control messages between nodes.

namespace fescueline {

/// Value of ControlMessage::kind.
enum class ControlKind : uint8_t {
  Pull,
  PullReply,
  VouchRequest,
  VouchReply,
  ShareRequest,
  ShareTransfer,
  ShareReturn
};

/// Requests configuration changes from a peer, and how recent the peer's
/// configuration is.
struct PullWire {
  /// Echoed in the reply.
  uint64_t requestId = 0;
  /// Version that the requester has applied.
  uint64_t version = 0;
  MSGPACK_DEFINE_ARRAY(requestId, version)
};

/// A changed record.
struct RecordWire {
  std::string key;
  std::string value;
  uint64_t version = 0;
  bool deleted = false;
  MSGPACK_DEFINE_ARRAY(key, value, version, deleted)
};

/// Answer to a pull.
struct PullReplyWire {
  uint64_t requestId = 0;
  /// Whether the peer is fresh; `version` and `age` are valid only then.
  bool fresh = false;
  /// Highest version that the peer's freshness lease covers.
  uint64_t version = 0;
  /// Age of the lease in microseconds.
  int64_t age = 0;
  /// Version that the requester reaches by applying `changes`.
  uint64_t changesVersion = 0;
  /// Changes after the requester's version.
  std::vector<RecordWire> changes;
  MSGPACK_DEFINE_ARRAY(requestId, fresh, version, age, changesVersion, changes)
};

/// Asks a voucher for the version that it knows.
struct VouchRequestWire {
  uint64_t requestId = 0;
  /// Version that the requester knows; the voucher pulls what it lacks.
  uint64_t version = 0;
  MSGPACK_DEFINE_ARRAY(requestId, version)
};

/// A voucher's answer.
struct VouchReplyWire {
  uint64_t requestId = 0;
  uint64_t version = 0;
  /// Whether this incarnation's vouches count.
  bool eligible = false;
  MSGPACK_DEFINE_ARRAY(requestId, version, eligible)
};

/// Encodes a payload.
template <typename T>
std::string EncodePayload(const T& aWire) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, aWire);
  return {buffer.data(), buffer.size()};
}

/// Decodes a payload; nothing if it is not a valid T.
template <typename T>
std::optional<T> DecodePayload(const std::string& aPayload) {
  try {
    // Each element takes at least one byte.
    const MsgPackLimits limits{.maxBytes = aPayload.size(),
                               .maxElements = aPayload.size()};
    return UnpackBounded(aPayload, limits).get().as<T>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

/// Conversions of table records.
std::vector<RecordWire> ToWire(const std::vector<TableRecord>& aRecords);
std::vector<TableRecord> FromWire(std::vector<RecordWire> aRecords);

/// Kind and payload of a share message.
ControlKind KindOf(const ShareMessage& aMessage);
std::string EncodeShare(const ShareMessage& aMessage);
/// Decodes a share message; nothing if it is malformed.
std::optional<ShareMessage> DecodeShare(ControlKind aKind,
                                        const std::string& aPayload);

}  // namespace fescueline
