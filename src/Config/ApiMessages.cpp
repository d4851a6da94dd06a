#include "Config/ApiMessages.h"

#include <algorithm>

#include "Config/LabelSet.h"

namespace fescueline {

namespace {
char ToLower(char aChar) {
  return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar | 0x20) : aChar;
}

bool EqualIgnoringCase(std::string_view aLeft, std::string_view aRight) {
  return std::equal(aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(),
                    [](char aFirst, char aSecond) {
                      return ToLower(aFirst) == ToLower(aSecond);
                    });
}

HttpStatus StatusOf(WriteStatus aStatus) {
  switch (aStatus) {
    case WriteStatus::Accepted:
      return HttpStatus::Ok;
    case WriteStatus::Conflict:
      return HttpStatus::Conflict;
    case WriteStatus::Missing:
      return HttpStatus::NotFound;
    case WriteStatus::Unknown:
      return HttpStatus::GatewayTimeout;
  }
  return HttpStatus::GatewayTimeout;
}
}  // namespace

std::optional<std::string_view> ApiRequest::Header(
    std::string_view aName) const {
  std::optional<std::string_view> value;
  for (const ApiHeader& header : this->headers) {
    if (EqualIgnoringCase(header.name, aName)) {
      if (value) {
        throw ConfigError(aName, "must occur once");
      }
      value = header.value;
    }
  }
  return value;
}

std::optional<std::vector<std::string>> SplitApiPath(std::string_view aPath) {
  std::vector<std::string> segments;
  if (aPath.empty() || aPath.front() != '/') {
    return std::nullopt;
  }
  while (!aPath.empty()) {
    aPath.remove_prefix(1);
    const size_t end = std::min(aPath.find('/'), aPath.size());
    if (!IsValidName(aPath.substr(0, end))) {
      return std::nullopt;
    }
    segments.emplace_back(aPath.substr(0, end));
    aPath.remove_prefix(end);
  }
  return segments;
}

ApiResponse MakeResponse(HttpStatus aStatus, const nlohmann::json& aBody) {
  return {.status = aStatus,
          .body = aBody.dump(-1, ' ', false,
                             nlohmann::json::error_handler_t::replace)};
}

ApiResponse MakeRefusal(HttpStatus aStatus, std::string_view aMessage) {
  return MakeResponse(aStatus, {{"status", "refused"}, {"error", aMessage}});
}

ApiResponse MakeRefusal(const ConfigError& aError) {
  return MakeResponse(HttpStatus::BadRequest,
                      {{"status", "refused"},
                       {"field", aError.Field()},
                       {"error", aError.Description()}});
}

ApiResponse MakeResponse(const WriteResult& aResult, nlohmann::json aExtra) {
  aExtra["status"] = ToName(aResult.status);
  aExtra["token"] = aResult.token;
  if (aResult.status == WriteStatus::Accepted ||
      aResult.status == WriteStatus::Conflict) {
    aExtra["version"] = aResult.version;
  }
  return MakeResponse(StatusOf(aResult.status), aExtra);
}

}  // namespace fescueline
