#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Core/Time.h"
#include "Mesh/HeaderNames.h"
#include "Transport/Frames.h"
#include "Transport/HttpMessage.h"

namespace fescueline {

/// Host header of a request; empty if it has none.
std::string HostOf(const HttpHeaders& aHeaders);

/// Timeout of the caller; nullopt if the header is missing or malformed.
std::optional<Duration> TimeoutOf(const HttpHeaders& aHeaders,
                                  const HeaderNames& aNames);

/// Converts a caller's headers to those for the target: removes hop-by-hop
/// headers, the key, and headers that only nodes may set; adds the caller's
/// service and, unless it is empty, the organisation.
std::vector<HeaderWire> TargetHeaders(HttpHeaders aReceived,
                                      const HeaderNames& aNames,
                                      const std::string& aCallerService,
                                      const std::string& aOrganisation);

}  // namespace fescueline
