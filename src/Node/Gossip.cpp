#include "Node/Gossip.h"

#include <algorithm>

namespace fescueline {

namespace {
/// Peers that a node pulls from in one period; bounds its connections.
constexpr size_t kPullPeers = 8;
constexpr Duration kPullPeerPeriod = std::chrono::seconds(10);
/// Records sent in one reply; about 64 KiB.
constexpr size_t kChangesPerReply = 200;
/// Unanswered requests are dropped after this time.
constexpr Duration kRequestLifetime = std::chrono::seconds(2);
/// Fraction of the freshness limit from which vouchers are asked; until then
/// table reads and relays suffice.
constexpr double kVouchAgeShare = 0.4;
/// Vouchers are asked at least this long before the freshness limit. The time
/// suffices for four requests, as replies may be lost or late whatever the
/// limit is.
constexpr Duration kVouchMargin = std::chrono::seconds(1);

/// Age of the configuration from which vouchers are asked.
Duration VouchAge(Duration aLimit) {
  return std::min(FromSeconds(kVouchAgeShare * ToSeconds(aLimit)),
                  aLimit - kVouchMargin);
}

template <typename Map, typename GetTime>
void EraseExpired(Map& aMap, TimePoint aNow, GetTime aGetTime) {
  std::erase_if(aMap, [&](const auto& aEntry) {
    return aNow - aGetTime(aEntry.second) > kRequestLifetime;
  });
}
}  // namespace

VoucherSet VouchersOf(const ConfigSnapshot& aSnapshot) {
  return {aSnapshot.Vouchers().version, aSnapshot.Vouchers().nodes};
}

VoucherSet PreviousVouchersOf(const ConfigSnapshot& aSnapshot) {
  return {0, aSnapshot.Vouchers().previous};
}

std::string ControlUrlOf(const ConfigSnapshot& aSnapshot,
                         const std::string& aNode) {
  const auto* member = aSnapshot.Members().Find(aNode);
  return member == nullptr ? "" : "tcp://" + member->record.controlAddress;
}

Gossip::Gossip(Settings aSettings) : settings(std::move(aSettings)) {}

void Gossip::Tick(TimePoint aNow) {
  const std::string peer = this->RandomPeer();
  if (!peer.empty()) {
    this->PullFrom(peer, aNow);
  }
  const auto age = this->settings.freshness.Age(aNow);
  if (!age || *age > VouchAge(this->settings.freshnessLimit)) {
    this->RequestVouches(VouchersOf(*this->settings.config.Snapshot()), aNow);
  }
  const std::lock_guard lock(this->mutex);
  EraseExpired(this->pulls, aNow, [](TimePoint aSentAt) { return aSentAt; });
  EraseExpired(this->openRequests, aNow,
               [](const OpenRequest& aRequest) { return aRequest.sentAt; });
}

std::string Gossip::RandomPeer() {
  const auto snapshot = this->settings.config.Snapshot();
  const auto& members = snapshot->Members().Items();
  const TimePoint now = SteadyClock().Now();
  const std::lock_guard lock(this->mutex);
  if (now >= this->pullPeersUntil || this->pullPeers.empty()) {
    this->pullPeers.clear();
    this->pullPeersUntil = now + kPullPeerPeriod;
    for (size_t i = 0; i < kPullPeers && !members.empty(); ++i) {
      const auto& member = members[this->random.NextBelow(members.size())];
      if (member->name != this->settings.self.nodeId) {
        this->pullPeers.push_back("tcp://" + member->record.controlAddress);
      }
    }
    if (this->pullPeers.empty()) {
      this->pullPeers = this->settings.seeds;
    }
  }
  return this->pullPeers.empty()
             ? ""
             : this->pullPeers[this->random.NextBelow(this->pullPeers.size())];
}

void Gossip::PullFrom(const std::string& aUrl, TimePoint aNow) {
  PullWire pull{.requestId = 0, .version = this->settings.config.Version()};
  {
    const std::lock_guard lock(this->mutex);
    pull.requestId = this->nextRequestId++;
    this->pulls[pull.requestId] = aNow;
  }
  this->settings.send(aUrl, ControlKind::Pull, EncodePayload(pull));
}

void Gossip::RequestVouches(const VoucherSet& aSet, TimePoint aNow) {
  const auto snapshot = this->settings.config.Snapshot();
  VouchRequestWire request{.requestId = 0, .version = snapshot->Version()};
  VouchTally tally(aSet, aNow);
  tally.Add({.node = this->settings.self.nodeId,
             .version = snapshot->Version(),
             .eligible = this->settings.freshness.MayVouch()});
  {
    const std::lock_guard lock(this->mutex);
    request.requestId = this->nextRequestId++;
    this->openRequests.emplace(request.requestId,
                               OpenRequest{.tally = tally, .sentAt = aNow});
  }
  this->Renew(tally);
  const std::string payload = EncodePayload(request);
  for (const std::string& node : aSet.Members()) {
    const std::string url = ControlUrlOf(*snapshot, node);
    if (node != this->settings.self.nodeId && !url.empty()) {
      this->settings.send(url, ControlKind::VouchRequest, payload);
    }
  }
}

void Gossip::Receive(const ControlMessage& aMessage, TimePoint aNow) {
  {
    const std::lock_guard lock(this->mutex);
    this->lastContact[aMessage.sender] = aNow;
  }
  switch (static_cast<ControlKind>(aMessage.kind)) {
    case ControlKind::Pull:
      if (const auto pull = DecodePayload<PullWire>(aMessage.payload)) {
        this->OnPull(aMessage, *pull, aNow);
      }
      break;
    case ControlKind::PullReply:
      if (auto reply = DecodePayload<PullReplyWire>(aMessage.payload)) {
        this->OnPullReply(aMessage, std::move(*reply), aNow);
      }
      break;
    case ControlKind::VouchRequest:
      if (const auto request =
              DecodePayload<VouchRequestWire>(aMessage.payload)) {
        this->OnVouchRequest(aMessage, *request);
      }
      break;
    case ControlKind::VouchReply:
      if (const auto reply = DecodePayload<VouchReplyWire>(aMessage.payload)) {
        this->OnVouchReply(aMessage, *reply, aNow);
      }
      break;
    default:
      break;
  }
}

void Gossip::OnPull(const ControlMessage& aMessage, const PullWire& aPull,
                    TimePoint aNow) {
  PullReplyWire reply;
  reply.requestId = aPull.requestId;
  // Read before the changes, so that the changes include the version.
  if (const auto relay = this->settings.freshness.Relay(aNow)) {
    reply.fresh = true;
    reply.version = relay->version;
    reply.age =
        std::chrono::duration_cast<std::chrono::microseconds>(relay->age)
            .count() +
        1;
  }
  if (this->settings.config.Version() > aPull.version) {
    const TableChanges changes =
        this->settings.config.ChangesSince(aPull.version, kChangesPerReply);
    reply.changesVersion = changes.version;
    reply.changes = ToWire(changes.records);
  }
  this->settings.send(aMessage.replyUrl, ControlKind::PullReply,
                      EncodePayload(reply));
}

void Gossip::OnPullReply(const ControlMessage& aMessage, PullReplyWire aReply,
                         TimePoint aNow) {
  TimePoint sentAt;
  {
    const std::lock_guard lock(this->mutex);
    const auto pull = this->pulls.find(aReply.requestId);
    if (pull == this->pulls.end()) {
      return;  // duplicated or too late
    }
    sentAt = pull->second;
    this->pulls.erase(pull);
  }
  const bool more =
      !aReply.changes.empty() && aReply.changesVersion < aReply.version;
  if (!aReply.changes.empty()) {
    this->settings.sync.Apply({.version = aReply.changesVersion,
                               .records = FromWire(std::move(aReply.changes)),
                               .more = more});
  }
  if (aReply.fresh) {
    this->settings.freshness.RenewByRelay(
        {.version = aReply.version,
         .age = std::chrono::microseconds(aReply.age)},
        sentAt, this->settings.config.Version());
  }
  if (more) {
    this->PullFrom(aMessage.replyUrl, aNow);
  }
}

void Gossip::OnVouchRequest(const ControlMessage& aMessage,
                            const VouchRequestWire& aRequest) {
  const VouchReplyWire reply{.requestId = aRequest.requestId,
                             .version = this->settings.config.Version(),
                             .eligible = this->settings.freshness.MayVouch()};
  this->settings.send(aMessage.replyUrl, ControlKind::VouchReply,
                      EncodePayload(reply));
  if (aRequest.version > reply.version) {
    this->PullFrom(aMessage.replyUrl, SteadyClock().Now());
  }
}

void Gossip::OnVouchReply(const ControlMessage& aMessage,
                          const VouchReplyWire& aReply, TimePoint aNow) {
  std::optional<VouchTally> tally;
  {
    const std::lock_guard lock(this->mutex);
    const auto request = this->openRequests.find(aReply.requestId);
    if (request == this->openRequests.end()) {
      return;
    }
    request->second.tally.Add({.node = aMessage.sender,
                               .version = aReply.version,
                               .eligible = aReply.eligible});
    tally = request->second.tally;
    for (PendingChange& change : this->pendingChanges) {
      if (change.wait) {
        change.wait->OnResponse(aMessage.sender, aMessage.incarnation,
                                aReply.version, request->second.sentAt, aNow);
      }
    }
  }
  this->Renew(*tally);
  if (aReply.version > this->settings.config.Version()) {
    this->PullFrom(aMessage.replyUrl, aNow);
  }
}

void Gossip::Renew(const VouchTally& aTally) {
  if (aTally.Majority()) {
    const auto snapshot = this->settings.config.Snapshot();
    this->settings.freshness.RenewByVouches(aTally, VouchersOf(*snapshot),
                                            snapshot->Version());
  }
}

void Gossip::AwaitAcceptance(uint64_t aVersion,
                             std::function<void()> aAccepted) {
  {
    const std::lock_guard lock(this->mutex);
    this->pendingChanges.push_back({.version = aVersion,
                                    .onAccepted = std::move(aAccepted),
                                    .wait = std::nullopt});
  }
  this->TickAcceptance(SteadyClock().Now());
}

void Gossip::CreateWait(PendingChange& aChange,
                        const ConfigSnapshot& aSnapshot) const {
  const VoucherSet current = VouchersOf(aSnapshot);
  if (aChange.wait || aSnapshot.Version() < aChange.version ||
      current.Members().empty()) {
    return;
  }
  std::vector<VoucherSet> sets = {current};
  const VoucherSet previous = PreviousVouchersOf(aSnapshot);
  if (!previous.Members().empty()) {
    sets.push_back(previous);
  }
  aChange.wait.emplace(aChange.version, std::move(sets),
                       this->settings.freshnessLimit);
}

void Gossip::TickAcceptance(TimePoint aNow) {
  const auto snapshot = this->settings.config.Snapshot();
  std::vector<std::function<void()>> accepted;
  bool needsVouches = false;
  {
    const std::lock_guard lock(this->mutex);
    for (auto entry = this->pendingChanges.begin();
         entry != this->pendingChanges.end();) {
      this->CreateWait(*entry, *snapshot);
      if (!entry->wait) {
        ++entry;
        continue;
      }
      // This node's own acknowledgement counts only if the node is in a set.
      entry->wait->OnResponse(this->settings.self.nodeId,
                              this->settings.self.incarnation,
                              snapshot->Version(), aNow, aNow);
      if (entry->wait->IsAccepted(aNow)) {
        accepted.push_back(std::move(entry->onAccepted));
        entry = this->pendingChanges.erase(entry);
        continue;
      }
      needsVouches = needsVouches || !entry->wait->MajorityAt();
      ++entry;
    }
  }
  if (needsVouches) {
    this->RequestVouches(VouchersOf(*snapshot), aNow);
    const VoucherSet previous = PreviousVouchersOf(*snapshot);
    if (!previous.Members().empty()) {
      this->RequestVouches(previous, aNow);
    }
  }
  for (const auto& onAccepted : accepted) {
    onAccepted();
  }
}

std::optional<TimePoint> Gossip::LastContact(const std::string& aNode) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->lastContact.find(aNode);
  if (found == this->lastContact.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace fescueline
