#include "Transport/PeerIdentity.h"

#include <msgpack.hpp>

#include "Core/Digest.h"

namespace fescueline {

std::string HandshakeProof(std::string_view aSecret, HandshakeRole aRole,
                           std::string_view aDiallerNonce,
                           std::string_view aAcceptorNonce,
                           std::string_view aNodeId,
                           std::string_view aIncarnation) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack(static_cast<uint8_t>(aRole));
  for (std::string_view part :
       {aDiallerNonce, aAcceptorNonce, aNodeId, aIncarnation}) {
    packer.pack(std::string(part));
  }
  return std::string(AsBytes(
      HmacSha256(aSecret, std::string_view(buffer.data(), buffer.size()))));
}

}  // namespace fescueline
