#include "Config/RouteIndex.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace fescueline {

namespace {
int HexValue(char aDigit) {
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  const char lower = static_cast<char>(aDigit | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

bool IsUnreserved(char aChar) {
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9') || aChar == '-' || aChar == '.' ||
         aChar == '_' || aChar == '~';
}

/// Decodes percent-encoded unreserved characters. Nothing if an escape is
/// malformed or encodes a separator or control character.
std::optional<std::string> DecodeUnreserved(std::string_view aPath) {
  std::string decoded;
  decoded.reserve(aPath.size());
  for (size_t index = 0; index < aPath.size(); ++index) {
    if (aPath[index] != '%') {
      decoded.push_back(aPath[index]);
      continue;
    }
    if (index + 2 >= aPath.size()) {
      return std::nullopt;
    }
    const int high = HexValue(aPath[index + 1]);
    const int low = HexValue(aPath[index + 2]);
    const int value = high * 16 + low;
    if (high < 0 || low < 0 || value < ' ' || value == '/' || value == '\\') {
      return std::nullopt;
    }
    if (IsUnreserved(static_cast<char>(value))) {
      decoded.push_back(static_cast<char>(value));
    } else {
      decoded.append(aPath.substr(index, 3));
    }
    index += 2;
  }
  return decoded;
}

/// The path as it is matched against prefixes: without empty segments and a
/// trailing '/'. Nothing if the path must not match any route.
std::optional<std::string> NormalisePath(std::string_view aPath) {
  const auto decoded = DecodeUnreserved(aPath);
  if (!decoded || decoded->find('\\') != std::string::npos) {
    return std::nullopt;
  }
  std::string path;
  for (size_t start = 0; start < decoded->size();) {
    const size_t end = std::min(decoded->find('/', start), decoded->size());
    const std::string_view segment(decoded->data() + start, end - start);
    // Some targets drop path parameters before they resolve dot segments.
    const std::string_view name = segment.substr(0, segment.find(';'));
    if (name == "." || name == "..") {
      return std::nullopt;
    }
    if (!segment.empty()) {
      path.append("/").append(segment);
    }
    start = end + 1;
  }
  return path.empty() ? "/" : path;
}

/// Whether the path needs no normalisation, which avoids a copy.
bool IsNormalised(std::string_view aPath) {
  return aPath.find_first_of("%\\") == std::string_view::npos &&
         aPath.find("//") == std::string_view::npos &&
         aPath.find("/.") == std::string_view::npos &&
         (aPath.size() == 1 || aPath.back() != '/');
}

bool Accepts(const Route& aRoute, std::string_view aMethod) {
  const auto& methods = aRoute.record.methods;
  return methods.empty() ||
         std::find(methods.begin(), methods.end(), aMethod) != methods.end();
}
}  // namespace

RouteIndex::RouteIndex(std::shared_ptr<const RecordTable<RouteRecord>> aRoutes)
    : routes(std::move(aRoutes)) {
  for (const auto& route : this->routes->Items()) {
    const std::string& prefix = route->record.pathPrefix;
    this->byPrefix[prefix].push_back(route.get());
    this->longestPrefix = std::max(this->longestPrefix, prefix.size());
  }
  for (auto& [prefix, candidates] : this->byPrefix) {
    // The table is sorted by name, so a stable partition keeps that order.
    std::stable_partition(
        candidates.begin(), candidates.end(),
        [](const Route* aRoute) { return !aRoute->record.methods.empty(); });
  }
}

const Route* RouteIndex::Find(std::string_view aMethod,
                              std::string_view aPath) const {
  std::string_view path = aPath.substr(0, aPath.find_first_of("?#"));
  if (path.empty() || path.front() != '/') {
    return nullptr;
  }
  std::string normalised;
  if (!IsNormalised(path)) {
    auto result = NormalisePath(path);
    if (!result) {
      return nullptr;
    }
    normalised = std::move(*result);
    path = normalised;
  }
  size_t length = path.size();
  if (length > this->longestPrefix) {
    // A prefix ends where a segment ends.
    length = path[this->longestPrefix] == '/'
                 ? this->longestPrefix
                 : path.rfind('/', this->longestPrefix);
  }
  while (true) {
    const std::string_view prefix =
        length == 0 ? std::string_view("/") : path.substr(0, length);
    if (const auto found = this->byPrefix.find(prefix);
        found != this->byPrefix.end()) {
      for (const Route* route : found->second) {
        if (Accepts(*route, aMethod)) {
          return route;
        }
      }
    }
    if (prefix.size() == 1) {
      return nullptr;
    }
    length = path.rfind('/', length - 1);
  }
}

}  // namespace fescueline
