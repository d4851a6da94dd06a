#include "Mesh/MeshMember.h"

#include "Core/BoundedMsgPack.h"

namespace fescueline {

namespace {
struct MemberWire {
  std::string node;
  std::string incarnation;
  std::string dataCentre;
  std::string region;
  std::string service;
  std::string peers;
  MSGPACK_DEFINE_ARRAY(node, incarnation, dataCentre, region, service, peers)
};

/// A row is one array of six texts; later versions may add some.
constexpr MsgPackLimits kMemberLimits{
    .maxBytes = size_t{4} * 1024, .maxElements = 32, .maxNesting = 2};
}  // namespace

std::string EncodeMeshMember(const MeshMember& aRecord) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer,
                MemberWire{.node = aRecord.node,
                           .incarnation = aRecord.incarnation.ToString(),
                           .dataCentre = aRecord.dataCentre,
                           .region = aRecord.region,
                           .service = aRecord.service,
                           .peers = aRecord.peers.ToString()});
  return {buffer.data(), buffer.size()};
}

std::optional<MeshMember> DecodeMeshMember(const std::string& aValue) {
  try {
    MemberWire wire;
    UnpackBounded(aValue, kMemberLimits).get().convert(wire);
    const auto incarnation = Id128::Parse(wire.incarnation);
    const auto peers = SocketAddress::Parse(wire.peers);
    if (!incarnation || !peers || peers->port == 0 || wire.node.empty()) {
      return std::nullopt;
    }
    return MeshMember{.node = wire.node,
                      .incarnation = *incarnation,
                      .dataCentre = wire.dataCentre,
                      .region = wire.region,
                      .service = wire.service,
                      .peers = *peers};
  } catch (const std::exception&) {
    // Not written by a node; the caller logs and ignores the row.
    return std::nullopt;
  }
}

}  // namespace fescueline
