#include "Node/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <mutex>
#include <set>

#include "Core/OrderedMutex.h"

namespace fescueline {

namespace {
constexpr size_t kMaxOrganisations = 200;

prometheus::Histogram::BucketBoundaries LatencyBounds() {
  return {0.0005, 0.001, 0.0017, 0.0025, 0.005, 0.01, 0.025, 0.05,
          0.1,    0.25,  0.5,    1.0,    2.5,   5.0,  10.0};
}

std::string Label(std::string_view aName) { return std::string(aName); }
}  // namespace

struct Metrics::Impl {
  /// Label of an organisation.
  std::string Organisation(const std::string& aName) {
    if (aName.empty()) {
      return "none";
    }
    const std::lock_guard lock(this->mutex);
    if (this->organisations.contains(aName)) {
      return aName;
    }
    if (this->organisations.size() >= kMaxOrganisations) {
      return "other";
    }
    this->organisations.insert(aName);
    return aName;
  }

  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& served =
      prometheus::BuildCounter()
          .Name("fescueline_requests_served_total")
          .Help("Responses of targets passed on to callers")
          .Register(this->registry);
  prometheus::Family<prometheus::Counter>& refused =
      prometheus::BuildCounter()
          .Name("fescueline_requests_refused_total")
          .Help("Requests refused or failed, by cause")
          .Register(this->registry);
  prometheus::Family<prometheus::Counter>& attempts =
      prometheus::BuildCounter()
          .Name("fescueline_attempts_total")
          .Help("Attempts sent to targets")
          .Register(this->registry);
  prometheus::Family<prometheus::Counter>& responseFaults =
      prometheus::BuildCounter()
          .Name("fescueline_response_faults_total")
          .Help(
              "Responses dropped and connections to the target closed because "
              "requests and responses did not match")
          .Register(this->registry);
  prometheus::Family<prometheus::Counter>& shed =
      prometheus::BuildCounter()
          .Name("fescueline_callers_shed_total")
          .Help(
              "Connections given up and requests refused to keep a listener "
              "within its limits")
          .Register(this->registry);
  prometheus::Family<prometheus::Histogram>& latency =
      prometheus::BuildHistogram()
          .Name("fescueline_request_seconds")
          .Help("Time from a caller's request to the end of its response")
          .Register(this->registry);
  prometheus::Family<prometheus::Histogram>& classLatency =
      prometheus::BuildHistogram()
          .Name("fescueline_request_seconds_by_importance")
          .Help("Time from request to end of response by importance class")
          .Register(this->registry);
  prometheus::Family<prometheus::Gauge>& gauges =
      prometheus::BuildGauge()
          .Name("fescueline_node")
          .Help("Current values of the node")
          .Register(this->registry);
  prometheus::Family<prometheus::Counter>& handlerFailureFamily =
      prometheus::BuildCounter()
          .Name("fescueline_handler_failures_total")
          .Help("Exceptions that left an event handler")
          .Register(this->registry);
  prometheus::Counter& handlerFailures = this->handlerFailureFamily.Add({});
  prometheus::Counter& firstAttempts = this->attempts.Add({{"kind", "first"}});
  prometheus::Counter& retries = this->attempts.Add({{"kind", "retry"}});
  /// Guards `organisations`; no other lock is taken while it is held.
  OrderedMutex mutex{LockRank::Metrics};
  std::set<std::string> organisations;
};

Metrics::Metrics() : impl(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

void Metrics::CountServed(const std::string& aOrganisation,
                          Importance aImportance, int aStatus,
                          Duration aLatency) {
  const std::string organisation = this->impl->Organisation(aOrganisation);
  const std::string importance = Label(ToName(aImportance));
  this->impl->served
      .Add({{"organisation", organisation},
            {"importance", importance},
            {"status", std::to_string(aStatus / 100) + "xx"}})
      .Increment();
  this->impl->latency.Add({{"organisation", organisation}}, LatencyBounds())
      .Observe(ToSeconds(aLatency));
  this->impl->classLatency.Add({{"importance", importance}}, LatencyBounds())
      .Observe(ToSeconds(aLatency));
}

void Metrics::CountRefusal(const std::string& aOrganisation,
                           Importance aImportance, Cause aCause) {
  this->impl->refused
      .Add({{"organisation", this->impl->Organisation(aOrganisation)},
            {"importance", Label(ToName(aImportance))},
            {"cause", Label(ToName(aCause))}})
      .Increment();
}

void Metrics::CountAttempt(bool aRetry) {
  (aRetry ? this->impl->retries : this->impl->firstAttempts).Increment();
}

void Metrics::CountResponseFault(std::string_view aFault) {
  this->impl->responseFaults.Add({{"fault", Label(aFault)}}).Increment();
}

void Metrics::CountShed(std::string_view aListener, std::string_view aReason) {
  this->impl->shed
      .Add({{"listener", Label(aListener)}, {"reason", Label(aReason)}})
      .Increment();
}

void Metrics::CountHandlerFailure() { this->impl->handlerFailures.Increment(); }

void Metrics::SetGauge(const std::string& aName, double aValue) {
  this->impl->gauges.Add({{"value", aName}}).Set(aValue);
}

std::string Metrics::Page() const {
  return prometheus::TextSerializer().Serialize(this->impl->registry.Collect());
}

}  // namespace fescueline
