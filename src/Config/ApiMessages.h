#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Config/ConfigError.h"
#include "Config/WriteResult.h"

namespace fescueline {

/// HTTP status codes of the configuration API.
enum class HttpStatus : uint16_t {
  Ok = 200,
  BadRequest = 400,
  Unauthorized = 401,
  Forbidden = 403,
  NotFound = 404,
  MethodNotAllowed = 405,
  Conflict = 409,
  PreconditionRequired = 428,
  ServiceUnavailable = 503,
  GatewayTimeout = 504
};

/// One header of a request.
struct ApiHeader {
  std::string name;
  std::string value;
};

/// A request to the configuration API, without its transport.
struct ApiRequest {
  /// HTTP method.
  std::string method;
  /// Request target.
  std::string path;
  /// Headers in any order.
  std::vector<ApiHeader> headers;
  /// JSON; empty if the method has no body.
  std::string body;

  /// Value of a header; names are case-insensitive. Throws ConfigError if the
  /// header occurs twice.
  std::optional<std::string_view> Header(std::string_view aName) const;
};

/// Response of the configuration API. The body is JSON.
struct ApiResponse {
  HttpStatus status = HttpStatus::Ok;
  std::string body;
};

/// Splits a path at '/', without the empty first segment. Nothing if a segment
/// is not a valid name.
std::optional<std::vector<std::string>> SplitApiPath(std::string_view aPath);

/// A response with a JSON body.
ApiResponse MakeResponse(HttpStatus aStatus, const nlohmann::json& aBody);
/// An error response with status "refused" and a message.
ApiResponse MakeRefusal(HttpStatus aStatus, std::string_view aMessage);
/// An error response for invalid input, with the path of the field.
ApiResponse MakeRefusal(const ConfigError& aError);
/// The response to a change; aExtra is added to the body.
ApiResponse MakeResponse(const WriteResult& aResult,
                         nlohmann::json aExtra = nlohmann::json::object());

}  // namespace fescueline
