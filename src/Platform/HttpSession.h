#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Time.h"
#include "Platform/PlatformError.h"

namespace fescueline {

/// Method of a call to the platform.
enum class HttpVerb : uint8_t { Get, Put, Post };

/// One call to the platform.
struct HttpCall {
  /// Step named in errors, such as "table.transact".
  std::string_view step;
  /// Method; everything but GET is a write.
  HttpVerb verb = HttpVerb::Get;
  /// Path and query, already encoded.
  std::string path;
  /// Header lines, "Name: value".
  std::vector<std::string> headers = {};
  /// Request body; unused for GET.
  std::string body = {};
};

/// Answer of the platform.
struct HttpReply {
  /// Status code.
  int status = 0;
  /// Entity tag without quotes; empty if none came.
  std::string tag = {};
  /// Response body.
  std::string body = {};
};

/// Blocking HTTP client of one server on a libcurl easy handle. Each call has a
/// connection of its own. It uses no proxy, follows no redirect and sends no
/// Expect header. One thread at a time.
class HttpSession {
 public:
  struct Options {
    /// Scheme, host and port, such as "http://127.0.0.1:7000".
    std::string baseUrl;
    /// Time to establish a connection.
    Duration connectTimeout = std::chrono::milliseconds(500);
    /// Time for the whole call.
    Duration totalTimeout = std::chrono::seconds(2);
    /// Largest accepted response body, as a node has 32 MB for control.
    size_t maxResponseBytes = size_t{16} * 1024 * 1024;
  };

  explicit HttpSession(Options aOptions);

  /// Performs the call and returns any answer below status 500, other than
  /// 429. Throws PlatformError; only writes fail with OutcomeUnknown.
  HttpReply Perform(const HttpCall& aCall);
  /// Error of a call to this server.
  PlatformError Fail(Failure aFailure, std::string_view aStep,
                     std::string_view aMessage) const;

 private:
  /// Frees the easy handle.
  struct HandleDeleter {
    void operator()(void* aHandle) const;
  };

  /// Sets everything that depends on the call.
  void Prepare(const HttpCall& aCall);
  /// Converts a libcurl error into a PlatformError.
  [[noreturn]] void ThrowTransferError(const HttpCall& aCall, int aCode) const;

  /// Server and limits.
  Options options;
  /// libcurl easy handle.
  std::unique_ptr<void, HandleDeleter> handle;
};

/// Percent-encodes everything but unreserved characters (RFC 3986).
std::string PercentEncode(std::string_view aText);

/// Reverses PercentEncode; nothing if an escape is malformed.
std::optional<std::string> PercentDecode(std::string_view aText);

}  // namespace fescueline
