#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Core/Time.h"
#include "Routing/TargetHealth.h"
#include "Routing/TargetInfo.h"

namespace fescueline {

/// Lists of a service's targets; each target is in exactly one.
enum class TargetList : uint8_t {
  /// Usable, in the local data centre.
  Near,
  /// Usable, in another data centre of the local region.
  Region,
  /// Usable, in another region.
  Far,
  /// Ejected by outlier detection; gets only probes.
  Ejected,
  /// No report received yet; used only when no other target is usable.
  Unreported,
  /// Starting, draining, unreachable or gone; gets no calls.
  Unusable
};

inline constexpr size_t kTargetLists = 6;
/// Lists of usable targets, in order of preference.
inline constexpr std::array<TargetList, 3> kUsableLists = {
    TargetList::Near, TargetList::Region, TargetList::Far};

struct TargetTableSettings {
  /// Data centre of this node.
  std::string dataCentre;
  /// Region of this node.
  std::string region;
  /// A target without a report for this long gets no calls.
  Duration reportTimeout = std::chrono::seconds(3);
  /// Time over which the traffic of a target that became ready ramps up.
  Duration rampTime = std::chrono::seconds(10);
  /// Share of its usual traffic at the start of the ramp.
  double rampFloor = 0.1;
  /// Maximum share of a service's targets that are impaired: ejected or with a
  /// reduced weight. One of two or more targets may always be impaired. 0
  /// disables outlier ejection.
  double maxImpaired = 0.34;
  /// Weight of the load from other callers, as reported by the target, in the
  /// choice between two targets.
  double reportedLoadWeight = 0.5;
  /// Weight of a new report in the moving average of that load. Without
  /// averaging, all callers send to the same targets on the same outdated
  /// report: mean latency at load 0.8 was 22 ms instead of 11 ms.
  double reportedLoadSmoothing = 0.1;
  HealthSettings health = {};
  /// Excess of the reported failure rate over the median of the service's
  /// targets at which a target gets minFailureWeight of its usual traffic. The
  /// retries that a service may have cannot hide one failure in seven.
  double failureRateMargin = 0.15;
  /// Lowest weight for reported failures; enough traffic to detect recovery.
  double minFailureWeight = 0.1;
};

/// State of a call in progress, to be passed to TargetTable::OnFinish().
struct CallTicket {
  TargetRef target;
  HealthTicket health;
};

/// Targets that this node may call, with their state, load, health and this
/// node's calls in flight. All methods except Tick() take constant time. Not
/// thread-safe; the owner locks.
class TargetTable {
 public:
  /// One target.
  struct Target {
    /// Description from the member record.
    TargetInfo info;
    /// Reported state.
    TargetState state = TargetState::Starting;
    /// Number of times that the slot was reused.
    uint32_t generation = 0;
    /// Whether the slot is in use.
    bool present = false;
    /// Index of the target's service.
    uint32_t service = 0;
    /// List that holds the target, and the position in it.
    TargetList list = TargetList::Unusable;
    uint32_t position = 0;
    /// List for the target while it is usable, by its locality.
    TargetList localityList = TargetList::Far;
    /// Time of the last report; nullopt if there was none or the target is
    /// unreachable.
    std::optional<TimePoint> lastReport;
    /// Time at which the target became ready; nullopt while it is not ready.
    std::optional<TimePoint> readySince;
    /// This node's calls in flight.
    uint32_t inFlight = 0;
    /// Load from other callers, at most the capacity; moving average over the
    /// reports.
    std::optional<double> otherCallersLoad;
    /// Whether the target refused a call since the last report.
    bool busy = false;
    double reportedFailureRate = 0.0;
    TargetHealth health;
  };

  /// Targets of one service.
  struct Service {
    /// Indices of targets, by list.
    std::array<std::vector<uint32_t>, kTargetLists> lists;
    /// Medians over the usable targets.
    PeerMedians medians;
    /// Median of the reported failure rates.
    double medianFailureRate = 0.0;

    const std::vector<uint32_t>& List(TargetList aList) const {
      return this->lists[static_cast<size_t>(aList)];
    }
  };

  explicit TargetTable(TargetTableSettings aSettings)
      : settings(std::move(aSettings)) {}

  /// Adds a target or updates its description. A new incarnation replaces the
  /// target and its state.
  TargetRef Upsert(const TargetInfo& aInfo);
  /// Removes a target that left.
  void Remove(TargetRef aTarget);
  /// The target beside the given node; nullopt if it is unknown.
  std::optional<TargetRef> Find(std::string_view aNode) const;

