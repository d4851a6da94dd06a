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
  std::string method;
  /// Path, appended to the node's URL.
  std::string path;
  /// Version that the record must have; sent as If-Match.
  std::optional<uint64_t> expectedVersion;
  /// Idempotency token of a change; sent as Fescueline-Token unless empty.
  std::string token;
  /// JSON; empty for a request without body.
  std::string body;
};

/// Whether a request reached the node, as far as it is known.
enum class CtlDelivery : uint8_t {
  /// A complete response arrived.
  Responded,
  NotSent,
  /// The request may have been sent, and no complete response arrived.
  Lost
};

/// Response of the node, or the reason why there is none.
struct CtlResponse {
  CtlDelivery delivery = CtlDelivery::Lost;
  /// HTTP status; set if the node responded.
  long status = 0;
  /// Body; set if the node responded.
  std::string body;
  /// Description of the failure; set if the node did not respond.
  std::string error;
};

/// HTTP client of the operator command line, on libcurl. Not thread-safe.
class CtlClient {
 public:
  struct Options {
    /// URL of the admin listener.
    std::string url;
    Secret credential;
    /// Time limit of a request. A change is acknowledged once it is in force,
    /// which takes the freshness limit and the vouchers' acknowledgements; the
    /// default leaves room for a slow table.
    Duration timeout = std::chrono::seconds(30);
  };

  /// Throws Error if the URL is not an http or https URL without user name,
  /// query or fragment.
  explicit CtlClient(Options aOptions);

  /// Sends one request on a new connection.
  CtlResponse Send(const CtlRequest& aRequest) const;

 private:
  /// The URL has no trailing '/'.
  Options options;
};

}  // namespace fescueline
