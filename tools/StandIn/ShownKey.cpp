#include "ShownKey.h"

#include <algorithm>
#include <cctype>
#include <string_view>

namespace fescueline {

namespace {
constexpr std::string_view kKeyPrefix = "fk_";
/// Its value is base64url, in which the prefix can stand by chance.
constexpr std::string_view kContextHeader = "fescueline-context";

bool IsKeyDigit(char aCharacter) {
  return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 ||
         aCharacter == '-' || aCharacter == '_';
}

/// Whether a key begins a word of the text.
bool BeginsWord(std::string_view aText) {
  for (size_t at = aText.find(kKeyPrefix); at != std::string_view::npos;
       at = aText.find(kKeyPrefix, at + 1)) {
    if (at == 0 || !IsKeyDigit(aText[at - 1])) {
      return true;
    }
  }
  return false;
}

bool Contains(std::string_view aText) {
  return aText.find(kKeyPrefix) != std::string_view::npos;
}
}  // namespace

bool ShowsKey(const HttpRequest& aRequest) {
  return Contains(aRequest.target) || Contains(aRequest.body) ||
         std::ranges::any_of(aRequest.headers, [](const HttpHeader& aHeader) {
           if (EqualHeaderName(aHeader.name, kContextHeader)) {
             return BeginsWord(aHeader.value);
           }
           return Contains(aHeader.value) ||
                  EqualHeaderName(aHeader.name, "authorization") ||
                  EqualHeaderName(aHeader.name, "x-api-key");
         });
}

}  // namespace fescueline
