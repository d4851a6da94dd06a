#pragma once

#include <string>
#include <string_view>

namespace fescueline {

/// A new caller's key: "fk_" and 192 random bits in base64url.
std::string GenerateKeyText();

/// Table key under which a caller's key is stored.
std::string TableKeyOfKey(std::string_view aKeyText);

/// Identifier of the key that a grant request creates. Derived from the
/// request, so that a repetition finds the key.
std::string KeyIdOfRequest(std::string_view aTableToken);

/// Token for the table: a digest of the operator's token and the request, so
/// that a token that is reused for another request is not taken for a
/// repetition.
std::string TableTokenOf(std::string_view aToken, std::string_view aOperation,
                         std::string_view aSubject, std::string_view aContent);

/// Throws ConfigError unless the token is a valid name.
void CheckToken(std::string_view aToken);

}  // namespace fescueline
