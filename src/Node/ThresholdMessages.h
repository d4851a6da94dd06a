#pragma once

#include <vector>

#include "Admission/ThresholdTable.h"
#include "Transport/Frames.h"

namespace fescueline {

/// Reports in frames; those with values out of range are left out.
std::vector<ThresholdReport> FromWire(
    const std::vector<ThresholdWire>& aThresholds);

/// A report for a frame.
ThresholdWire ToWire(const ThresholdReport& aReport);

/// A service's own threshold for a request and what is known of the services
/// further down its route, for the frame that ends the request.
std::vector<ThresholdWire> ReportThresholds(const ThresholdTable& aTable,
                                            const ThresholdReport& aOwn,
                                            std::string_view aRoute,
                                            TimePoint aNow);

}  // namespace fescueline
