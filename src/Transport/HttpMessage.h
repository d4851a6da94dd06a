#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescueline {

struct HttpHeader {
  /// Name as received.
  std::string name;
  /// Value without surrounding whitespace.
  std::string value;
};

/// Header fields in the order of the message.
using HttpHeaders = std::vector<HttpHeader>;

/// A request with its complete body.
struct HttpRequest {
  /// Method, such as "GET".
  std::string method;
  /// Request target: path and query.
  std::string target;
  HttpHeaders headers;
  /// Body, bounded by the listener's limit.
  std::string body;
};

/// A response with its complete body.
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

/// Compares header names, ignoring ASCII case.
bool EqualHeaderName(std::string_view aLeft, std::string_view aRight);

/// First value of a header; nothing if it is absent.
std::optional<std::string_view> FindHeader(const HttpHeaders& aHeaders,
                                           std::string_view aName);

/// Removes every field of that name.
void RemoveHeader(HttpHeaders& aHeaders, std::string_view aName);

/// Number of fields of that name.
size_t CountHeader(const HttpHeaders& aHeaders, std::string_view aName);

/// Removes the hop-by-hop fields (RFC 9110, section 7.6.1), the fields that
/// `Connection` lists, and the framing fields.
void RemoveHopByHopHeaders(HttpHeaders& aHeaders);

/// Whether a status line begins within a line of a head. In that case the
/// sender stopped within the first head and started another one, and the fields
/// that follow belong to the second.
bool ContainsStatusLine(std::string_view aText);

/// Whether a response with this status never has a body.
bool IsBodiless(int aStatus);

/// Path of a request target, without the query.
std::string_view PathOf(std::string_view aTarget);

}  // namespace fescueline
