#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Transport/HttpMessage.h"

namespace fescueline {

/// How the body of a message is delimited.
struct HttpFraming {
  /// Length in bytes; nothing for chunked transfer or a body that ends with
  /// the connection.
  std::optional<uint64_t> length;
  /// Whether the body is chunked.
  bool chunked = false;
  /// Whether the connection closes after the message.
  bool close = false;
};

/// Request line and header fields, with those of the framing.
std::string WriteRequestHead(std::string_view aMethod, std::string_view aTarget,
                             const HttpHeaders& aHeaders,
                             const HttpFraming& aFraming);

/// Status line and header fields, with those of the framing.
std::string WriteResponseHead(int aStatus, const HttpHeaders& aHeaders,
                              const HttpFraming& aFraming);

/// One chunk of a chunked body; the empty part is the last chunk.
std::string WriteChunk(std::string_view aPart);

}  // namespace fescueline
