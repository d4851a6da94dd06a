#pragma once

#include <string_view>
#include <vector>

#include "Core/Time.h"
#include "Node/RunningAttempt.h"
#include "Transport/Frames.h"
#include "Transport/HttpMessage.h"

namespace fescueline {

/// Prefix of all fescueline headers.
inline constexpr std::string_view kHeaderPrefix = "fescueline-";
/// Signed request context, towards and from targets.
inline constexpr std::string_view kContextHeader = "fescueline-context";
/// Attempt id, towards targets.
inline constexpr std::string_view kAttemptHeader = "fescueline-attempt";
/// Organisation, towards targets; for information only.
inline constexpr std::string_view kOrganisationHeader =
    "fescueline-organisation";
/// Milliseconds until the deadline, towards targets.
inline constexpr std::string_view kDeadlineHeader = "fescueline-deadline-ms";
/// Attempt id of an attempt that the target refused to start.
inline constexpr std::string_view kShedHeader = "fescueline-shed";
/// Key of a caller that cannot set Authorization.
inline constexpr std::string_view kKeyHeader = "x-api-key";
/// Caller's identifier for a request that must not run twice.
inline constexpr std::string_view kIdempotencyHeader = "idempotency-key";
/// Longest response body that is stored for attempt queries.
inline constexpr size_t kMaxStoredBody = size_t{64} * 1024;

/// Conversions between headers and their wire form.
HttpHeaders FromWire(const std::vector<HeaderWire>& aHeaders);
std::vector<HeaderWire> ToWire(const HttpHeaders& aHeaders);

/// Removes what must not reach a target: hop-by-hop headers, Expect, headers
/// that can carry a key, and all fescueline headers.
void StripForTarget(HttpHeaders& aHeaders);

/// Removes what must not reach the caller: hop-by-hop headers and all
/// fescueline headers.
void StripForCaller(HttpHeaders& aHeaders);

/// Adds the context and attempt headers for the target.
void AddAttemptHeaders(HttpHeaders& aHeaders, const RunningAttempt& aAttempt,
                       TimePoint aNow, std::string_view aSecret);

}  // namespace fescueline
