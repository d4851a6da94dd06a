#include "Node/Refusal.h"

#include <fmt/format.h>

#include <cmath>

#include "Core/RandomSource.h"

namespace fescueline {

Duration WithJitter(Duration aBase) {
  return FromSeconds(ToSeconds(aBase) * (0.5 + ThreadRandom().NextDouble()));
}

int StatusOf(Cause aCause) {
  switch (aCause) {
    case Cause::NoRoute:
      return 404;
    case Cause::NoKey:
    case Cause::UnknownKey:
      return 401;
    case Cause::BadRequest:
      return 400;
    case Cause::BadContext:
      return 403;
    case Cause::RateExceeded:
      return 429;
    case Cause::Duplicate:
      return 409;
    case Cause::DeadlineExpired:
      return 504;
    case Cause::ConnectFailed:
    case Cause::ConnectionLost:
    case Cause::TargetFailed:
      return 502;
    default:
      return 503;
  }
}

HttpResponse ToResponse(const Refusal& aRefusal) {
  HttpResponse response;
  response.status = StatusOf(aRefusal.cause);
  response.headers = {
      {"Content-Type", "text/plain"},
      {"fescueline-outcome", std::string(ToName(aRefusal.outcome))},
      {"fescueline-cause", std::string(ToName(aRefusal.cause))}};
  if (aRefusal.retryAfter > Duration(0)) {
    // Retry-After has whole seconds; clients that know the second header can
    // retry sooner.
    response.headers.push_back(
        {"Retry-After",
         fmt::format("{:.0f}", std::ceil(ToSeconds(aRefusal.retryAfter)))});
    response.headers.push_back(
        {"fescueline-retry-after-ms",
         fmt::format("{:.0f}", ToSeconds(aRefusal.retryAfter) * 1000)});
  }
  response.body = fmt::format(
      "{}: {}{}{}\n", ToName(aRefusal.outcome), ToName(aRefusal.cause),
      aRefusal.detail.empty() ? "" : ": ", aRefusal.detail);
  return response;
}

RefusalFrame ToFrame(uint64_t aStream, Outcome aOutcome, Cause aCause,
                     Duration aRetryAfter) {
  const auto wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(aRetryAfter);
  return {.stream = aStream,
          .outcome = static_cast<uint8_t>(aOutcome),
          .cause = static_cast<uint8_t>(aCause),
          .retryAfter = static_cast<uint32_t>(wait.count())};
}

}  // namespace fescueline
