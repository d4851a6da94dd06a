#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "Core/Time.h"
#include "Faults.h"
#include "Platform/MemoryObjectStore.h"
#include "Platform/MemoryTableStore.h"

namespace fescueline {

/// A request to the stand-in.
struct StandInRequest {
  /// Method in upper case.
  std::string method;
  /// Path without query, percent-encoded.
  std::string path;
  /// Query without the question mark, percent-encoded.
  std::string query;
  /// Entity tag in If-Match, without quotes.
  std::optional<std::string> ifMatch = std::nullopt;
  /// Whether If-None-Match: * was sent.
  bool ifNoneMatch = false;
  std::string body;
};

/// A response of the stand-in.
struct StandInResponse {
  int status = 200;
  std::string body = {};
  /// Entity tag of an object; empty if there is none.
  std::string tag = {};
  /// Whether the connection is closed instead of sending the response.
  bool lost = false;
};

/// Table service and object store on memory stores, with injected faults.
/// Independent of the HTTP server. Not thread-safe.
class StandInService {
 public:
  /// Whether the request is for a control endpoint, where no faults are
  /// injected.
  static bool IsControl(const StandInRequest& aRequest);
  /// Injected delay before a request is served.
  Duration Delay() const { return this->faults.delay; }
  /// Serves a request with the injected faults. A malformed one gets 400.
  StandInResponse Serve(const StandInRequest& aRequest, TimePoint aNow);

 private:
  /// Serves /control and /control/stats.
  StandInResponse ServeControl(const StandInRequest& aRequest);
  /// Serves the platform's protocols. Throws Error for a malformed request.
  StandInResponse ServePlatform(const StandInRequest& aRequest);
  /// Serves /v1/tables/<name>/<rest>.
  StandInResponse ServeTable(MemoryTableStore& aTable, std::string_view aRest,
                             const StandInRequest& aRequest);
  /// Serves /v1/tables/<name>/transact.
  StandInResponse Transact(MemoryTableStore& aTable, const std::string& aBody);
  /// Serves /v1/objects/<key>.
  StandInResponse ServeObject(const std::string& aKey,
                              const StandInRequest& aRequest);

  Faults faults;
  StandInStats stats;
  /// Tables by name, created on first use.
  std::map<std::string, MemoryTableStore, std::less<>> tables;
  MemoryObjectStore objects;
};

}  // namespace fescueline
