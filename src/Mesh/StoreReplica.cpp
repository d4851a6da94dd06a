#include "Mesh/StoreReplica.h"

#include <algorithm>

#include "Log/Log.h"

namespace fescueline {

namespace {
/// Number of nodes that follow the store for the fleet. Three, so that two may
/// fail at the same time.
constexpr size_t kPrimaryNodes = 3;
/// Age of the configuration above which a node confirms it by itself. Pongs
/// arrive every half second, and the age that they carry is about a second.
constexpr Duration kMaxConfigAge = std::chrono::milliseconds(2000);
/// Age of the member rows above which a node reads them by itself: longer than
/// a long poll of the primary nodes.
constexpr Duration kMaxMembersAge = std::chrono::seconds(12);
/// Time after the start in which a node expects its peers to send later changes
/// of rows. The first nodes of the fleet follow them at once.
constexpr Duration kStartupGrace = std::chrono::milliseconds(400);
/// Time after its first rows for which a node waits for the configuration. The
/// first nodes of the fleet read it at once.
constexpr Duration kConfigGrace = std::chrono::milliseconds(150);
/// Time over which changes of members are batched before the next call. Without
/// it, each node's row would need a call when a fleet starts.
constexpr Duration kMembersBatchTime = std::chrono::milliseconds(400);
/// Time for which a connected node may lack a row before the rows are read.
constexpr Duration kMaxUnknownTime = std::chrono::seconds(3);
/// Time after which the row of an unreachable node is removed. Longer than the
/// outages that a node recovers from, since a removed node has to write its row
/// again.
constexpr Duration kUnreachableFor = std::chrono::seconds(20);
/// Time after which further nodes remove a row that the first one did not.
constexpr Duration kRemovalBackup = std::chrono::seconds(5);
/// Time between two removals of the same row by one node.
constexpr Duration kRemovalPause = std::chrono::seconds(5);
}  // namespace

StoreReplica::StoreReplica(Settings aSettings)
    : settings(std::move(aSettings)),
      startTimer(this->settings.io),
      startedAt(SteadyClock().Now()),
      configSchedule(
          {.primaryMode = FollowMode::ShortPoll, .maxAge = kMaxConfigAge}),
      membersSchedule(
          {.primaryMode = FollowMode::LongPoll, .maxAge = kMaxMembersAge}),
      peerSync({.config = this->settings.config,
                .members = this->members,
                .tree = this->tree,
                .node = this->settings.node,
                .send = this->settings.send,
                .onConfig = this->settings.onConfig,
                .onMembers =
                    [this](const MemberChanges& aChanges) {
                      this->membersFollower.SkipTo(this->members.ReadUpTo());
                      this->OnMemberRows(aChanges.rows, aChanges.complete);
                    },
                .onMembersConfirmed =
                    [this](BootTime aMoment) {
                      this->membersConfirmedAt =
                          std::max(this->membersConfirmedAt, aMoment);
                      this->membersFollower.SkipTo(this->members.ReadUpTo());
                    }}),
      configFollower({.io = this->settings.io,
                      .store = this->settings.store,
                      .table = this->settings.configTable,
                      .mode = [this] { return this->ConfigMode(); },
                      .onCall = [this] { this->configSchedule.OnCall(); },
                      .onSnapshot =
                          [this](const std::vector<StoredRow>& aRows) {
                            this->OnConfigRows(aRows);
                          },
                      .onChanges =
                          [this](const std::vector<StoredRow>& aRows) {
                            this->OnConfigRows(aRows);
                          },
                      .onConfirmed =
                          [this](BootTime aMoment) {
                            this->settings.config.Confirm(aMoment);
                          }}),
      membersFollower({.io = this->settings.io,
                       .store = this->settings.store,
                       .table = std::string(kFleetTable),
                       .mode = [this] { return this->MembersMode(); },
                       .onCall = [this] { this->membersSchedule.OnCall(); },
                       .onSnapshot =
                           [this](const std::vector<StoredRow>& aRows) {
                             if (this->members.OnSnapshot(
                                     aRows, this->membersFollower.ReadUpTo())) {
                               this->OnMemberRows(aRows, true);
                             }
                           },
                       .onChanges =
                           [this](const std::vector<StoredRow>& aRows) {
                             this->members.OnChanges(
                                 aRows, this->membersFollower.ReadUpTo());
                             this->OnMemberRows(aRows, false);
                           },
                       .onConfirmed =
                           [this](BootTime aMoment) {
                             this->members.AdvanceTo(
                                 this->membersFollower.ReadUpTo());
                             this->membersConfirmedAt =
                                 std::max(this->membersConfirmedAt, aMoment);
                           },
                       .batchTime = kMembersBatchTime}) {}

void StoreReplica::Start() {
  this->configFollower.Start();
  this->membersFollower.Start();
}

void StoreReplica::Maintain() {
  this->UpdatePrimary();
  this->configFollower.Reconsider();
  this->membersFollower.Reconsider();
}

void StoreReplica::UpdatePrimary() {
  const bool isPrimary =
      this->settings.fleet.IsAmongFirst(this->settings.node, kPrimaryNodes);
  if (isPrimary != this->primary) {
    this->primary = isPrimary;
    Log(LogLevel::Info,
        isPrimary ? "follows the store for the fleet"
                  : "relies on peers for the store",
        {{"node", this->settings.node},
         {"peers", std::to_string(this->settings.fleet.ConnectedPeers())}});
  }
}

bool StoreReplica::AwaitsConfig(TimePoint aNow) const {
  if (this->settings.config.Current()) {
    return false;
  }
  if (!this->firstRowsAt) {
    return aNow - this->startedAt < kStartupGrace;
  }
  return aNow - *this->firstRowsAt < kConfigGrace &&
         !this->settings.fleet.IsAmongFirstMembers(this->settings.node,
                                                   kPrimaryNodes);
}

void StoreReplica::OnFirstRows() {
  this->firstRowsAt = SteadyClock().Now();
  this->startTimer.expires_after(kConfigGrace);
  this->startTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      this->Maintain();
    }
  });
}

