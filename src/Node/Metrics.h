#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "Core/Importance.h"
#include "Core/Outcome.h"
#include "Core/Time.h"

namespace fescueline {

/// Counters, gauges and histograms of a node for Prometheus. Thread-safe.
/// Organisations beyond the first 200 share the label "other", so that the
/// page stays bounded.
class Metrics {
 public:
  Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  ~Metrics();

  /// A caller's request got a response after aLatency.
  void CountServed(const std::string& aOrganisation, Importance aImportance,
                   int aStatus, Duration aLatency);
  /// A request or an attempt was refused or failed.
  void CountRefusal(const std::string& aOrganisation, Importance aImportance,
                    Cause aCause);
  /// An attempt was sent to a target.
  void CountAttempt(bool aRetry);
  /// A response was dropped or its connection closed; the name of the fault is
  /// a constant of the caller.
  void CountResponseFault(std::string_view aFault);
  /// Sets a gauge; the name is a constant of the caller.
  void SetGauge(const std::string& aName, double aValue);

  /// Page in the Prometheus text format.
  std::string Page() const;

 private:
  struct Impl;
  /// prometheus-cpp objects.
  std::unique_ptr<Impl> impl;
};

}  // namespace fescueline
