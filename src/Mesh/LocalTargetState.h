#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "Core/EnumNames.h"
#include "Core/Time.h"
#include "Membership/TargetState.h"

namespace fescueline {

/// What a target says of itself.
struct TargetReportMessage {
  /// Identifier of the target.
  std::string id;
  /// Start of its process; tells two that use one identifier apart.
  uint64_t startedAt = 0;
  /// Grows with each report of one process.
  uint64_t sequence = 0;
  std::string service;
  /// Requests that it handles at once.
  uint32_t slots = 0;
  bool draining = false;
  /// How much longer it is slow after its start. Not used yet: peers raise the
  /// traffic of a new target step by step in any case.
  Duration coldFor{};
};

/// What became of a report.
enum class ReportResult : uint8_t {
  /// Applied, and the state changed.
  Changed,
  /// Applied; nothing changed.
  Unchanged,
  /// Of an earlier process or sequence, or of another service.
  Outdated
};

/// State of the target beside the node, by its reports. An earlier process's
/// late report changes nothing, and a target that has left stays gone until a
/// later process reports. No locking.
class LocalTargetState {
 public:
  /// Bounds.
  struct Settings {
    /// Service that the target must belong to.
    std::string service;
    /// A target that has not reported for this long is gone.
    Duration silentAfter = std::chrono::seconds(6);
    /// After it has said that it leaves, nothing is passed on later than this.
    Duration drainLimit = std::chrono::seconds(2);
  };

  explicit LocalTargetState(Settings aSettings)
      : settings(std::move(aSettings)) {}

  ReportResult OnReport(const TargetReportMessage& aReport, TimePoint aNow);
  /// The target says that it is leaving for good. Without a start time the
  /// process in place is meant.
  ReportResult OnLeave(const std::string& aId,
                       std::optional<uint64_t> aStartedAt, TimePoint aNow);
  /// The target says that it is ready, though nothing was heard of it yet.
  /// Holds until its first report or for as long as a report would. False if
  /// something was heard of it.
  bool OnProbe(const std::string& aId, uint32_t aSlots, TimePoint aNow);
  /// Whether nothing was heard of the target.
  bool IsUnheard() const { return this->id.empty(); }
  /// Whether the state changed for lack of reports.
  bool Expire(TimePoint aNow);

  TargetState State() const { return this->state; }
  const std::string& Id() const { return this->id; }
  const std::string& Service() const { return this->settings.service; }
  uint32_t Slots() const { return this->slots; }

  /// Whether a request may be passed to the target now.
  bool MayPass(TimePoint aNow) const;

 private:
  void Leave(TargetState aState, TimePoint aNow);

  Settings settings;
  std::string id;
  uint64_t startedAt = 0;
  uint64_t sequence = 0;
  uint32_t slots = 0;
  TargetState state = TargetState::Starting;
  TimePoint lastReport{};

  /// When it said that it leaves.
  TimePoint leavingSince{};
  /// Whether the present process has said that it drains; never taken back.
  bool draining = false;
  /// Whether the present process has said that it leaves for good.
  bool left = false;
};

}  // namespace fescueline
