#pragma once

#include <vector>

#include "Admission/ThresholdTable.h"
#include "Transport/Frames.h"

namespace fescueline {

/// Decodes the thresholds in a frame; those with values out of range are
/// skipped.
std::vector<ThresholdReport> FromWire(
    const std::vector<ThresholdWire>& aThresholds);

/// Encodes a report for a frame.
ThresholdWire ToWire(const ThresholdReport& aReport);

/// A service's own threshold for a request and the known thresholds of
/// downstream services on its route, for the frame that ends the request.
std::vector<ThresholdWire> ReportThresholds(const ThresholdTable& aTable,
                                            const ThresholdReport& aOwn,
                                            std::string_view aRoute,
                                            TimePoint aNow);

}  // namespace fescueline
