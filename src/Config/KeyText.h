#pragma once

#include <string>
#include <string_view>

namespace fescueline {

/// New key for a caller: "fk_" and 192 random bits in base64url.
std::string GenerateKeyText();

/// Table key of a caller's key, which holds the digest of the key's text.
std::string TableKeyOfKeyText(std::string_view aKeyText);

/// Identifier of the key that a grant request creates. Derived from the
/// request's table token, so that a repeated request finds the key.
std::string KeyIdOfRequest(std::string_view aTableToken);

/// Idempotency token of a table transaction: a digest of the operator's token
/// and the request, so that another request with the same token is not taken
/// for a repetition.
std::string TableTokenOf(std::string_view aToken, std::string_view aOperation,
                         std::string_view aSubject, std::string_view aContent);

/// Throws ConfigError unless the token is a valid name.
void CheckToken(std::string_view aToken);

}  // namespace fescueline
