#include "Platform/Claim.h"

#include <fmt/format.h>

#include "Core/Digest.h"

namespace fescueline {

std::string Claim::TableKey() const {
  return fmt::format("claim/{}/{}", this->organisation,
                     ToHex(AsBytes(Sha256(this->idempotencyKey))));
}

}  // namespace fescueline
