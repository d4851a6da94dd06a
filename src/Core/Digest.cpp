#include "Core/Digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "Core/Error.h"

namespace fescueline {

namespace {
constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr std::string_view kBase64UrlDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr int kBitsPerByte = 8;
constexpr int kBitsPerDigit = 6;

const unsigned char* Data(std::string_view aBytes) {
  return reinterpret_cast<const unsigned char*>(aBytes.data());
}
}  // namespace

Digest256 Sha256(std::string_view aBytes) {
  Digest256 digest{};
  unsigned int length = 0;
  if (EVP_Digest(aBytes.data(), aBytes.size(), digest.data(), &length,
                 EVP_sha256(), nullptr) != 1) {
    throw Error("digest.sha256", "", "libcrypto failed");
  }
  return digest;
}

Digest256 HmacSha256(std::string_view aKey, std::string_view aBytes) {
  Digest256 digest{};
  unsigned int length = 0;
  if (HMAC(EVP_sha256(), aKey.data(), static_cast<int>(aKey.size()),
           Data(aBytes), aBytes.size(), digest.data(), &length) == nullptr) {
    throw Error("digest.hmac", "", "libcrypto failed");
  }
  return digest;
}

bool EqualConstantTime(std::string_view aLeft, std::string_view aRight) {
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::string_view AsBytes(const Digest256& aDigest) {
  return {reinterpret_cast<const char*>(aDigest.data()), aDigest.size()};
}

std::string ToHex(std::string_view aBytes) {
  std::string text;
  text.reserve(aBytes.size() * 2);
  for (char byte : aBytes) {
    const auto value = static_cast<uint8_t>(byte);
    text.push_back(kHexDigits[value >> 4]);
    text.push_back(kHexDigits[value & 0xf]);
  }
  return text;
}

std::string ToBase64Url(std::string_view aBytes) {
  std::string text;
  text.reserve((aBytes.size() * 4 + 2) / 3);
  uint32_t pending = 0;
  int bits = 0;
  for (char byte : aBytes) {
    pending = (pending << kBitsPerByte) | static_cast<uint8_t>(byte);
    bits += kBitsPerByte;
    while (bits >= kBitsPerDigit) {
      bits -= kBitsPerDigit;
      text.push_back(kBase64UrlDigits[(pending >> bits) & 0x3f]);
    }
  }
  if (bits > 0) {
    text.push_back(
        kBase64UrlDigits[(pending << (kBitsPerDigit - bits)) & 0x3f]);
  }
  return text;
}

std::optional<std::string> FromBase64Url(std::string_view aText) {
  std::string bytes;
  bytes.reserve(aText.size() * 3 / 4);
  uint32_t pending = 0;
  int bits = 0;
  for (char digit : aText) {
    const size_t value = kBase64UrlDigits.find(digit);
    if (value == std::string_view::npos) {
      return std::nullopt;
    }
    pending = (pending << kBitsPerDigit) | static_cast<uint32_t>(value);
    bits += kBitsPerDigit;
    if (bits >= kBitsPerByte) {
      bits -= kBitsPerByte;
      bytes.push_back(static_cast<char>((pending >> bits) & 0xff));
    }
  }
  // An encoder produces neither a single trailing digit nor set padding bits.
  if (bits >= kBitsPerDigit || (pending & ((1U << bits) - 1)) != 0) {
    return std::nullopt;
  }
  return bytes;
}

}  // namespace fescueline