FollowMode StoreReplica::ConfigMode() {
  const TimePoint now = SteadyClock().Now();
  const size_t peers = this->settings.fleet.ConnectedPeers();
  if (this->AwaitsConfig(now)) {
    return FollowMode::Idle;
  }
  return this->configSchedule.Mode(
      {.isPrimary = this->IsPrimary(),
       .age = this->settings.config.Age(BootClock::now()),
       .peers = peers},
      now, ThreadRandom());
}

FollowMode StoreReplica::MembersMode() {
  const TimePoint now = SteadyClock().Now();
  if (this->members.ReadUpTo() == 0) {
    return FollowMode::LongPoll;
  }
  const bool expectsChanges = now - this->startedAt < kStartupGrace &&
                              !this->settings.fleet.IsAmongFirstMembers(
                                  this->settings.node, kPrimaryNodes);
  if (expectsChanges) {
    return FollowMode::Idle;
  }
  return this->membersSchedule.Mode(
      {.isPrimary = !this->settings.isPublished() || this->IsPrimary(),
       .age = this->HasUnknownPeer() ? Duration::max() : this->MembersAge(),
       .peers = this->settings.fleet.ConnectedPeers()},
      now, ThreadRandom());
}

Duration StoreReplica::MembersAge() const {
  const BootTime now = BootClock::now();
  // While the store cannot be read at all, the configuration ages first.
  return this->settings.config.Age(now) > kMaxConfigAge
             ? Duration::max()
             : now - this->membersConfirmedAt;
}

bool StoreReplica::MembersAreCurrent() const {
  return this->members.ReadUpTo() > 0 && this->MembersAge() <= kMaxMembersAge;
}

bool StoreReplica::HasUnknownPeer() {
  const TimePoint now = SteadyClock().Now();
  std::map<std::string, TimePoint> unknown;
  bool overdue = false;
  for (const std::string& node : this->settings.connectedNodes()) {
    if (this->settings.fleet.HasMember(node)) {
      continue;
    }
    const auto found = this->unknownSince.find(node);
    const TimePoint since =
        found == this->unknownSince.end() ? now : found->second;
    unknown[node] = since;
    overdue = overdue || now - since > kMaxUnknownTime;
  }
  this->unknownSince = std::move(unknown);
  return overdue;
}

void StoreReplica::OnConfigRows(const std::vector<StoredRow>& aRows) {
  for (const StoredRow& row : aRows) {
    if (row.key == this->settings.configKey && !row.removed) {
      this->settings.onConfig(row.value, "store");
    }
  }
}

void StoreReplica::OnMemberRows(const std::vector<StoredRow>& aRows,
                                bool aSnapshot) {
  this->settings.onMembers(aRows, aSnapshot);
  this->tree.Build(this->settings.fleet.Nodes());
  if (!this->firstRowsAt) {
    this->OnFirstRows();
    this->configFollower.Reconsider();
  }
}

void StoreReplica::OnPeerConnected(const std::string& aNode) {
  this->peerSync.OnConnected(aNode, SteadyClock().Now());
}

void StoreReplica::OnPeerState(const std::string& aNode,
                               const StateWire& aState) {
  this->peerSync.OnState(aNode, aState, SteadyClock().Now());
}

void StoreReplica::OnPong(const StateWire& aState, TimePoint aPingSentAt) {
  this->peerSync.OnPong(aState, aPingSentAt, SteadyClock().Now());
}

bool StoreReplica::Announces(const std::string& aReceiver) const {
  const std::string& self = this->settings.node;
  return this->tree.IsChild(aReceiver, self) ||
         (this->tree.IsRoot(aReceiver) && this->IsPrimary());
}

void StoreReplica::Describe(const std::string& aReceiver,
                            StateWire& aState) const {
  // Nodes fall back on the primary nodes and the roots of the relay tree if
  // their parent is lost.
  const bool speaks = this->tree.IsRoot(this->settings.node) ||
                      this->tree.IsChild(aReceiver, this->settings.node) ||
                      this->IsPrimary();
  if (!speaks || this->members.ReadUpTo() == 0) {
    return;
  }
  aState.membersReadUpTo = this->members.ReadUpTo();
  aState.membersDigest = this->members.Digest();
  const Duration age = BootClock::now() - this->membersConfirmedAt;
  aState.membersAge =
      std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
}

std::vector<StoredRow> StoreReplica::RowsToRemove() {
  std::vector<StoredRow> rows;
  if (!this->MembersAreCurrent()) {
    return rows;
  }
  const TimePoint now = SteadyClock().Now();
  const MeshFleet& fleet = this->settings.fleet;
  const bool isFirst = fleet.IsAmongFirst(this->settings.node, 1);
  if (!isFirst && !this->IsPrimary()) {
    return rows;
  }
  std::map<std::string, TimePoint> sent;
  for (StoredRow& row : fleet.Unreachable(
           now, isFirst ? kUnreachableFor : kUnreachableFor + kRemovalBackup)) {
    const auto found = this->removalSentAt.find(row.key);
    const bool recent = found != this->removalSentAt.end() &&
                        now - found->second < kRemovalPause;
    sent[row.key] = recent ? found->second : now;
    if (!recent) {
      rows.push_back(std::move(row));
    }
  }
  this->removalSentAt = std::move(sent);
  return rows;
}

}  // namespace fescueline
