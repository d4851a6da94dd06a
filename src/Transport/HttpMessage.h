#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescueline {

/// One header field of an HTTP message.
struct HttpHeader {
  /// Field name as received.
  std::string name;
  /// Field value without surrounding white space.
  std::string value;
};

/// Header fields in the order of the message.
using HttpHeaders = std::vector<HttpHeader>;

/// A request with its whole body.
struct HttpRequest {
  /// Method, such as "GET".
  std::string method;
  /// Request target: path and query.
  std::string target;
  /// Header fields.
  HttpHeaders headers;
  /// Body, bounded by the listener's limit.
  std::string body;
};

/// A response with its whole body.
struct HttpResponse {
  /// Status code.
  int status = 200;
  /// Header fields.
  HttpHeaders headers;
  /// Body.
  std::string body;
};

/// Compares header names without regard to ASCII case.
bool EqualHeaderName(std::string_view aLeft, std::string_view aRight);

/// First value of a header; nothing if it is absent.
std::optional<std::string_view> FindHeader(const HttpHeaders& aHeaders,
                                           std::string_view aName);

/// Removes every field of that name.
void RemoveHeader(HttpHeaders& aHeaders, std::string_view aName);

/// Number of fields of that name.
size_t CountHeader(const HttpHeaders& aHeaders, std::string_view aName);

/// Removes the fields that concern one connection only (RFC 9110, section
/// 7.6.1), those that `Connection` names, and framing fields.
void RemoveHopByHopHeaders(HttpHeaders& aHeaders);

/// Whether a status line begins within the text of a head's line: the sender
/// broke off there and went on with another head, whose fields follow.
bool HoldsStatusLine(std::string_view aText);

/// Whether a response with this status never has a body.
bool IsBodiless(int aStatus);

/// Path of a request target, without the query.
std::string_view PathOf(std::string_view aTarget);

}  // namespace fescueline
