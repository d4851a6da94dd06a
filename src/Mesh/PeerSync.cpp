#include "Mesh/PeerSync.h"

#include <algorithm>

#include "Log/Log.h"

namespace fescueline {

namespace {
/// Time after which a request counts as lost.
constexpr Duration kRequestTimeout = std::chrono::milliseconds(500);
/// Time that a node waits for its parent before it requests a change from
/// another peer.
constexpr Duration kParentTimeout = std::chrono::milliseconds(300);
/// Minimum time between two requests for rows alone. Rows change in quick
/// succession while a fleet starts.
constexpr Duration kRowsInterval = std::chrono::milliseconds(200);
/// Maximum number of complete tables that a node sends in a period, which
/// bounds the memory for its replies. Other requests get no reply and are
/// repeated.
constexpr Duration kReplyPeriod = std::chrono::milliseconds(250);
constexpr size_t kMaxCompleteReplies = 2 * RelayTree::kFanOut;
/// Maximum number of rows in one frame.
constexpr size_t kMaxRowsPerFrame = 400;

int64_t Microseconds(Duration aAge) {
  return aAge == Duration::max()
             ? -1
             : std::chrono::duration_cast<std::chrono::microseconds>(aAge)
                   .count();
}
}  // namespace

bool PeerSync::IsNewer(const StateWire& aState, TimePoint aNow) const {
  if (aState.configVersion > this->settings.config.Version()) {
    return true;
  }
  const bool recent = this->rowsAt && aNow - *this->rowsAt < kRowsInterval;
  return !recent &&
         aState.membersReadUpTo > this->settings.members.ReadUpTo() &&
         aState.membersDigest != this->settings.members.Digest();
}

bool PeerSync::MaySendComplete(TimePoint aNow) {
  if (aNow - this->repliesSince > kReplyPeriod) {
    this->repliesSince = aNow;
    this->completeReplies = 0;
  }
  return ++this->completeReplies <= kMaxCompleteReplies;
}

void PeerSync::OnConnected(const std::string& aNode, TimePoint aNow) {
  if (this->settings.config.Version() == 0 ||
      this->settings.members.Size() == 0) {
    this->Request(aNode, aNow, false);
  }
}

void PeerSync::OnState(const std::string& aNode, const StateWire& aState,
                       TimePoint aNow) {
  if (!this->IsNewer(aState, aNow)) {
    return;
  }
  this->lackingSince = this->lackingSince.value_or(aNow);
  const bool hasConfig = aState.configVersion > 0;
  if (hasConfig && this->settings.config.Version() == 0 && this->pending &&
      !this->pending->hasConfig) {
    // The peer that was asked first may have no configuration either.
    this->pending.reset();
  }
  if (this->MayRequest(aNode, aNow)) {
    this->Request(aNode, aNow, hasConfig);
  }
}

bool PeerSync::MayRequest(const std::string& aNode, TimePoint aNow) {
  const std::string& parent = this->settings.tree.ParentOf(this->settings.node);
  return parent.empty() || aNode == parent ||
         this->settings.config.Version() == 0 ||
         aNow - *this->lackingSince >= kParentTimeout;
}

void PeerSync::Request(const std::string& aNode, TimePoint aNow,
                       bool aHasConfig) {
  if (this->pending && aNow - this->pending->sentAt < kRequestTimeout) {
    return;
  }
  const bool sent = this->settings.send(
      aNode, {.configVersion = this->settings.config.Version(),
              .wantsReply = true,
              .since = this->settings.members.ReadUpTo()});
  if (sent) {
    this->pending = Pending{.node = aNode,
                            .sentAt = aNow,
                            .bootSentAt = BootClock::now(),
                            .hasConfig = aHasConfig,
                            .changes = {}};
  }
}

void PeerSync::OnPong(const StateWire& aState, TimePoint aPingSentAt,
                      TimePoint aNow) {
  // The boot clock advances at least as much as the steady clock.
  const BootTime sentAt = BootClock::now() - (aNow - aPingSentAt);
  if (aState.configAge >= 0) {
    this->settings.config.ConfirmByPeer(
        aState.configVersion, sentAt,
        std::chrono::microseconds(aState.configAge));
  }
  const bool sameMembers =
      aState.membersReadUpTo > 0 &&
      aState.membersDigest == this->settings.members.Digest();
  if (sameMembers) {
    this->settings.members.AdvanceTo(aState.membersReadUpTo);
    if (aState.membersAge >= 0) {
      this->settings.onMembersConfirmed(
          sentAt - std::chrono::milliseconds(aState.membersAge));
    }
  }
}

void PeerSync::OnFrame(const std::string& aNode, const PeerSyncFrame& aFrame) {
  if (aFrame.wantsReply) {
    this->Reply(aNode, aFrame);
    return;
  }
  if (!aFrame.config.empty()) {
    this->settings.onConfig(aFrame.config, aNode);
  }
  if (this->pending && this->pending->node == aNode) {
    this->OnRows(aFrame);
  }
}

void PeerSync::Reply(const std::string& aNode, const PeerSyncFrame& aRequest) {
  const ConfigHolder& config = this->settings.config;
  const bool newerConfig = config.Version() > aRequest.configVersion;
  MemberChanges changes;
  if (this->settings.members.ReadUpTo() > aRequest.since) {
    changes = this->settings.members.Since(aRequest.since);
    if (changes.complete && !this->MaySendComplete(SteadyClock().Now())) {
      changes = {};
    }
  }
  // Sent without content, too, so that the receiver can ask another peer.
  PeerSyncFrame frame{.configVersion = config.Version(),
                      .config = newerConfig ? config.Stored() : std::string(),
                      .since = changes.since,
                      .readUpTo = changes.readUpTo,
                      .complete = changes.complete,
                      .configAge = Microseconds(config.Age(BootClock::now())),
                      .digest = this->settings.members.Digest()};
  for (size_t begin = 0; begin == 0 || begin < changes.rows.size();
       begin += kMaxRowsPerFrame) {
    const size_t end = std::min(changes.rows.size(), begin + kMaxRowsPerFrame);
    frame.rows.clear();
    for (size_t i = begin; i < end; ++i) {
      const StoredRow& row = changes.rows[i];
      frame.rows.push_back({.key = row.key,
                            .value = row.value,
                            .version = row.version,
                            .removed = row.removed});
    }
    frame.more = end < changes.rows.size();
    this->settings.send(aNode, frame);
    frame.config.clear();
  }
}

void PeerSync::Confirm(const PeerSyncFrame& aFrame) {
  if (aFrame.configAge >= 0) {
    this->settings.config.ConfirmByPeer(
        aFrame.configVersion, this->pending->bootSentAt,
        std::chrono::microseconds(aFrame.configAge));
  }
}

void PeerSync::OnRows(const PeerSyncFrame& aFrame) {
  MemberChanges& changes = this->pending->changes;
  for (const FleetRowWire& row : aFrame.rows) {
    changes.rows.push_back({.key = row.key,
                            .value = row.value,
                            .version = row.version,
                            .removed = row.removed});
  }
  if (aFrame.more) {
    return;
  }
  changes.since = aFrame.since;
  changes.readUpTo = aFrame.readUpTo;
  changes.complete = aFrame.complete;
  this->Confirm(aFrame);
  const MemberChanges received = std::move(changes);
  this->rowsAt = this->pending->sentAt;
  this->pending.reset();
  this->lackingSince.reset();
  if (this->settings.members.Apply(received)) {
    this->settings.onMembers(received);
    MemberTable& members = this->settings.members;
    const bool differs = members.ReadUpTo() == aFrame.readUpTo &&
                         members.Digest() != aFrame.digest;
    if (differs) {
      Log(LogLevel::Warning, "member rows differ from those of a peer",
          {{"read_up_to", std::to_string(aFrame.readUpTo)}});
      members.Distrust();
    }
  }
}

}  // namespace fescueline
