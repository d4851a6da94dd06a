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

/// Lists in which a service keeps its targets; each target is in one.
enum class TargetList : uint8_t {
  /// In use, in the own data centre.
  Near,
  /// In use, in another data centre of the own region.
  Region,
  /// In use, in another region.
  Far,
  /// Ejected; gets probes.
  Ejected,
  /// Known, but not heard from yet; used only when there is nothing else.
  Unreported,
  /// Starting, draining, silent or gone; gets nothing.
  Closed
};

inline constexpr size_t kTargetLists = 6;
/// Lists of targets in use, in the order of preference.
inline constexpr std::array<TargetList, 3> kTargetsInUse = {
    TargetList::Near, TargetList::Region, TargetList::Far};

/// Bounds of a TargetTable.
struct TargetTableSettings {
  /// Data centre of this node.
  std::string dataCentre;
  /// Region of this node.
  std::string region;
  /// A target that was not heard from for this long gets nothing.
  Duration silentAfter = std::chrono::seconds(3);
  /// Time over which a target that became ready ramps up.
  Duration rampTime = std::chrono::seconds(10);
  /// Share of its usual traffic at the start of the ramp.
  double rampFloor = 0.1;
  /// Largest share of a service's targets that may be impaired by judgement;
  /// one target of two or more may always be. 0 turns ejection off.
  double maxImpaired = 0.34;
  /// Weight of the load that a target reports beyond this node's own calls,
  /// in the choice between targets.
  double reportedLoadWeight = 0.5;
  /// Weight of a new report in the moving average of that load. Without the
  /// average all callers follow the same outdated report to the same targets:
  /// the mean latency at load 0.8 was 22 ms instead of 11 ms.
  double reportedLoadSmoothing = 0.1;
  /// Rules of ejection.
  HealthSettings health = {};
  /// Share of failed requests over the median of the service's targets at
  /// which a target gets minFailureWeight of its usual traffic. One failure in
  /// seven cannot be hidden by the repeats that a service may have.
  double failureRateMargin = 0.15;
  /// Enough to see that the target has recovered.
  double minFailureWeight = 0.1;
};

/// A call in progress at a target.
struct CallTicket {
  /// The target.
  TargetRef target;
  /// Its health's view of the call.
  HealthTicket health;
};

