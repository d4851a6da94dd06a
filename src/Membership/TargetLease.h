#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "Core/Time.h"
#include "Membership/TargetState.h"

namespace fescueline {

/// Announcement that a target sends to its local node every second.
struct TargetAnnouncement {
  /// Service that the target belongs to.
  std::string service;
  /// Address on which it takes requests.
  std::string address;
  /// Starting, Ready or Draining.
  TargetState state = TargetState::Starting;
  /// Requests that it handles concurrently; nullopt if it does not say.
  std::optional<uint32_t> slots;
  /// Connections that it accepts; nullopt if it does not say.
  std::optional<uint32_t> connections;
  /// Requests in progress by its own count; only a hint.
  uint32_t load = 0;

  bool operator==(const TargetAnnouncement&) const = default;
};

/// Durations of a TargetLease.
struct TargetLeaseSettings {
  /// Time without an announcement after which the target counts as gone.
  Duration length = std::chrono::seconds(3);
  /// An expiry noticed this much too late means that the process was paused.
  Duration pauseThreshold = std::chrono::seconds(1);
  /// Time after a pause in which announcements are ignored. They may have been
  /// buffered in the socket since before the pause; a live target announces
  /// itself again.
  Duration ignoreAfterPause = std::chrono::milliseconds(200);
};

/// Lease of this node's local target, renewed by the target's announcements.
/// Not thread-safe; the owner locks.
///
/// Contract:
/// - The target announces itself about three times per lease length. The owner
///   passes each announcement on when it arrives, with the time of its arrival.
/// - Announce and Expire return whether the state has changed; the owner then
///   notifies the callers. An unchanged announcement only renews the lease.
/// - State, Current and ReadyFor need no timer: they report Gone from the
///   moment the lease is overdue. Expire is needed to notify the callers and to
///   detect pauses, so it must be called at least once a second.
/// - After a pause of the process the lease ends first, and announcements are
///   ignored for `ignoreAfterPause`: they may have been buffered in the socket
///   before the target died. A live target reappears with its next
///   announcement.
/// - Only the latest announcement counts; another address is another target,
///   whose ready time starts anew.
class TargetLease {
 public:
  explicit TargetLease(const TargetLeaseSettings& aSettings)
      : settings(aSettings) {}

  /// Applies an announcement. Returns whether the state has changed, of which
  /// the callers must be notified.
  bool Announce(const TargetAnnouncement& aAnnouncement, TimePoint aNow);

  /// Ends an overdue lease; returns whether it ended now. Call at least once a
  /// second, and before anything else when a timer fires late.
  bool Expire(TimePoint aNow);

  /// State of the target; Gone if the lease is overdue, even if Expire has
  /// not been called yet.
  TargetState State(TimePoint aNow) const;
  /// Last announcement; nullptr while the target is gone.
  const TargetAnnouncement* Current(TimePoint aNow) const;
  /// How long the target has been ready without interruption; nullopt if it is
  /// not ready.
  std::optional<Duration> ReadyFor(TimePoint aNow) const;

 private:
  bool IsOverdue(TimePoint aNow) const;

  TargetLeaseSettings settings;
  /// Last announcement while the lease runs.
  std::optional<TargetAnnouncement> current;
  /// Time of the last announcement.
  TimePoint renewedAt{};
  /// Time since which the target has been ready.
  TimePoint readySince{};
  /// Announcements before this time are ignored.
  TimePoint ignoreUntil{};
};

}  // namespace fescueline