  /// Applies a pong or the first report of a connection.
  void OnReport(TargetRef aTarget, const TargetReport& aReport, TimePoint aNow);
  /// Applies a state change that the target's node pushed.
  void OnState(TargetRef aTarget, TargetState aState, TimePoint aNow);
  /// Handles a connection that was closed or timed out; the target gets no
  /// calls until its next report.
  void OnUnreachable(TargetRef aTarget);

  /// Records the start of a call.
  CallTicket OnStart(TargetRef aTarget, TimePoint aNow);
  /// Records the end of a call. Ignored if the target was removed or replaced.
  void OnFinish(const CallTicket& aTicket, CallResult aResult, TimePoint aNow);

  /// Marks targets with expired reports as unusable and runs outlier detection
  /// on the others; call every 500 ms.
  void Tick(TimePoint aNow);

  /// Description of a target; nullptr if it was removed or replaced.
  const TargetInfo* Info(TargetRef aTarget) const;
  /// The target; nullptr if it was removed or replaced.
  const Target* Get(TargetRef aTarget) const;
  /// Target at an index found in a list.
  const Target& At(uint32_t aIndex) const { return this->targets[aIndex]; }
  /// Reference to the current target at an index; invalid once that target is
  /// removed or replaced.
  TargetRef RefAt(uint32_t aIndex) const {
    return {.index = aIndex, .generation = this->targets[aIndex].generation};
  }
  /// Targets of a service; nullptr if it has none.
  const Service* FindService(std::string_view aService) const;

  /// Load relative to capacity if one more call is sent, with the reported load
  /// at full weight. For the decision whether a target has spare capacity.
  double Utilisation(const Target& aTarget) const;
  /// Load relative to capacity if one more call is sent, with the reported load
  /// weighted by reportedLoadWeight. For the choice between two targets.
  double LoadScore(const Target& aTarget) const;
  /// Share of its usual traffic that a target should get, from its ramp-up, its
  /// health and its reported failure rate; 0 if its last report has expired.
  double Weight(const Target& aTarget, TimePoint aNow) const;
  /// The part of the weight from health and reported failure rate. Excludes the
  /// ramp-up, since all targets ramp up after a restart of the whole fleet.
  double HealthWeight(const Target& aTarget) const {
    return aTarget.health.Weight() * this->FailureWeight(aTarget);
  }
  size_t Size() const { return this->byNode.size(); }

 private:
  /// Transparent hash, for lookups by string_view without a copy.
  struct NameHash {
    using is_transparent = void;  // NOLINT(readability-identifier-naming)
    size_t operator()(std::string_view aName) const {
      return std::hash<std::string_view>{}(aName);
    }
  };
  using IndexByName =
      std::unordered_map<std::string, uint32_t, NameHash, std::equal_to<>>;

  Target* Mutable(TargetRef aTarget);
  uint32_t AllocateSlot();
  uint32_t ServiceIndex(const std::string& aName);
  TargetList LocalityListOf(const TargetInfo& aInfo) const;
  /// Moves the target to the list for its current state.
  void Place(uint32_t aIndex);
  void Insert(uint32_t aIndex, TargetList aList);
  void Erase(uint32_t aIndex);
  void SetState(Target& aTarget, TargetState aState, TimePoint aNow);
  /// Marks targets as unusable whose last report is older than reportTimeout,
  /// and fills `evaluated` with the others.
  void ExpireReports(Service& aService, TimePoint aNow);
  /// Compares the targets of a service with their medians, and adjusts the
  /// weights.
  void DetectOutliers(Service& aService, TimePoint aNow);
  void UpdateMedians(Service& aService);
  /// Share of its usual traffic that a target should get for its reported
  /// failure rate.
  double FailureWeight(const Target& aTarget) const;
  /// Reduces the weights of the outliers, the highest scores first, up to
  /// aLimit impaired targets. aImpaired is the number before the call.
  void ImpairWorst(size_t aImpaired, size_t aLimit, TimePoint aNow);

  /// An outlier of the current evaluation.
  struct Outlier {
    /// Index of the target.
    uint32_t index;
    /// TargetHealth::OutlierScore(); above 1.
    double score;
  };

  TargetTableSettings settings;
  /// Targets by slot.
  std::vector<Target> targets;
  std::vector<uint32_t> freeSlots;
  /// All services that have had a target.
  std::vector<Service> services;
  /// Slot by node id.
  IndexByName byNode;
  /// Index into services by name.
  IndexByName byService;
  /// Scratch space of Tick(), kept to avoid allocations. `evaluated` holds the
  /// targets of the service that are usable or ejected.
  std::vector<uint32_t> evaluated;
  std::vector<Outlier> outliers;
  std::vector<double> latencies;
  std::vector<double> failures;
};

}  // namespace fescueline
