#include "ExposedKey.h"

#include <algorithm>
#include <cctype>
#include <string_view>

namespace fescueline {

namespace {
constexpr std::string_view kKeyPrefix = "fk_";
/// Header with a base64url value, in which the key prefix can occur by chance.
constexpr std::string_view kContextHeader = "fescueline-context";

bool IsKeyCharacter(char aCharacter) {
  return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 ||
         aCharacter == '-' || aCharacter == '_';
}

/// Whether the key prefix occurs at the start of a word.
bool ContainsKeyAtWordStart(std::string_view aText) {
  for (size_t at = aText.find(kKeyPrefix); at != std::string_view::npos;
       at = aText.find(kKeyPrefix, at + 1)) {
    if (at == 0 || !IsKeyCharacter(aText[at - 1])) {
      return true;
    }
  }
  return false;
}

bool ContainsKeyPrefix(std::string_view aText) {
  return aText.find(kKeyPrefix) != std::string_view::npos;
}
}  // namespace

bool ExposesKey(const HttpRequest& aRequest) {
  return ContainsKeyPrefix(aRequest.target) ||
         ContainsKeyPrefix(aRequest.body) ||
         std::ranges::any_of(aRequest.headers, [](const HttpHeader& aHeader) {
           if (EqualHeaderName(aHeader.name, kContextHeader)) {
             return ContainsKeyAtWordStart(aHeader.value);
           }
           return ContainsKeyPrefix(aHeader.value) ||
                  EqualHeaderName(aHeader.name, "authorization") ||
                  EqualHeaderName(aHeader.name, "x-api-key");
         });
}

}  // namespace fescueline
