#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescueline {

/// A SHA-256 digest.
using Digest256 = std::array<uint8_t, 32>;

/// SHA-256 of the bytes.
Digest256 Sha256(std::string_view aBytes);

/// HMAC-SHA256 of the bytes under the key.
Digest256 HmacSha256(std::string_view aKey, std::string_view aBytes);

/// Compares in time that does not depend on the content.
bool EqualConstantTime(std::string_view aLeft, std::string_view aRight);

/// Bytes of a digest as a string.
std::string_view AsBytes(const Digest256& aDigest);

/// Lower-case hexadecimal.
std::string ToHex(std::string_view aBytes);

/// Unpadded base64url (RFC 4648, section 5).
std::string ToBase64Url(std::string_view aBytes);

/// Decodes unpadded base64url; nothing if a character or length is invalid.
std::optional<std::string> FromBase64Url(std::string_view aText);

}  // namespace fescueline
