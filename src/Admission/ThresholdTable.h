#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Admission/AdmissionThreshold.h"
#include "Admission/NameIndex.h"
#include "Core/RandomSource.h"
#include "Core/Time.h"

namespace fescueline {

/// Threshold of one service for one organisation, as carried by responses,
/// refusals and pongs.
struct ThresholdReport {
  std::string service;
  std::string organisation;
  AdmissionThreshold threshold;
  /// Time since the service's node computed the threshold.
  Duration age{0};
};

struct ThresholdTableSettings {
  /// Age at which a threshold expires: two ping intervals, so that one lost
  /// pong does not remove it.
  Duration thresholdLifetime = std::chrono::seconds(1);
  /// A service is removed from a route's path when no response has named it
  /// for this long.
  Duration pathLifetime = std::chrono::seconds(60);
  /// Share of the requests that a threshold would refuse which are sent as
  /// probes instead, so that their responses can update the threshold.
  double probeShare = 0.01;
};

/// Thresholds of the services that this node's requests reach, directly or
/// through other services. Not thread-safe.
class ThresholdTable {
 public:
  ThresholdTable(const ThresholdTableSettings& aSettings, uint64_t aSeed);

  /// Records the thresholds that the peer node aSource sent. For a response,
  /// aRoute is the route of the request, and the reported services are added to
  /// the path of that route. For a pong, aRoute is empty.
  void ApplyReports(std::string_view aSource, std::string_view aRoute,
                    const std::vector<ThresholdReport>& aReports,
                    TimePoint aNow);
  /// Whether to refuse a request early because a service on its path would
  /// refuse it. Some of these requests are let through as probes.
  bool ShouldRefuse(std::string_view aRoute, std::string_view aOrganisation,
                    Importance aImportance, uint16_t aRootHash, TimePoint aNow);
  /// Lowest threshold on the path of a route.
  AdmissionThreshold Lowest(std::string_view aRoute,
                            std::string_view aOrganisation,
                            TimePoint aNow) const;
  /// Appends the thresholds on the path of a route, to be forwarded with this
  /// node's own response. The age is that of the oldest source; with a lower
  /// age, hops could refresh an old threshold for each other indefinitely.
  void AppendReports(std::string_view aRoute, std::string_view aOrganisation,
                     TimePoint aNow,
                     std::vector<ThresholdReport>& aReports) const;
  /// Removes the thresholds of a peer that left.
  void RemoveSource(std::string_view aSource);

 private:
  /// Threshold level reported by one peer.
  struct SourceLevel {
    uint32_t source = 0;
    double level = 0;
    TimePoint computedAt;
  };
  /// Threshold of one service for one organisation.
  struct Entry {
    std::vector<SourceLevel> sources;
    /// Mean level over the sources.
    double level = kImportanceClasses;
    /// Expiry time of the oldest source.
    TimePoint expiresAt;
  };
  /// A service on the path of a route.
  struct PathService {
    uint32_t service = 0;
    TimePoint seenAt;
  };

  static uint64_t KeyOf(uint32_t aService, uint32_t aOrganisation) {
    return (static_cast<uint64_t>(aService) << 32) | aOrganisation;
  }
  void UpdatePath(std::string_view aRoute, uint32_t aService, TimePoint aNow);
  void UpdateLevel(uint32_t aSource, uint32_t aService,
                   const ThresholdReport& aReport, TimePoint aNow);
  /// Removes expired sources and recomputes the mean.
  void Refresh(Entry& aEntry, TimePoint aNow) const;

  ThresholdTableSettings settings;
  RandomSource random;
  NameIndex names;
  /// Services on the path of each route, by the index of the route's name.
  std::unordered_map<uint32_t, std::vector<PathService>> paths;
  std::unordered_map<uint64_t, Entry> entries;
};

}  // namespace fescueline
