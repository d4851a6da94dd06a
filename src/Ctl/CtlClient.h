#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Core/Time.h"
#include "Settings/Secret.h"

namespace fescueline {

/// One request to a node's admin listener.
struct CtlRequest {
  /// HTTP method.
  std::string method;
  /// Path below the node's URL.
  std::string path;
  /// Expected version of the record; sent as If-Match.
  std::optional<uint64_t> expected;
  /// Request token; sent as Fescueline-Token unless empty.
  std::string token;
  /// JSON body, unless empty.
  std::string body;
};

/// What is known about a request.
enum class CtlDelivery : uint8_t {
  /// The node answered.
  Answered,
  /// The request was never sent.
  NotSent,
  /// The request was sent and no complete answer came.
  Lost
};

/// Answer of the node, or why there is none.
struct CtlResponse {
  CtlDelivery delivery = CtlDelivery::Lost;
  /// HTTP status, if the node answered.
  long status = 0;
  /// Body, if the node answered.
  std::string body;
  /// What failed, otherwise.
  std::string error;
};

/// HTTP client of the operators' command line, on libcurl. One thread.
class CtlClient {
 public:
  struct Options {
    /// URL of the admin listener.
    std::string url;
    /// Credential of the operator.
    Secret credential;
    /// Covers the wait for a change to be in force: freshness limit and the
    /// acknowledgement of the vouchers, with room for a slow table.
    Duration timeout = std::chrono::seconds(30);
  };

  /// Throws Error if the URL is not an http or https URL without user name,
  /// query or fragment.
  explicit CtlClient(Options aOptions);

  /// Sends one request on a connection of its own.
  CtlResponse Send(const CtlRequest& aRequest) const;

 private:
  /// As given, without a final '/'.
  Options options;
};

}  // namespace fescueline
