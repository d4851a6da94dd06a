#pragma once

#include <array>
#include <cstdint>

#include "Core/EnumNames.h"

namespace fescueline {

/// What is known about the execution of a request by its target.
enum class Outcome : uint8_t {
  /// The target did not execute the request: it was not sent, or the target
  /// reported that it did not run it.
  NotRun,
  /// The target may have executed the request, fully or in part.
  Unknown,
  /// The target executed the request and its response follows.
  Ran
};

template <>
struct EnumNames<Outcome> {
  static constexpr std::array<EnumName<Outcome>, 3> kNames{
      {{Outcome::NotRun, "not-run"},
       {Outcome::Unknown, "unknown"},
       {Outcome::Ran, "ran"}}};
};

/// Cause of a refusal or failure, as in the header `fescueline-cause`.
enum class Cause : uint8_t {
  None,
  NoRoute,
  NoKey,
  UnknownKey,
  BadRequest,
  StaleKnowledge,
  RateExceeded,
  Overloaded,
  DeadlineExpired,
  NoTarget,
  Draining,
  ConnectFailed,
  ConnectionLost,
  TargetShed,
  TargetFailed,
  Cancelled,
  Duplicate,
  StoreUnavailable,
  BadContext
};

template <>
struct EnumNames<Cause> {
  static constexpr std::array<EnumName<Cause>, 19> kNames{
      {{Cause::None, "none"},
       {Cause::NoRoute, "no-route"},
       {Cause::NoKey, "no-key"},
       {Cause::UnknownKey, "unknown-key"},
       {Cause::BadRequest, "bad-request"},
       {Cause::StaleKnowledge, "stale-knowledge"},
       {Cause::RateExceeded, "rate-exceeded"},
       {Cause::Overloaded, "overloaded"},
       {Cause::DeadlineExpired, "deadline-expired"},
       {Cause::NoTarget, "no-target"},
       {Cause::Draining, "draining"},
       {Cause::ConnectFailed, "connect-failed"},
       {Cause::ConnectionLost, "connection-lost"},
       {Cause::TargetShed, "target-shed"},
       {Cause::TargetFailed, "target-failed"},
       {Cause::Cancelled, "cancelled"},
       {Cause::Duplicate, "duplicate"},
       {Cause::StoreUnavailable, "store-unavailable"},
       {Cause::BadContext, "bad-context"}}};
};

}  // namespace fescueline
