#include "Admission/ThresholdTable.h"

#include <algorithm>

namespace fescueline {

ThresholdTable::ThresholdTable(const ThresholdTableSettings& aSettings,
                               uint64_t aSeed)
    : settings(aSettings), random(aSeed) {}

void ThresholdTable::ApplyReports(std::string_view aSource,
                                  std::string_view aRoute,
                                  const std::vector<ThresholdReport>& aReports,
                                  TimePoint aNow) {
  const uint32_t source = this->names.Add(aSource);
  for (const ThresholdReport& report : aReports) {
    const uint32_t service = this->names.Add(report.service);
    if (!aRoute.empty()) {
      this->UpdatePath(aRoute, service, aNow);
    }
    this->UpdateLevel(source, service, report, aNow);
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
  // Only the class that the threshold admits in part is probed: probes of less
  // important classes would displace more important requests.
  const bool marginal = static_cast<double>(aImportance) <= lowest.Level();
  return !marginal || this->random.NextDouble() >= this->settings.probeShare;
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
    const auto entry = this->entries.find(KeyOf(step.service, *organisation));
    if (entry == this->entries.end()) {
      continue;
    }
    if (aNow < entry->second.expiresAt) {
      lowest = std::min(lowest, entry->second.level);
    } else {
      Entry refreshed = entry->second;
      this->Refresh(refreshed, aNow);
      lowest = std::min(lowest, refreshed.level);
    }
  }
  return AdmissionThreshold::FromLevel(lowest);
}

void ThresholdTable::AppendReports(
    std::string_view aRoute, std::string_view aOrganisation, TimePoint aNow,
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
    const auto found = this->entries.find(KeyOf(step.service, *organisation));
    if (found == this->entries.end()) {
      continue;
    }
    Entry entry = found->second;
    this->Refresh(entry, aNow);
    if (entry.sources.empty()) {
      continue;
    }
    const auto oldest = std::min_element(
        entry.sources.begin(), entry.sources.end(),
        [](const SourceLevel& aLeft, const SourceLevel& aRight) {
          return aLeft.computedAt < aRight.computedAt;
        });
    aReports.push_back({.service = this->names.NameOf(step.service),
                        .organisation = std::string(aOrganisation),
                        .threshold = AdmissionThreshold::FromLevel(entry.level),
                        .age = aNow - oldest->computedAt});
  }
}

void ThresholdTable::RemoveSource(std::string_view aSource) {
  const auto source = this->names.Find(aSource);
  if (!source) {
    return;
  }
  for (auto& [key, entry] : this->entries) {
    std::erase_if(entry.sources, [&](const SourceLevel& aLevel) {
      return aLevel.source == *source;
    });
    // Forces the next use to recompute the mean.
    entry.expiresAt = TimePoint{};
  }
}

void ThresholdTable::UpdatePath(std::string_view aRoute, uint32_t aService,
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

void ThresholdTable::UpdateLevel(uint32_t aSource, uint32_t aService,
                                 const ThresholdReport& aReport,
                                 TimePoint aNow) {
  const uint32_t organisation = this->names.Add(aReport.organisation);
  Entry& entry = this->entries[KeyOf(aService, organisation)];
  const SourceLevel level{.source = aSource,
                          .level = aReport.threshold.Level(),
                          .computedAt = aNow - aReport.age};
  const auto found = std::find_if(
      entry.sources.begin(), entry.sources.end(),
      [&](const SourceLevel& aOther) { return aOther.source == aSource; });
  if (found == entry.sources.end()) {
    entry.sources.push_back(level);
  } else if (found->computedAt <= level.computedAt) {
    // Responses can arrive out of order; an older report is ignored.
    *found = level;
  }
  this->Refresh(entry, aNow);
}

void ThresholdTable::Refresh(Entry& aEntry, TimePoint aNow) const {
  std::erase_if(aEntry.sources, [&](const SourceLevel& aLevel) {
    return aNow - aLevel.computedAt >= this->settings.thresholdLifetime;
  });
  aEntry.level = kImportanceClasses;
  aEntry.expiresAt = TimePoint::max();
  if (aEntry.sources.empty()) {
    return;
  }
  double sum = 0;
  double highest = 0;
  for (const SourceLevel& level : aEntry.sources) {
    sum += level.level;
    highest = std::max(highest, level.level);
    aEntry.expiresAt = std::min(
        aEntry.expiresAt, level.computedAt + this->settings.thresholdLifetime);
  }
  aEntry.level = sum / static_cast<double>(aEntry.sources.size());
  // An instance that admits nothing must not cause refusals of critical
  // requests while other instances still admit less important ones.
  aEntry.level = std::max(aEntry.level, std::min(highest, 1.0));
}

}  // namespace fescueline
