#include "Mesh/RequestReporter.h"

#include <fmt/format.h>

#include "Log/Log.h"
#include "Mesh/CallerResponse.h"

namespace fescueline {

namespace {
std::string Milliseconds(Duration aDuration) {
  return fmt::format("{:.1f}", ToSeconds(aDuration) * 1000);
}
}  // namespace

void RequestReporter::Served(int aStatus) const {
  this->context.metrics.CountServed(
      this->request.OrganisationName(), this->request.GetImportance(), aStatus,
      SteadyClock().Now() - this->request.StartedAt());
}

void RequestReporter::Retried(Outcome aOutcome, Cause aCause,
                              uint32_t aAttempts) const {
  Log(LogLevel::Info, "request repeated",
      {{"request", this->request.Id()},
       {"service", this->request.Service()},
       {"outcome", std::string(ToName(aOutcome))},
       {"cause", std::string(ToName(aCause))},
       {"attempt", std::to_string(aAttempts)}});
}

void RequestReporter::ProtocolError(const std::string& aPeer,
                                    std::string_view aPart, int aStatus) const {
  Log(LogLevel::Error, "peer sent what fits no response",
      {{"request", this->request.Id()},
       {"peer", aPeer},
       {"part", std::string(aPart)},
       {"status", std::to_string(aStatus)}});
}

void RequestReporter::Failed(std::string_view aEvent, Outcome aOutcome,
                             Cause aCause, uint32_t aAttempts) const {
  this->context.metrics.CountRefusal(this->request.OrganisationName(),
                                     this->request.GetImportance(), aCause);
  this->LogEnd(aEvent, aOutcome, aCause, aAttempts);
}

void RequestReporter::CallerGone(uint32_t aAttempts) const {
  this->LogEnd("caller gone", Outcome::Unknown, Cause::Cancelled, aAttempts);
}

HttpResponse RequestReporter::Refusal(Outcome aOutcome, Cause aCause,
                                      Duration aRetryAfter) const {
  const bool mayRetry = aOutcome == Outcome::NotRun &&
                        this->request.Route() != nullptr &&
                        aRetryAfter > Duration::zero();
  HttpResponse response = CallerRefusal(
      aOutcome, aCause,
      mayRetry ? std::optional(RetryAfterTime(
                     aRetryAfter, this->request.Remaining(SteadyClock().Now()),
                     ThreadRandom().NextDouble()))
               : std::nullopt);
  if (!this->request.Id().empty()) {
    response.headers.push_back(
        {this->context.headers.requestId, this->request.Id()});
  }
  return response;
}

void RequestReporter::LogEnd(std::string_view aEvent, Outcome aOutcome,
                             Cause aCause, uint32_t aAttempts) const {
  const MeshRoute* route = this->request.Route();
  const TimePoint now = SteadyClock().Now();
  Log(LogLevel::Info, aEvent,
      {{"request", this->request.Id()},
       {"organisation", this->request.OrganisationName()},
       {"route", route == nullptr ? "" : route->name},
       {"service", this->request.Service()},
       {"outcome", std::string(ToName(aOutcome))},
       {"cause", std::string(ToName(aCause))},
       {"attempts", std::to_string(aAttempts)},
       {"age_ms", Milliseconds(now - this->request.StartedAt())},
       {"left_ms", Milliseconds(this->request.Remaining(now))},
       {"config", std::to_string(this->context.config.Version())},
       {"config_age_ms",
        Milliseconds(this->context.config.Age(BootClock::now()))}});
}

}  // namespace fescueline
