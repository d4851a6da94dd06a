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

enum class HttpVerb : uint8_t { Get, Put, Post };

/// One call to the platform.
struct HttpCall {
  /// Operation named in errors, such as "table.transact".
  std::string_view step;
  /// Any method other than GET is a write.
  HttpVerb verb = HttpVerb::Get;
  /// Path and query, percent-encoded.
  std::string path;
  /// Header lines, "Name: value".
  std::vector<std::string> headers = {};
  /// Ignored for GET.
  std::string body = {};
};

/// Response of the platform.
struct HttpReply {
  int status = 0;
  /// Entity tag without quotes; empty if the response has none.
  std::string tag = {};
  std::string body = {};
};

/// Blocking HTTP client of one server, on a libcurl easy handle. Opens a new
/// connection for each call. Uses no proxy, follows no redirects and sends no
/// Expect header. Not thread-safe.
class HttpSession {
 public:
  struct Options {
    /// Scheme, host and port, such as "http://127.0.0.1:7000".
    std::string baseUrl;
    Duration connectTimeout = std::chrono::milliseconds(500);
    /// Time limit of the whole call.
    Duration totalTimeout = std::chrono::seconds(2);
    /// Maximum size of a response body: half of the 32 MB of memory that a node
    /// has for control traffic.
    size_t maxResponseBytes = size_t{16} * 1024 * 1024;
  };

  explicit HttpSession(Options aOptions);

  /// Performs the call. Returns responses with a status below 500 other than
  /// 429; throws PlatformError for the others and for transport errors. Only
  /// writes fail with OutcomeUnknown.
  HttpReply Perform(const HttpCall& aCall);
  /// Creates the error of a call to this server.
  PlatformError MakeError(Failure aFailure, std::string_view aStep,
                          std::string_view aMessage) const;

 private:
  struct HandleDeleter {
    void operator()(void* aHandle) const;
  };

  /// Resets the handle and sets the options of the call.
  void Prepare(const HttpCall& aCall);
  /// Throws the PlatformError for a libcurl error code.
  [[noreturn]] void ThrowTransferError(const HttpCall& aCall, int aCode) const;

  Options options;
  /// CURL easy handle; void, so that the header does not need curl.h.
  std::unique_ptr<void, HandleDeleter> handle;
};

/// Percent-encodes all characters except unreserved ones (RFC 3986).
std::string PercentEncode(std::string_view aText);

/// Inverse of PercentEncode; nullopt if an escape is malformed.
std::optional<std::string> PercentDecode(std::string_view aText);

}  // namespace fescueline
