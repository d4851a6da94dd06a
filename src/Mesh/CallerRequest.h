#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Core/Time.h"
#include "Mesh/HeaderVocabulary.h"
#include "Transport/Frames.h"
#include "Transport/HttpMessage.h"

namespace fescueline {

/// Host that a request names; empty if none.
std::string HostOf(const HttpHeaders& aHeaders);

/// Time that the caller will wait; nothing if the request does not say it, or
/// says it in a way that is not understood.
std::optional<Duration> TimeoutOf(const HttpHeaders& aHeaders,
                                  const HeaderVocabulary& aNames);

/// Takes a caller's headers and returns those for the target: without the ones
/// of the connection and the ones that only nodes may set, and with the service
/// and the organisation (none if empty) in whose name the request runs.
std::vector<HeaderWire> TargetHeaders(HttpHeaders aReceived,
                                      const HeaderVocabulary& aNames,
                                      const std::string& aCallerService,
                                      const std::string& aOrganisation);

}  // namespace fescueline
