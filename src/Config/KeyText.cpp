#include "Config/KeyText.h"

#include <fmt/format.h>

#include "Config/ConfigError.h"
#include "Config/ConfigKeys.h"
#include "Config/LabelSet.h"
#include "Core/Digest.h"
#include "Core/RandomSource.h"

namespace fescueline {

namespace {
constexpr size_t kKeyBytes = 24;
constexpr size_t kIdDigits = 16;

std::string HexDigest(std::string_view aBytes) {
  return ToHex(AsBytes(Sha256(aBytes)));
}
}  // namespace

std::string GenerateKeyText() {
  return "fk_" + ToBase64Url(SecureRandomBytes(kKeyBytes));
}

std::string TableKeyOfKeyText(std::string_view aKeyText) {
  return std::string(kKeyPrefix) + HexDigest(aKeyText);
}

std::string KeyIdOfRequest(std::string_view aTableToken) {
  return "k" + HexDigest(aTableToken).substr(0, kIdDigits);
}

std::string TableTokenOf(std::string_view aToken, std::string_view aOperation,
                         std::string_view aSubject, std::string_view aContent) {
  // The lengths make the digest input unambiguous for different requests.
  return HexDigest(fmt::format("{}:{}{}:{}{}:{}{}", aToken.size(), aToken,
                               aOperation.size(), aOperation, aSubject.size(),
                               aSubject, aContent));
}

void CheckToken(std::string_view aToken) {
  if (!IsValidName(aToken)) {
    throw ConfigError("token", kNameRule);
  }
}

}  // namespace fescueline
