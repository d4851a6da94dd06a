#include "Mesh/MeshFleet.h"

#include <algorithm>
#include <set>
#include <utility>

#include "Log/Log.h"

namespace fescueline {

namespace {
/// Shortest and longest backoff between connection attempts to a node.
constexpr Duration kFirstDialPause = std::chrono::milliseconds(100);
constexpr Duration kLongestDialPause = std::chrono::seconds(2);
/// Age of a connection attempt above which it is restarted when the other node
/// shows that it runs. The SYN of an older attempt may have been lost while the
/// host was unreachable, and is retransmitted only after a second.
constexpr Duration kStaleDial = std::chrono::milliseconds(50);

/// Number of members above which unused connections are checked less often:
/// their number grows with the fleet, and each is used less.
constexpr size_t kLargeFleet = 32;
constexpr Duration kPingPeriod = std::chrono::milliseconds(500);
constexpr Duration kLargeFleetPingPeriod = std::chrono::milliseconds(1000);

std::string NodeOf(const std::string& aKey) {
  return aKey.starts_with(kMeshMemberPrefix)
             ? aKey.substr(kMeshMemberPrefix.size())
             : std::string();
}
}  // namespace

MeshFleet::MeshFleet(Settings aSettings)
    : settings(std::move(aSettings)),
      table(this->settings.table),
      picker(this->table, this->settings.picker),
      dialTimer(this->settings.io) {}

void MeshFleet::OnSnapshot(const std::vector<StoredRow>& aRows) {
  std::set<std::string> present;
  for (const StoredRow& row : aRows) {
    present.insert(NodeOf(row.key));
    this->Apply(row);
  }
  std::vector<std::string> gone;
  for (const auto& [node, member] : this->members) {
    if (!present.contains(node)) {
      gone.push_back(node);
    }
  }
  for (const std::string& node : gone) {
    this->Remove(node);
  }
}

void MeshFleet::OnChanges(const std::vector<StoredRow>& aRows) {
  for (const StoredRow& row : aRows) {
    this->Apply(row);
  }
}

void MeshFleet::Apply(const StoredRow& aRow) {
  const std::string node = NodeOf(aRow.key);
  if (node.empty()) {
    return;
  }
  const auto known = this->members.find(node);
  if (known != this->members.end() && aRow.version <= known->second.version) {
    return;
  }
  if (aRow.removed) {
    this->Remove(node);
    return;
  }
  const auto record = DecodeMeshMember(aRow.value);
  if (!record || record->node != node) {
    Log(LogLevel::Warning, "member row ignored", {{"key", aRow.key}});
    return;
  }
  Member& member = this->members[node];
  const bool changed = !(member.record == *record);
  member.record = *record;
  member.version = aRow.version;
  member.rank = RankOf(node);
  if (!changed) {
    return;
  }
  Log(LogLevel::Info, "member joined",
      {{"node", node},
       {"incarnation", record->incarnation.ToString()},
       {"service", record->service},
       {"row_version", std::to_string(aRow.version)}});
  if (member.client &&
      member.client->RemoteIncarnation() == record->incarnation.ToString()) {
    // The connection already leads to the new process, which has the address of
    // the earlier one.
    return;
  }
  if (member.client) {
    // The earlier process may still serve requests until its planned stop ends.
    member.client->CloseWhenIdle("node has a new incarnation");
    member.client = nullptr;
  }
  member.pause = kFirstDialPause;
  member.lastContact = SteadyClock().Now();
  this->Dial(member, SteadyClock().Now());
}

void MeshFleet::Remove(const std::string& aNode) {
  const auto found = this->members.find(aNode);
  if (found == this->members.end()) {
    return;
  }
  Log(LogLevel::Info, "member left", {{"node", aNode}});
  if (found->second.client) {
    // A stopping node removes its row before its last responses are sent.
    found->second.client->CloseWhenIdle("member left");
  }
  if (const auto target = this->table.Find(aNode)) {
    this->table.Remove(*target);
  }
  this->members.erase(found);
}

void MeshFleet::Dial(Member& aMember, TimePoint aNow) {
  const std::string node = aMember.record.node;
  aMember.dialledAt = aNow;
  aMember.nextDial = aNow + aMember.pause;
  aMember.pause = std::min(kLongestDialPause, aMember.pause * 2);
  const auto holder = std::make_shared<std::weak_ptr<PeerClient>>();
  // A connection that closes when idle says nothing about the member any more.
  const auto isCurrent = [this, node, holder] {
    const auto found = this->members.find(node);
    return found != this->members.end() && found->second.client &&
           found->second.client == holder->lock();
  };
  aMember.client = std::make_shared<PeerClient>(PeerClient::Settings{
      .io = this->settings.io,
      .self = this->settings.self,
      .address = {.nodeId = node,
                  .host = aMember.record.peers.host,
                  .port = aMember.record.peers.port},
      .connectTimeout = std::chrono::milliseconds(500),
      .quietPingPeriod = this->members.size() > kLargeFleet
                             ? kLargeFleetPingPeriod
                             : kPingPeriod,
      .onState =
          [this, node, isCurrent](const StateWire& aState,
                                  const std::string& aIncarnation) {
            if (isCurrent()) {
              this->OnState(node, aState, aIncarnation);
              this->settings.onState(node, aState);
            }
          },
      .onPong =
          [this, node, isCurrent](const StateWire& aState,
                                  TimePoint aPingSentAt) {
            if (isCurrent()) {
              this->settings.onPong(node, aState, aPingSentAt);
            }
          },
      .onMessage =
          [this, node, isCurrent](const DecodedFrame& aFrame) {
            if (isCurrent()) {
              this->settings.onMessage(node, aFrame);
            }
          },
      .onClosed =
          [this, node, holder](const std::string& aReason) {
            this->OnClosed(node, holder->lock(), aReason);
          }});
  *holder = aMember.client;
  aMember.client->Start();
}

void MeshFleet::OnState(const std::string& aNode, const StateWire& aState,
                        const std::string& aIncarnation) {
  const auto found = this->members.find(aNode);
  if (found == this->members.end()) {
    return;
  }
  const TimePoint now = SteadyClock().Now();
  Member& member = found->second;
  member.lastContact = now;
  member.refused = false;
  member.pause = kFirstDialPause;
  const auto incarnation = Id128::Parse(aIncarnation);
  if (!incarnation) {
    return;
  }
  const TargetRef target =
      this->table.Upsert({.node = aNode,
                          .incarnation = *incarnation,
                          .service = aState.service,
                          .dataCentre = member.record.dataCentre,
                          .region = member.record.region,
                          .capacity = std::max(1U, aState.limit)});
  this->table.OnReport(
      target,
      {.state = static_cast<TargetState>(aState.state),
       .load = aState.load,
       .capacity = aState.limit,
       .failureRate =
           std::min(1.0, aState.failureRate / StateWire::kFailureRateUnits)},
      now);
}

void MeshFleet::OnClosed(const std::string& aNode, const ClientPtr& aClient,
                         const std::string& aReason) {
  const auto found = this->members.find(aNode);
  if (found == this->members.end() || found->second.client != aClient) {
    return;
  }
  found->second.refused = aClient && aClient->WasRefused();
  found->second.client = nullptr;
  if (const auto target = this->table.Find(aNode)) {
    const auto* state = this->table.Get(*target);
    if (state != nullptr && state->list != TargetList::Unusable) {
      Log(LogLevel::Warning, "peer lost",
          {{"node", aNode}, {"reason", aReason}});
    }
    this->table.OnUnreachable(*target);
  }
  this->DialDue();
}

void MeshFleet::OnPeerUp(const std::string& aNode) {
  const auto found = this->members.find(aNode);
  if (found == this->members.end()) {
    return;
  }
  Member& member = found->second;
  const TimePoint now = SteadyClock().Now();
  const bool connected = member.client && member.client->IsReady();
  if (connected || now - member.dialledAt < kStaleDial) {
    return;
  }
  if (member.client) {
    const ClientPtr stale = std::exchange(member.client, nullptr);
    stale->Close("connection attempt restarted");
  }
  member.pause = kFirstDialPause;
  this->Dial(member, now);
}

void MeshFleet::DialDue() {
  const TimePoint now = SteadyClock().Now();
  TimePoint next = TimePoint::max();
  for (auto& [node, member] : this->members) {
    if (member.client) {
      continue;
    }
    if (now >= member.nextDial) {
      this->Dial(member, now);
    } else {
      next = std::min(next, member.nextDial);
    }
  }
  if (next == TimePoint::max()) {
    return;
  }
  this->dialTimer.expires_at(next);
  this->dialTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      this->DialDue();
    }
  });
}

