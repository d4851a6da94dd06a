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

  /// Counts a target's response to a caller, and records its latency: the time
  /// from the request to the end of the response.
  void CountServed(const std::string& aOrganisation, Importance aImportance,
                   int aStatus, Duration aLatency);
  /// Counts a request or an attempt that was refused or failed.
  void CountRefusal(const std::string& aOrganisation, Importance aImportance,
                    Cause aCause);
  /// Counts an attempt sent to a target.
  void CountAttempt(bool aRetry);
  /// Counts a response that was dropped or whose connection was closed. aFault
  /// is a constant in the calling code.
  void CountResponseFault(std::string_view aFault);
  /// Counts a connection that was given up or a request that was refused to
  /// keep a listener within its limits. Both names are constants in the calling
  /// code.
  void CountShed(std::string_view aListener, std::string_view aReason);
  /// Counts an exception that left an event handler.
  void CountHandlerFailure();
  /// Sets a gauge; aName is a constant in the calling code.
  void SetGauge(const std::string& aName, double aValue);

  /// Page in the Prometheus text format.
  std::string Page() const;

 private:
  struct Impl;
  /// prometheus-cpp objects.
  std::unique_ptr<Impl> impl;
};

}  // namespace fescueline
