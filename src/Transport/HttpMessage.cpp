#include "Transport/HttpMessage.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace fescueline {

namespace {
constexpr std::array<std::string_view, 10> kHopByHop = {"connection",
                                                        "keep-alive",
                                                        "proxy-connection",
                                                        "te",
                                                        "trailer",
                                                        "transfer-encoding",
                                                        "upgrade",
                                                        "proxy-authenticate",
                                                        "proxy-authorization",
                                                        "content-length"};

constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

char LowerAscii(char aCharacter) {
  return static_cast<char>(
      std::tolower(static_cast<unsigned char>(aCharacter)));
}

std::string_view Trim(std::string_view aText) {
  while (!aText.empty() && (aText.front() == ' ' || aText.front() == '\t')) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && (aText.back() == ' ' || aText.back() == '\t')) {
    aText.remove_suffix(1);
  }
  return aText;
}

std::vector<std::string> ConnectionOptions(const HttpHeaders& aHeaders) {
  std::vector<std::string> names;
  for (const HttpHeader& header : aHeaders) {
    if (!EqualHeaderName(header.name, "connection")) {
      continue;
    }
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const size_t comma = rest.find(',');
      names.emplace_back(Trim(rest.substr(0, comma)));
      rest = comma == std::string_view::npos ? std::string_view()
                                             : rest.substr(comma + 1);
    }
  }
  return names;
}
}  // namespace

bool EqualHeaderName(std::string_view aLeft, std::string_view aRight) {
  return std::equal(aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(),
                    [](char aOne, char aOther) {
                      return LowerAscii(aOne) == LowerAscii(aOther);
                    });
}

std::optional<std::string_view> FindHeader(const HttpHeaders& aHeaders,
                                           std::string_view aName) {
  for (const HttpHeader& header : aHeaders) {
    if (EqualHeaderName(header.name, aName)) {
      return header.value;
    }
  }
  return std::nullopt;
}

void RemoveHeader(HttpHeaders& aHeaders, std::string_view aName) {
  std::erase_if(aHeaders, [aName](const HttpHeader& aHeader) {
    return EqualHeaderName(aHeader.name, aName);
  });
}

size_t CountHeader(const HttpHeaders& aHeaders, std::string_view aName) {
  return static_cast<size_t>(std::count_if(
      aHeaders.begin(), aHeaders.end(), [aName](const HttpHeader& aHeader) {
        return EqualHeaderName(aHeader.name, aName);
      }));
}

void RemoveHopByHopHeaders(HttpHeaders& aHeaders) {
  for (const std::string& name : ConnectionOptions(aHeaders)) {
    RemoveHeader(aHeaders, name);
  }
  for (std::string_view name : kHopByHop) {
    RemoveHeader(aHeaders, name);
  }
}

bool ContainsStatusLine(std::string_view aText) {
  constexpr std::string_view kVersionPrefix = "HTTP/1.";
  constexpr size_t kSuffixLength = 5;  // "1 200"
  const auto isDigit = [](char aByte) { return aByte >= '0' && aByte <= '9'; };
  for (size_t at = aText.find(kVersionPrefix); at != std::string_view::npos;
       at = aText.find(kVersionPrefix, at + 1)) {
    const std::string_view rest =
        aText.substr(at + kVersionPrefix.size(), kSuffixLength);
    if (rest.size() == kSuffixLength && isDigit(rest[0]) && rest[1] == ' ' &&
        std::all_of(rest.begin() + 2, rest.end(), isDigit)) {
      return true;
    }
  }
  return false;
}

bool IsBodiless(int aStatus) {
  return aStatus < kFirstFinalStatus || aStatus == kNoContent ||
         aStatus == kNotModified;
}

std::string_view PathOf(std::string_view aTarget) {
  return aTarget.substr(0, aTarget.find_first_of("?#"));
}

}  // namespace fescueline
