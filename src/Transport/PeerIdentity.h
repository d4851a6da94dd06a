#pragma once

#include <string>
#include <string_view>

#include "Core/Identifiers.h"

namespace fescueline {

/// Who a node is towards its peers.
struct PeerIdentity {
  /// Node id from the settings.
  std::string nodeId;
  /// New for each start of the process.
  Id128 incarnation;
  /// Secret that all nodes of the fleet share.
  std::string fleetSecret;
};

/// Role of a side in the handshake; part of the proof, so that a proof cannot
/// be reflected.
enum class HandshakeRole : uint8_t { Dialler, Acceptor };

/// Proof that a side knows the fleet secret: an HMAC over its role, both
/// nonces and its own identity.
std::string HandshakeProof(std::string_view aSecret, HandshakeRole aRole,
                           std::string_view aDiallerNonce,
                           std::string_view aAcceptorNonce,
                           std::string_view aNodeId,
                           std::string_view aIncarnation);

}  // namespace fescueline
