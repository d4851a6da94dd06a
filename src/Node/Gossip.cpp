#include "Node/Gossip.h"

#include <algorithm>

namespace fescueline {

namespace {
/// Peers that a node pulls from in one period; bounds its connections.
constexpr size_t kPartners = 8;
constexpr Duration kPartnerPeriod = std::chrono::seconds(10);
/// Records sent in one reply; about 64 KiB.
constexpr size_t kChangesPerReply = 200;
/// Unanswered requests are dropped after this time.
constexpr Duration kQuestionLifetime = std::chrono::seconds(2);
/// Share of the freshness limit from which vouchers are asked; until then table
/// reads and relays suffice.
constexpr double kVouchFromAge = 0.4;
/// Vouchers are asked at least this long before the freshness limit. The time
/// suffices for four requests, as replies may be lost or late whatever the
/// limit is.
constexpr Duration kVouchLead = std::chrono::seconds(1);

/// Age of the configuration from which vouchers are asked.
Duration VouchFrom(Duration aLimit) {
  return std::min(FromSeconds(kVouchFromAge * ToSeconds(aLimit)),
                  aLimit - kVouchLead);
}

template <typename Map, typename GetTime>
void DropOld(Map& aMap, TimePoint aNow, GetTime aGetTime) {
  std::erase_if(aMap, [&](const auto& aEntry) {
    return aNow - aGetTime(aEntry.second) > kQuestionLifetime;
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
  const auto age = this->settings.knowledge.Age(aNow);
  if (!age || *age > VouchFrom(this->settings.freshnessLimit)) {
    this->AskVouchers(VouchersOf(*this->settings.config.Snapshot()), aNow);
  }
  const std::lock_guard lock(this->mutex);
  DropOld(this->pulls, aNow, [](TimePoint aAskedAt) { return aAskedAt; });
  DropOld(this->questions, aNow,
          [](const Question& aQuestion) { return aQuestion.askedAt; });
}

std::string Gossip::RandomPeer() {
  const auto snapshot = this->settings.config.Snapshot();
  const auto& members = snapshot->Members().Items();
  const TimePoint now = SteadyClock().Now();
  const std::lock_guard lock(this->mutex);
  if (now >= this->partnersUntil || this->partners.empty()) {
    this->partners.clear();
    this->partnersUntil = now + kPartnerPeriod;
    for (size_t i = 0; i < kPartners && !members.empty(); ++i) {
      const auto& member = members[this->random.Below(members.size())];
      if (member->name != this->settings.self.nodeId) {
        this->partners.push_back("tcp://" + member->record.controlAddress);
      }
    }
    if (this->partners.empty()) {
      this->partners = this->settings.seeds;
    }
  }
  return this->partners.empty()
             ? ""
             : this->partners[this->random.Below(this->partners.size())];
}

void Gossip::PullFrom(const std::string& aUrl, TimePoint aNow) {
  PullWire pull{.question = 0, .version = this->settings.config.Version()};
  {
    const std::lock_guard lock(this->mutex);
    pull.question = this->nextQuestion++;
    this->pulls[pull.question] = aNow;
  }
  this->settings.send(aUrl, ControlKind::Pull, EncodePayload(pull));
}

void Gossip::AskVouchers(const VoucherSet& aSet, TimePoint aNow) {
  const auto snapshot = this->settings.config.Snapshot();
  VouchAskWire ask{.question = 0, .version = snapshot->Version()};
  VouchTally tally(aSet, aNow);
  tally.Add({.node = this->settings.self.nodeId,
             .version = snapshot->Version(),
             .eligible = this->settings.knowledge.MayVouch()});
  {
    const std::lock_guard lock(this->mutex);
    ask.question = this->nextQuestion++;
    this->questions.emplace(ask.question,
                            Question{.tally = tally, .askedAt = aNow});
  }
  this->Renew(tally);
  const std::string payload = EncodePayload(ask);
  for (const std::string& node : aSet.Members()) {
    const std::string url = ControlUrlOf(*snapshot, node);
    if (node != this->settings.self.nodeId && !url.empty()) {
      this->settings.send(url, ControlKind::VouchAsk, payload);
    }
  }
}

void Gossip::Receive(const ControlMessage& aMessage, TimePoint aNow) {
  {
    const std::lock_guard lock(this->mutex);
    this->lastHeard[aMessage.sender] = aNow;
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
    case ControlKind::VouchAsk:
      if (const auto ask = DecodePayload<VouchAskWire>(aMessage.payload)) {
        this->OnVouchAsk(aMessage, *ask);
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
  reply.question = aPull.question;
  // Read before the changes, so that the changes include the version.
  if (const auto relay = this->settings.knowledge.Relay(aNow)) {
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
  TimePoint askedAt;
  {
    const std::lock_guard lock(this->mutex);
    const auto pull = this->pulls.find(aReply.question);
    if (pull == this->pulls.end()) {
      return;  // duplicated or too late
    }
    askedAt = pull->second;
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
    this->settings.knowledge.RenewByRelay(
        {.version = aReply.version,
         .age = std::chrono::microseconds(aReply.age)},
        askedAt, this->settings.config.Version());
  }
  if (more) {
    this->PullFrom(aMessage.replyUrl, aNow);
  }
}

void Gossip::OnVouchAsk(const ControlMessage& aMessage,
                        const VouchAskWire& aAsk) {
  const VouchReplyWire reply{.question = aAsk.question,
                             .version = this->settings.config.Version(),
                             .eligible = this->settings.knowledge.MayVouch()};
  this->settings.send(aMessage.replyUrl, ControlKind::VouchReply,
                      EncodePayload(reply));
  if (aAsk.version > reply.version) {
    this->PullFrom(aMessage.replyUrl, SteadyClock().Now());
  }
}

void Gossip::OnVouchReply(const ControlMessage& aMessage,
                          const VouchReplyWire& aReply, TimePoint aNow) {
  std::optional<VouchTally> tally;
  {
    const std::lock_guard lock(this->mutex);
    const auto question = this->questions.find(aReply.question);
    if (question == this->questions.end()) {
      return;
    }
    question->second.tally.Add({.node = aMessage.sender,
                                .version = aReply.version,
                                .eligible = aReply.eligible});
    tally = question->second.tally;
    for (Wait& wait : this->waits) {
      if (wait.wait) {
        wait.wait->OnAnswer(aMessage.sender, aMessage.incarnation,
                            aReply.version, question->second.askedAt, aNow);
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
    this->settings.knowledge.RenewByVouches(aTally, VouchersOf(*snapshot),
                                            snapshot->Version());
  }
}

void Gossip::AwaitAcceptance(uint64_t aVersion,
                             std::function<void()> aAccepted) {
  {
    const std::lock_guard lock(this->mutex);
    this->waits.push_back({.version = aVersion,
                           .accepted = std::move(aAccepted),
                           .wait = std::nullopt});
  }
  this->TickAcceptance(SteadyClock().Now());
}

void Gossip::Prepare(Wait& aWait, const ConfigSnapshot& aSnapshot) const {
  const VoucherSet current = VouchersOf(aSnapshot);
  if (aWait.wait || aSnapshot.Version() < aWait.version ||
      current.Members().empty()) {
    return;
  }
  std::vector<VoucherSet> sets = {current};
  const VoucherSet previous = PreviousVouchersOf(aSnapshot);
  if (!previous.Members().empty()) {
    sets.push_back(previous);
  }
  aWait.wait.emplace(aWait.version, std::move(sets),
                     this->settings.freshnessLimit);
}

void Gossip::TickAcceptance(TimePoint aNow) {
  const auto snapshot = this->settings.config.Snapshot();
  std::vector<std::function<void()>> accepted;
  bool asks = false;
  {
    const std::lock_guard lock(this->mutex);
    for (auto entry = this->waits.begin(); entry != this->waits.end();) {
      this->Prepare(*entry, *snapshot);
      if (!entry->wait) {
        ++entry;
        continue;
      }
      // This node's own acknowledgement counts only if the node is in a set.
      entry->wait->OnAnswer(this->settings.self.nodeId,
                            this->settings.self.incarnation,
                            snapshot->Version(), aNow, aNow);
      if (entry->wait->IsAccepted(aNow)) {
        accepted.push_back(std::move(entry->accepted));
        entry = this->waits.erase(entry);
        continue;
      }
      asks = asks || !entry->wait->MajorityAt();
      ++entry;
    }
  }
  if (asks) {
    this->AskVouchers(VouchersOf(*snapshot), aNow);
    const VoucherSet previous = PreviousVouchersOf(*snapshot);
    if (!previous.Members().empty()) {
      this->AskVouchers(previous, aNow);
    }
  }
  for (const auto& report : accepted) {
    report();
  }
}

std::optional<TimePoint> Gossip::LastHeard(const std::string& aNode) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->lastHeard.find(aNode);
  if (found == this->lastHeard.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace fescueline
