#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "Core/EnumNames.h"
#include "Core/Time.h"
#include "Membership/TargetState.h"

namespace fescueline {

/// A target's report of its own state.
struct TargetReportMessage {
  /// Identifier of the target.
  std::string id;
  /// Start time of the target's process; distinguishes processes that use the
  /// same identifier.
  uint64_t startedAt = 0;
  /// Increases with each report of a process.
  uint64_t sequence = 0;
  std::string service;
  /// Number of requests that the target handles concurrently.
  uint32_t slots = 0;
  bool draining = false;
  /// Remaining warm-up time, during which the target takes few requests.
  Duration coldFor{};
};

/// Effect of a report.
enum class ReportResult : uint8_t {
  /// The report was applied and changed the state.
  Changed,
  /// The report was applied and changed nothing.
  Unchanged,
  /// The report was kept until a probe or later reports confirm it: the process
  /// may have left before this node started.
  Unconfirmed,
  /// The report was ignored: it is from an earlier process, has an old sequence
  /// number, or names another service.
  Outdated
};

/// State of the local target, derived from its reports. A late report of an
/// earlier process changes nothing, and a target that has left stays gone until
/// a later process reports. A node that has just started does not know which
/// processes have left, and reports may arrive late; so the first process
/// counts as ready only once its health check has succeeded or its reports have
/// continued for longer than they can be late. Not thread-safe.
class LocalTargetState {
 public:
  /// Service and time limits.
  struct Settings {
    /// Service that the target must belong to; reports of others are ignored.
    std::string service;
    /// A target that has not reported for this long is considered gone. Reports
    /// that continue for as long confirm their process.
    Duration reportTimeout = std::chrono::seconds(6);
    /// Time for which requests are still sent to a target that has announced
    /// its departure.
    Duration drainLimit = std::chrono::seconds(2);
  };

  explicit LocalTargetState(Settings aSettings)
      : settings(std::move(aSettings)) {}

  ReportResult OnReport(const TargetReportMessage& aReport, TimePoint aNow);
  /// Handles a deregistration: the target is leaving for good. Without a start
  /// time it applies to the current process.
  ReportResult OnLeave(const std::string& aId,
                       std::optional<uint64_t> aStartedAt, TimePoint aNow);
  /// Handles a successful health probe. It confirms an unconfirmed report of
  /// the same target. If there is none and the target is unknown, the probe
  /// itself is valid until the first report, or as long as a report would be;
  /// it must then state the slots. Returns whether the state changed.
  bool OnProbe(const std::string& aId, std::optional<uint32_t> aSlots,
               Duration aColdFor, TimePoint aNow);
  /// Whether a probe can confirm or identify the target.
  bool NeedsProbe() const {
    return this->id.empty() || this->unconfirmed.has_value();
  }
  /// Marks the target as gone if its reports have stopped; returns whether the
  /// state changed.
  bool Expire(TimePoint aNow);

  TargetState State() const { return this->state; }
  const std::string& Id() const { return this->id; }
  const std::string& Service() const { return this->settings.service; }
  uint32_t Slots() const { return this->slots; }
  /// Whether the target is warming up, by its last report or probe.
  bool IsCold(TimePoint aNow) const { return aNow < this->coldUntil; }

  /// Whether requests may still be sent to the target.
  bool AcceptsRequests(TimePoint aNow) const;

 private:
  /// A process whose reports have not been confirmed.
  struct UnconfirmedProcess {
    TargetReportMessage lastReport;
    /// When the first and the last of its reports arrived.
    TimePoint firstAt{};
    TimePoint lastAt{};
  };

  /// Whether a report of readiness may be that of a process which left before
  /// this node started.
  bool NeedsConfirmation(const TargetReportMessage& aReport) const;
  /// Keeps a report until it is confirmed, or applies it if the reports of its
  /// process have continued for long enough.
  ReportResult KeepUnconfirmed(const TargetReportMessage& aReport,
                               TimePoint aNow);
  /// Applies a report that is neither outdated nor unconfirmed.
  ReportResult Apply(const TargetReportMessage& aReport, TimePoint aNow);
  void Leave(TargetState aState, TimePoint aNow);

  Settings settings;
  std::string id;
  uint64_t startedAt = 0;
  uint64_t sequence = 0;
  uint32_t slots = 0;
  TargetState state = TargetState::Starting;
  TimePoint lastReport{};
  /// End of the target's warm-up. The remaining time counts from the arrival of
  /// the report, so that a late one makes the warm-up longer, not shorter.
  TimePoint coldUntil{};

  /// When the target announced its departure.
  TimePoint leavingSince{};
  /// Whether the current process has reported that it is draining; never
  /// reset while it lives.
  bool draining = false;
  /// Whether the current process has deregistered.
  bool left = false;
  /// Whether a process has been ready in the lifetime of this node. A process
  /// that starts later cannot have left before.
  bool confirmed = false;
  std::optional<UnconfirmedProcess> unconfirmed;
};

}  // namespace fescueline
