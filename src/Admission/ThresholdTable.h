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

/// Threshold of one service for one organisation, as carried on answers,
/// refusals and pongs.
struct ThresholdReport {
  std::string service;
  std::string organisation;
  AdmissionThreshold threshold;
  /// Time since the service's node computed the threshold.
  Duration age{0};
};

/// Settings of ThresholdTable.
struct ThresholdTableSettings {
  /// Age at which a threshold is forgotten: two pings, so that one lost pong
  /// does not lift it.
  Duration thresholdLifetime = std::chrono::seconds(1);
  /// Time after which a service that no answer named leaves a route's path.
  Duration pathLifetime = std::chrono::seconds(60);
  /// Share of the requests below a threshold that pass nevertheless, so that
  /// answers keep coming and the threshold can be lifted.
  double probeShare = 0.01;
};

/// Thresholds of the services that this node's requests reach, directly or
/// further down. Not thread-safe.
class ThresholdTable {
 public:
  ThresholdTable(const ThresholdTableSettings& aSettings, uint64_t aSeed);

  /// Records the thresholds that a peer node sent. aSource names the peer. An
  /// answer names the route it belongs to; the services in its reports are
  /// then on the path of that route. A pong has no route.
  void Learn(std::string_view aSource, std::string_view aRoute,
             const std::vector<ThresholdReport>& aReports, TimePoint aNow);
  /// Whether to refuse a request since a service on its path would. Some of
  /// these requests pass as probes.
  bool ShouldRefuse(std::string_view aRoute, std::string_view aOrganisation,
                    Importance aImportance, uint16_t aRootHash, TimePoint aNow);
  /// Lowest threshold on the path of a route.
  AdmissionThreshold Lowest(std::string_view aRoute,
                            std::string_view aOrganisation,
                            TimePoint aNow) const;
  /// Appends what this node knows about the path of a route, to be passed on
  /// with its own answer. The age is that of the oldest source; a younger one
  /// would let hops keep an old threshold alive for each other.
  void Report(std::string_view aRoute, std::string_view aOrganisation,
              TimePoint aNow, std::vector<ThresholdReport>& aReports) const;
  /// Forgets a peer that left.
  void Forget(std::string_view aSource);

 private:
  /// Threshold according to one peer.
  struct SourceLevel {
    uint32_t source = 0;
    double level = 0;
    /// When the threshold was computed.
    TimePoint computedAt;
  };
  /// Threshold of one service for one organisation.
  struct Entry {
    std::vector<SourceLevel> sources;
    /// Mean level over the sources.
    double level = kImportanceClasses;
    /// When the oldest of the sources expires.
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
  /// Path of each route, by the index of the route's name.
  std::unordered_map<uint32_t, std::vector<PathService>> paths;
  std::unordered_map<uint64_t, Entry> entries;
};

}  // namespace fescueline
