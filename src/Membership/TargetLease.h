#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "Core/Time.h"
#include "Membership/TargetState.h"

namespace fescueline {

/// What a target sends to the node beside it every second.
struct TargetAnnouncement {
  /// Service that the target belongs to.
  std::string service;
  /// Address on which it takes requests.
  std::string address;
  /// Starting, Ready or Draining.
  TargetState state = TargetState::Starting;
  /// Requests that it handles at once; nothing if it does not say.
  std::optional<uint32_t> slots;
  /// Connections that it accepts; nothing if it does not say.
  std::optional<uint32_t> connections;
  /// Requests in progress as it counts them; a hint.
  uint32_t load = 0;

  bool operator==(const TargetAnnouncement&) const = default;
};

/// Times of a TargetLease.
struct TargetLeaseSettings {
  /// Silence after which the target counts as gone.
  Duration length = std::chrono::seconds(3);
  /// An expiry noticed this much too late means that the process was paused.
  Duration pauseFrom = std::chrono::seconds(1);
  /// Time after a pause in which announcements are ignored. They may have
  /// waited in the socket since the pause; a live target announces again.
  Duration settle = std::chrono::milliseconds(200);
};

/// Lease of the target beside this node, kept up by its announcements.
/// Not thread-safe; the owner locks.
///
/// Contract:
/// - The target announces itself about three times per lease length. The owner
///   passes each announcement on when it arrives, with the time of its arrival.
/// - Announce and Expire say whether the state has changed; the owner then
///   tells the callers. An unchanged announcement only renews the lease.
/// - State, Current and ReadyFor need no timer: they report Gone from the
///   moment the lease is overdue. Expire is needed to notice it for the callers
///   and to detect pauses, so it is called at least once a second.
/// - After a pause of the process the lease ends first, and announcements are
///   ignored for `settle`: they may have waited in the socket while the target
///   died. A live target is back with its next announcement.
/// - Only the latest announcement counts; another address is another target,
///   whose time as ready starts anew.
class TargetLease {
 public:
  explicit TargetLease(const TargetLeaseSettings& aSettings)
      : settings(aSettings) {}

  /// Applies an announcement. Returns whether the state has changed, which
  /// is to be pushed to the callers.
  bool Announce(const TargetAnnouncement& aAnnouncement, TimePoint aNow);

  /// Ends an overdue lease; returns whether it ended now. Call at least once
  /// a second, and first of all when a timer fires late.
  bool Expire(TimePoint aNow);

  /// State of the target; Gone if the lease is overdue, even if Expire has
  /// not been called yet.
  TargetState State(TimePoint aNow) const;
  /// Last announcement; nullptr while the target is gone.
  const TargetAnnouncement* Current(TimePoint aNow) const;
  /// How long the target has been ready without a break; nothing if it is
  /// not ready.
  std::optional<Duration> ReadyFor(TimePoint aNow) const;

 private:
  bool Overdue(TimePoint aNow) const;

  /// Times.
  TargetLeaseSettings settings;
  /// Last announcement while the lease runs.
  std::optional<TargetAnnouncement> current;
  /// Time of the last announcement.
  TimePoint renewedAt{};
  /// Time since which the target is ready.
  TimePoint readySince{};
  /// Announcements before this time are ignored.
  TimePoint trustedFrom{};
};

}  // namespace fescueline
