#pragma once

#include <string>

#include "Transport/HttpClient.h"
#include "Transport/ScriptedPeer.h"

namespace fescueline::test {

/// Header with the request id, which the server may echo.
constexpr const char* kIdHeader = "x-attempt";

/// A request whose response must have the same request id or none.
inline HttpTransferRequest IdentifiedRequest(const ScriptedPeer& aServer,
                                             const std::string& aId) {
  return {.url = aServer.Url("/" + aId),
          .headers = {{kIdHeader, aId}},
          .timeout = std::chrono::seconds(2),
          .idHeader = HttpHeader{kIdHeader, aId}};
}

}  // namespace fescueline::test
