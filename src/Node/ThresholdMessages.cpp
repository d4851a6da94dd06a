#include "Node/ThresholdMessages.h"

namespace fescueline {

std::vector<ThresholdReport> FromWire(
    const std::vector<ThresholdWire>& aThresholds) {
  std::vector<ThresholdReport> reports;
  for (const ThresholdWire& wire : aThresholds) {
    if (wire.importance < kImportanceClasses && wire.age >= 0) {
      reports.push_back(
          {.service = wire.service,
           .organisation = wire.organisation,
           .threshold = {.importance = static_cast<Importance>(wire.importance),
                         .cutoff = wire.cutoff},
           .age = std::chrono::microseconds(wire.age)});
    }
  }
  return reports;
}

ThresholdWire ToWire(const ThresholdReport& aReport) {
  return {
      .service = aReport.service,
      .organisation = aReport.organisation,
      .importance = static_cast<uint8_t>(aReport.threshold.importance),
      .cutoff = aReport.threshold.cutoff,
      .age = std::chrono::duration_cast<std::chrono::microseconds>(aReport.age)
                 .count()};
}

std::vector<ThresholdWire> ReportThresholds(const ThresholdTable& aTable,
                                            const ThresholdReport& aOwn,
                                            std::string_view aRoute,
                                            TimePoint aNow) {
  std::vector<ThresholdReport> reports = {aOwn};
  aTable.AppendReports(aRoute, aOwn.organisation, aNow, reports);
  std::vector<ThresholdWire> wires;
  wires.reserve(reports.size());
  for (const ThresholdReport& report : reports) {
    wires.push_back(ToWire(report));
  }
  return wires;
}

}  // namespace fescueline
