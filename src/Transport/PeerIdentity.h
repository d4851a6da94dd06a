#pragma once

#include <string>
#include <string_view>

#include "Core/Identifiers.h"

namespace fescueline {

/// Identity of a node in the peer protocol.
struct PeerIdentity {
  /// Node id from the settings.
  std::string nodeId;
  /// Random id, new for each start of the process.
  Id128 incarnation;
  /// Secret shared by all nodes of the fleet.
  std::string fleetSecret;
};

/// Role of a side in the handshake. Part of the proof, which prevents
/// reflection attacks.
enum class HandshakeRole : uint8_t { Dialler, Acceptor };

/// Proof that a side has the fleet secret: an HMAC over its role, both nonces
/// and its own identity.
std::string HandshakeProof(std::string_view aSecret, HandshakeRole aRole,
                           std::string_view aDiallerNonce,
                           std::string_view aAcceptorNonce,
                           std::string_view aNodeId,
                           std::string_view aIncarnation);

}  // namespace fescueline
