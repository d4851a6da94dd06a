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
  /// Method, in capital letters.
  std::string method;
  /// Path without query, still percent-encoded.
  std::string path;
  /// Query without the question mark, still percent-encoded.
  std::string query;
  /// Value of If-Match, if there is one.
  std::optional<std::string> ifMatch = std::nullopt;
  /// Whether If-None-Match: * was sent.
  bool ifNoneMatch = false;
  /// Body.
  std::string body;
};

/// An answer of the stand-in.
struct StandInAnswer {
  /// Status code.
  int status = 200;
  /// Body.
  std::string body = {};
  /// Entity tag of an object; empty if there is none.
  std::string tag = {};
  /// Whether the connection is closed in place of the answer.
  bool lost = false;
};

/// The table service and the object store over memory stores, with injected
/// faults; independent of the HTTP server. One thread.
class StandInService {
 public:
  /// Whether the request is for the control endpoint, which has no faults.
  static bool IsControl(const StandInRequest& aRequest);
  /// Delay before the request is served.
  Duration Delay() const { return this->faults.slow; }
  /// Serves a request, faults included.
  StandInAnswer Serve(const StandInRequest& aRequest, TimePoint aNow);

 private:
  /// Serves /control and /control/stats.
  StandInAnswer ServeControl(const StandInRequest& aRequest);
  /// Serves the platform's protocols. Throws Error for a malformed request.
  StandInAnswer ServePlatform(const StandInRequest& aRequest);
  /// Serves /v1/tables/<name>/<rest>.
  StandInAnswer ServeTable(MemoryTableStore& aTable, std::string_view aRest,
                           const StandInRequest& aRequest);
  /// Serves a write of a table.
  StandInAnswer Transact(MemoryTableStore& aTable, const std::string& aBody);
  /// Serves /v1/objects/<key>.
  StandInAnswer ServeObject(const std::string& aKey,
                            const StandInRequest& aRequest);

  /// Injected faults.
  Faults faults;
  /// What was done.
  StandInStats stats;
  /// Tables by name, created on first use.
  std::map<std::string, MemoryTableStore, std::less<>> tables;
  /// Objects.
  MemoryObjectStore objects;
};

}  // namespace fescueline
