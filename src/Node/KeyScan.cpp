#include "Node/KeyScan.h"

#include <algorithm>
#include <cctype>

#include "Node/Headers.h"

namespace fescueline {

namespace {
constexpr std::string_view kBearer = "bearer ";
constexpr std::string_view kKeyTextPrefix = "fk_";
/// Keys have 160 bits or more, which take at least this many characters.
constexpr size_t kMinKeyLength = 27;

bool IsKeyCharacter(char aCharacter) {
  return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 ||
         aCharacter == '-' || aCharacter == '_';
}

/// Whether a part of the text has the format of a key.
bool ContainsKeyPattern(std::string_view aText) {
  for (size_t at = aText.find(kKeyTextPrefix); at != std::string_view::npos;
       at = aText.find(kKeyTextPrefix, at + 1)) {
    const std::string_view rest = aText.substr(at + kKeyTextPrefix.size());
    const auto end = std::find_if_not(rest.begin(), rest.end(), IsKeyCharacter);
    if (static_cast<size_t>(end - rest.begin()) >= kMinKeyLength) {
      return true;
    }
  }
  return false;
}

std::string PercentDecode(std::string_view aText) {
  std::string decoded;
  decoded.reserve(aText.size());
  for (size_t i = 0; i < aText.size(); ++i) {
    const bool escape =
        aText[i] == '%' && i + 2 < aText.size() &&
        std::isxdigit(static_cast<unsigned char>(aText[i + 1])) != 0 &&
        std::isxdigit(static_cast<unsigned char>(aText[i + 2])) != 0;
    if (escape) {
      const std::string digits(aText.substr(i + 1, 2));
      decoded.push_back(static_cast<char>(std::stoi(digits, nullptr, 16)));
      i += 2;
    } else {
      decoded.push_back(aText[i]);
    }
  }
  return decoded;
}
}  // namespace

PresentedKey FindPresentedKey(const HttpHeaders& aHeaders) {
  PresentedKey presented;
  if (CountHeader(aHeaders, "authorization") > 1) {
    presented.error = "authorization: more than one";
    return presented;
  }
  if (CountHeader(aHeaders, kKeyHeader) > 1) {
    presented.error = "x-api-key: more than one";
    return presented;
  }
  const auto authorization = FindHeader(aHeaders, "authorization");
  if (authorization && authorization->size() > kBearer.size() &&
      EqualHeaderName(authorization->substr(0, kBearer.size()), kBearer)) {
    presented.key = authorization->substr(kBearer.size());
  }
  if (const auto key = FindHeader(aHeaders, kKeyHeader)) {
    if (!presented.key.empty() && presented.key != *key) {
      presented.error = "x-api-key: differs from authorization";
    }
    presented.key = *key;
  }
  return presented;
}

bool KeyScan::Contains(std::string_view aText) const {
  return ContainsKeyPattern(aText) ||
         (!this->key.empty() &&
          aText.find(this->key) != std::string_view::npos);
}

std::optional<std::string> KeyScan::FindIn(const HttpRequest& aRequest) const {
  if (this->Contains(aRequest.target) ||
      this->Contains(PercentDecode(aRequest.target))) {
    return "url";
  }
  if (this->Contains(aRequest.body)) {
    return "body";
  }
  return std::nullopt;
}

void KeyScan::RemoveFrom(HttpHeaders& aHeaders) const {
  std::erase_if(aHeaders, [this](const HttpHeader& aHeader) {
    return this->Contains(aHeader.value) || this->Contains(aHeader.name) ||
           this->Contains(PercentDecode(aHeader.value));
  });
}

}  // namespace fescueline