void MeshFleet::Tick(TimePoint aNow) { this->table.Tick(aNow); }

std::optional<MeshFleet::Choice> MeshFleet::Pick(
    const std::string& aService, const std::vector<TargetRef>& aTried,
    TimePoint aNow) {
  const auto target = this->picker.Pick(aService, aTried, aNow, ThreadRandom());
  if (!target) {
    return std::nullopt;
  }
  const std::string& node = this->table.Info(*target)->node;
  ClientPtr client = this->ClientOf(node);
  if (!client) {
    return std::nullopt;
  }
  return Choice{.target = *target, .client = std::move(client), .node = node};
}

template <typename F>
bool MeshFleet::IsAmongFirstOf(const std::string& aNode, size_t aCount,
                               F aPredicate) const {
  const uint64_t own = RankOf(aNode);
  size_t before = 0;
  for (const auto& [node, member] : this->members) {
    before += member.rank < own && aPredicate(node, member) ? 1 : 0;
  }
  return before < aCount;
}

bool MeshFleet::IsAmongFirst(const std::string& aNode, size_t aCount) const {
  return this->IsAmongFirstOf(aNode, aCount,
                              [](const std::string&, const Member& aMember) {
                                return IsConnected(aMember);
                              });
}

bool MeshFleet::IsAmongFirstMembers(const std::string& aNode,
                                    size_t aCount) const {
  return this->IsAmongFirstOf(
      aNode, aCount, [](const std::string&, const Member&) { return true; });
}

