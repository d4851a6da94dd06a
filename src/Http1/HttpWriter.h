#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Transport/HttpMessage.h"

namespace fescueline {

/// How the body of a message is delimited.
struct HttpFraming {
  /// Body length in bytes; nothing if the body is chunked or ends with the
  /// connection.
  std::optional<uint64_t> length;
  /// Whether the body is chunked.
  bool chunked = false;
  /// Whether the connection closes after the message.
  bool close = false;
};

/// Formats a request line and header fields, including the framing fields.
std::string WriteRequestHead(std::string_view aMethod, std::string_view aTarget,
                             const HttpHeaders& aHeaders,
                             const HttpFraming& aFraming);

/// Formats a status line and header fields, including the framing fields.
std::string WriteResponseHead(int aStatus, const HttpHeaders& aHeaders,
                              const HttpFraming& aFraming);

/// Formats a chunk of a chunked body. An empty part gives the last chunk.
std::string WriteChunk(std::string_view aPart);

}  // namespace fescueline
