#include "Admission/ThresholdTable.h"

#include <algorithm>

namespace fescueline {

ThresholdTable::ThresholdTable(const ThresholdTableSettings& aSettings,
                               uint64_t aSeed)
    : settings(aSettings), random(aSeed) {}

void ThresholdTable::Learn(std::string_view aSource, std::string_view aRoute,
                           const std::vector<ThresholdReport>& aReports,
                           TimePoint aNow) {
  const uint32_t source = this->names.Add(aSource);
  for (const ThresholdReport& report : aReports) {
    const uint32_t service = this->names.Add(report.service);
    if (!aRoute.empty()) {
      this->LearnPath(aRoute, service, aNow);
    }
    this->LearnLevel(source, service, report, aNow);
  }
}

bool ThresholdTable::ShouldRefuse(std::string_view aRoute,
                                  std::string_view aOrganisation,
                                  Importance aImportance, uint16_t aRootHash,
                                  TimePoint aNow) {
  const AdmissionThreshold lowest = this->Lowest(aRoute, aOrganisation, aNow);
  if (lowest.Admits(aImportance, aRootHash)) {
    return false;
  }
  // Only the class that the threshold divides is probed: lower ones would take
  // the place of more important requests.
  const bool marginal = static_cast<double>(aImportance) <= lowest.Level();
  return !marginal || this->random.Unit() >= this->settings.probeShare;
}

AdmissionThreshold ThresholdTable::Lowest(std::string_view aRoute,
                                          std::string_view aOrganisation,
                                          TimePoint aNow) const {
  const auto route = this->names.Find(aRoute);
  const auto organisation = this->names.Find(aOrganisation);
  if (!route || !organisation) {
    return {};
  }
  const auto path = this->paths.find(*route);
  if (path == this->paths.end()) {
    return {};
  }
  double lowest = kImportanceClasses;
  for (const PathService& step : path->second) {
    const auto cell = this->cells.find(KeyOf(step.service, *organisation));
    if (cell == this->cells.end()) {
      continue;
    }
    if (aNow < cell->second.expiresAt) {
      lowest = std::min(lowest, cell->second.level);
    } else {
      Cell refreshed = cell->second;
      this->Refresh(refreshed, aNow);
      lowest = std::min(lowest, refreshed.level);
    }
  }
  return AdmissionThreshold::FromLevel(lowest);
}

void ThresholdTable::Report(std::string_view aRoute,
                            std::string_view aOrganisation, TimePoint aNow,
                            std::vector<ThresholdReport>& aReports) const {
  const auto route = this->names.Find(aRoute);
  const auto organisation = this->names.Find(aOrganisation);
  if (!route || !organisation) {
    return;
  }
  const auto path = this->paths.find(*route);
  if (path == this->paths.end()) {
    return;
  }
  for (const PathService& step : path->second) {
    const auto found = this->cells.find(KeyOf(step.service, *organisation));
    if (found == this->cells.end()) {
      continue;
    }
    Cell cell = found->second;
    this->Refresh(cell, aNow);
    if (cell.sources.empty()) {
      continue;
    }
    const auto oldest = std::min_element(
        cell.sources.begin(), cell.sources.end(),
        [](const SourceLevel& aLeft, const SourceLevel& aRight) {
          return aLeft.takenAt < aRight.takenAt;
        });
    aReports.push_back({.service = this->names.NameOf(step.service),
                        .organisation = std::string(aOrganisation),
                        .threshold = AdmissionThreshold::FromLevel(cell.level),
                        .age = aNow - oldest->takenAt});
  }
}

void ThresholdTable::Forget(std::string_view aSource) {
  const auto source = this->names.Find(aSource);
  if (!source) {
    return;
  }
  for (auto& [key, cell] : this->cells) {
    std::erase_if(cell.sources, [&](const SourceLevel& aLevel) {
      return aLevel.source == *source;
    });
    // The next use recomputes the mean.
    cell.expiresAt = TimePoint{};
  }
}

void ThresholdTable::LearnPath(std::string_view aRoute, uint32_t aService,
                               TimePoint aNow) {
  std::vector<PathService>& path = this->paths[this->names.Add(aRoute)];
  std::erase_if(path, [&](const PathService& aStep) {
    return aStep.service != aService &&
           aNow - aStep.seenAt > this->settings.pathLifetime;
  });
  const auto found = std::find_if(
      path.begin(), path.end(),
      [&](const PathService& aStep) { return aStep.service == aService; });
  if (found != path.end()) {
    found->seenAt = aNow;
  } else {
    path.push_back({aService, aNow});
  }
}

void ThresholdTable::LearnLevel(uint32_t aSource, uint32_t aService,
                                const ThresholdReport& aReport,
                                TimePoint aNow) {
  const uint32_t organisation = this->names.Add(aReport.organisation);
  Cell& cell = this->cells[KeyOf(aService, organisation)];
  const SourceLevel level{.source = aSource,
                          .level = aReport.threshold.Level(),
                          .takenAt = aNow - aReport.age};
  const auto found = std::find_if(
      cell.sources.begin(), cell.sources.end(),
      [&](const SourceLevel& aOther) { return aOther.source == aSource; });
  if (found == cell.sources.end()) {
    cell.sources.push_back(level);
  } else if (found->takenAt <= level.takenAt) {
    // Answers can overtake each other; an older one changes nothing.
    *found = level;
  }
  this->Refresh(cell, aNow);
}

void ThresholdTable::Refresh(Cell& aCell, TimePoint aNow) const {
  std::erase_if(aCell.sources, [&](const SourceLevel& aLevel) {
    return aNow - aLevel.takenAt >= this->settings.thresholdLifetime;
  });
  aCell.level = kImportanceClasses;
  aCell.expiresAt = TimePoint::max();
  if (aCell.sources.empty()) {
    return;
  }
  double sum = 0;
  double highest = 0;
  for (const SourceLevel& level : aCell.sources) {
    sum += level.level;
    highest = std::max(highest, level.level);
    aCell.expiresAt = std::min(
        aCell.expiresAt, level.takenAt + this->settings.thresholdLifetime);
  }
  aCell.level = sum / static_cast<double>(aCell.sources.size());
  // An instance that can do nothing must not keep critical work away from
  // others that still admit less important work.
  aCell.level = std::max(aCell.level, std::min(highest, 1.0));
}

}  // namespace fescueline