/// This node's knowledge of the targets that it may call: state, load, own
/// calls in flight and health. All calls take constant time except Tick.
/// Not thread-safe; the owner locks.
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
    /// Service of the target.
    uint32_t service = 0;
    /// List that holds the target, and the position in it.
    TargetList list = TargetList::Closed;
    uint32_t position = 0;
    /// List to use while the target is in use; depends on its place.
    TargetList localityList = TargetList::Far;
    /// Time of the last report; nothing if never heard or silent.
    std::optional<TimePoint> lastHeard;
    /// Time at which the target became ready; nothing while it is not.
    std::optional<TimePoint> readySince;
    /// This node's calls in flight.
    uint32_t inFlight = 0;
    /// Load that other callers cause, at most the capacity, averaged over the
    /// reports.
    std::optional<double> otherCallersLoad;
    /// Refused a call since the last report.
    bool busy = false;
    /// Reported share of requests that the target failed.
    double reportedFailureRate = 0.0;
    /// Judgement of latency and failures.
    TargetHealth health;
  };

  /// Targets of one service.
  struct Service {
    /// Indexes of targets, by list.
    std::array<std::vector<uint32_t>, kTargetLists> lists;
    /// Medians over the targets in use.
    PeerMedians medians;
    /// Median of the reported shares of failed requests.
    double medianFailureRate = 0.0;

    const std::vector<uint32_t>& List(TargetList aList) const {
      return this->lists[static_cast<size_t>(aList)];
    }
  };

  explicit TargetTable(TargetTableSettings aSettings)
      : settings(std::move(aSettings)) {}

  /// Adds a target or updates its description. A new incarnation replaces
  /// the old one and starts with nothing known.
  TargetRef Upsert(const TargetInfo& aInfo);
  /// Forgets a target that left.
  void Remove(TargetRef aTarget);
  /// The target beside the given node.
  std::optional<TargetRef> Find(std::string_view aNode) const;

  /// Applies a pong or the first report of a connection.
  void OnPong(TargetRef aTarget, const TargetReport& aReport, TimePoint aNow);
  /// Applies a pushed change of state.
  void OnState(TargetRef aTarget, TargetState aState, TimePoint aNow);
  /// The connection went silent or was closed; the target gets nothing until
  /// the next report.
  void OnSilent(TargetRef aTarget);

  /// Counts a call to the target.
  CallTicket OnStart(TargetRef aTarget, TimePoint aNow);
  /// Counts its end. Ignored if the target was removed or replaced.
  void OnFinish(const CallTicket& aTicket, CallResult aResult, TimePoint aNow);

  /// Closes silent targets and judges the others; call every 500 ms.
  void Tick(TimePoint aNow);

  /// Description of a target; nothing if it was removed or replaced.
  const TargetInfo* Info(TargetRef aTarget) const;
  /// The target, unless it was removed or replaced.
  const Target* Get(TargetRef aTarget) const;
  /// Target at an index found in a list.
  const Target& At(uint32_t aIndex) const { return this->targets[aIndex]; }
  /// Reference to the target at an index.
  TargetRef RefAt(uint32_t aIndex) const {
    return {.index = aIndex, .generation = this->targets[aIndex].generation};
  }
  /// Targets of a service; nullptr if it has none.
  const Service* FindService(std::string_view aService) const;

  /// Load relative to the capacity if one more call is sent, with the report
  /// at its full value. For the question whether a target has room.
  double Utilisation(const Target& aTarget) const;
  /// The same with the report at reportedLoadWeight. For the choice between
  /// targets.
  double LoadScore(const Target& aTarget) const;
  /// Share of its usual traffic that a target should get, from its ramp, its
  /// health and the failures that its node counts; 0 if it was not heard from
  /// in time.
  double Weight(const Target& aTarget, TimePoint aNow) const;
  /// The part of the weight that comes from health and failures. The ramp is
  /// left out: after a restart of the whole fleet all targets ramp up.
  double HealthWeight(const Target& aTarget) const {
    return aTarget.health.Weight() * this->FailureWeight(aTarget);
  }
  /// Number of targets.
  size_t Size() const { return this->byNode.size(); }

 private:
  /// Allows lookups by string_view without a copy.
  struct NameHash {
    using is_transparent = void;  // NOLINT(readability-identifier-naming)
    size_t operator()(std::string_view aName) const {
      return std::hash<std::string_view>{}(aName);
    }
  };
  using NameIndex =
      std::unordered_map<std::string, uint32_t, NameHash, std::equal_to<>>;

  Target* Mutable(TargetRef aTarget);
  uint32_t AllocateSlot();
  uint32_t ServiceIndex(const std::string& aName);
  TargetList LocalityListOf(const TargetInfo& aInfo) const;
  /// Puts the target into the list that its state calls for.
  void Place(uint32_t aIndex);
  void Insert(uint32_t aIndex, TargetList aList);
  void Erase(uint32_t aIndex);
  void SetState(Target& aTarget, TargetState aState, TimePoint aNow);
  void ExpireReports(Service& aService, TimePoint aNow);
  /// Compares the targets of a service with each other.
  void DetectOutliers(Service& aService, TimePoint aNow);
  void UpdateMedians(Service& aService);
  /// Share of its usual traffic that the reported failures leave a target.
  double FailureWeight(const Target& aTarget) const;
  /// Impairs the worst targets, at most up to the limit.
  void ImpairWorst(size_t aImpaired, size_t aLimit, TimePoint aNow);

  /// A target's score in the judgement that is going on.
  struct Outlier {
    /// The target.
    uint32_t index;
    /// Above 1 is bad.
    double score;
  };

  /// Bounds.
  TargetTableSettings settings;
  /// All slots.
  std::vector<Target> targets;
  /// Slots that are not in use.
  std::vector<uint32_t> freeSlots;
  /// All services that ever had a target.
  std::vector<Service> services;
  /// Slot by node id.
  NameIndex byNode;
  /// Index into services by name.
  NameIndex byService;
  /// Scratch space of DetectOutliers, kept to avoid allocations.
  std::vector<uint32_t> evaluated;
  std::vector<Outlier> outliers;
  std::vector<double> latencies;
  std::vector<double> failures;
};

}  // namespace fescueline