bool MeshFleet::IsAmongFirstReady(const std::string& aNode,
                                  size_t aCount) const {
  return this->IsAmongFirstOf(
      aNode, aCount, [this](const std::string& aOther, const Member& aMember) {
        return IsConnected(aMember) && this->IsReady(aOther);
      });
}

std::vector<RelayTree::Node> MeshFleet::Nodes() const {
  std::vector<RelayTree::Node> nodes;
  nodes.reserve(this->members.size());
  for (const auto& [node, member] : this->members) {
    nodes.push_back({.name = node, .dataCentre = member.record.dataCentre});
  }
  return nodes;
}

size_t MeshFleet::ConnectedPeers() const {
  return static_cast<size_t>(std::count_if(
      this->members.begin(), this->members.end(), [this](const auto& aEntry) {
        return aEntry.first != this->settings.self.nodeId &&
               IsConnected(aEntry.second);
      }));
}

bool MeshFleet::IsReady(const std::string& aNode) const {
  const auto target = this->table.Find(aNode);
  const auto* known = target ? this->table.Get(*target) : nullptr;
  return known != nullptr && known->state == TargetState::Ready &&
         known->lastReport.has_value();
}

size_t MeshFleet::UsableTargets() const {
  size_t count = 0;
  for (const auto& [node, member] : this->members) {
    count += this->IsReady(node) ? 1 : 0;
  }
  return count;
}

MeshFleet::ClientPtr MeshFleet::ClientOf(const std::string& aNode) const {
  const auto found = this->members.find(aNode);
  if (found == this->members.end() || !found->second.client ||
      found->second.client->IsClosed()) {
    return nullptr;
  }
  return found->second.client;
}

bool MeshFleet::IsDown(const std::string& aNode) const {
  const auto found = this->members.find(aNode);
  return found != this->members.end() && found->second.refused;
}

std::vector<StoredRow> MeshFleet::Unreachable(TimePoint aNow,
                                              Duration aFor) const {
  std::vector<StoredRow> rows;
  for (const auto& [node, member] : this->members) {
    if (aNow - member.lastContact > aFor) {
      rows.push_back({.key = std::string(kMeshMemberPrefix) + node,
                      .value = {},
                      .version = member.version,
                      .removed = false});
    }
  }
  return rows;
}

void MeshFleet::CloseAll() {
  for (auto& [node, member] : this->members) {
    if (member.client) {
      member.client->Close("node stops");
    }
  }
}

}  // namespace fescueline
