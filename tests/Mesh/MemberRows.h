#pragma once

#include <cstdint>
#include <string>

#include "Mesh/MeshMember.h"
#include "Mesh/RowStore.h"

namespace fescueline::test {

/// Row of a node in the fleet's table.
inline StoredRow MemberRow(const MeshMember& aMember, uint64_t aVersion) {
  return {.key = std::string(kMeshMemberPrefix) + aMember.node,
          .value = EncodeMeshMember(aMember),
          .version = aVersion};
}

/// A node on this host beside a target of the service "fees", in the same data
/// centre as n0.
inline MeshMember LocalMember(const std::string& aName, uint16_t aPort) {
  return {.node = aName,
          .incarnation = Id128::Generate(),
          .dataCentre = "d1",
          .region = "r1",
          .service = "fees",
          .peers = {"127.0.0.1", aPort}};
}

}  // namespace fescueline::test
