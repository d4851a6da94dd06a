#include "Node/FleetView.h"

#include <mutex>

#include "Node/ThresholdMessages.h"
#include "Settings/SocketAddress.h"

namespace fescueline {

FleetView::FleetView(Settings aSettings)
    : settings(std::move(aSettings)),
      table(this->settings.table),
      picker(this->table, this->settings.picker),
      thresholds(this->settings.thresholds, this->random.Next()),
      retries(this->settings.retries) {}

void FleetView::UpdateMembers(std::shared_ptr<const ConfigSnapshot> aSnapshot) {
  const std::lock_guard lock(this->mutex);
  this->snapshot = std::move(aSnapshot);
  this->Reselect();
}

void FleetView::Reselect() {
  if (!this->snapshot) {
    return;
  }
  std::unordered_set<std::string> selected;
  for (const std::string& service : this->services) {
    this->SelectService(service, selected);
  }
  std::erase_if(this->addresses, [&](const auto& aEntry) {
    if (selected.contains(aEntry.first)) {
      return false;
    }
    if (const auto target = this->table.Find(aEntry.first)) {
      this->table.Remove(*target);
    }
    this->thresholds.RemoveSource(aEntry.first);
    return true;
  });
}

void FleetView::SelectService(const std::string& aService,
                              std::unordered_set<std::string>& aSelected) {
  std::vector<const NamedRecord<MemberRecord>*> members;
  std::vector<SubsetCandidate> candidates;
  for (const auto& member : this->snapshot->Members().Items()) {
    if (member->record.service == aService) {
      members.push_back(member.get());
      candidates.push_back({.node = member->name,
                            .dataCentre = member->record.dataCentre,
                            .region = member->record.region});
    }
  }
  const SubsetCandidate self{.node = this->settings.node,
                             .dataCentre = this->settings.table.dataCentre,
                             .region = this->settings.table.region};
  for (size_t position :
       TargetSubset(this->settings.subset).Select(self, candidates)) {
    const NamedRecord<MemberRecord>& member = *members[position];
    const auto address = SocketAddress::Parse(member.record.peerAddress);
    if (!address) {
      // A node of another software version may use another address format; it
      // cannot be reached.
      continue;
    }
    this->addresses[member.name] = {
        .nodeId = member.name, .host = address->host, .port = address->port};
    aSelected.insert(member.name);
    this->table.Upsert({.node = member.name,
                        .incarnation = member.record.incarnation,
                        .service = aService,
                        .dataCentre = member.record.dataCentre,
                        .region = member.record.region});
  }
}

std::optional<ChosenTarget> FleetView::Pick(
    const std::string& aService, const std::vector<TargetRef>& aExclude,
    TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  if (this->services.insert(aService).second) {
    this->Reselect();
  }
  const auto target = this->picker.Pick(aService, aExclude, aNow, this->random);
  if (!target) {
    return std::nullopt;
  }
  return ChosenTarget{
      .ticket = this->table.OnStart(*target, aNow),
      .address = this->addresses.at(this->table.Info(*target)->node)};
}

void FleetView::Finish(const CallTicket& aTicket, CallResult aResult,
                       TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  this->table.OnFinish(aTicket, aResult, aNow);
}

void FleetView::OnState(const std::string& aNode, const StateWire& aState,
                        TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  if (aState.state > static_cast<uint8_t>(TargetState::Gone)) {
    return;
  }
  if (const auto target = this->table.Find(aNode)) {
    this->table.OnReport(*target,
                         {.state = static_cast<TargetState>(aState.state),
                          .load = aState.load,
                          .capacity = aState.limit,
                          .readyFor = std::nullopt},
                         aNow);
  }
  this->thresholds.ApplyReports(aNode, "", FromWire(aState.thresholds), aNow);
}

bool FleetView::OnUnreachable(const std::string& aNode) {
  const std::lock_guard lock(this->mutex);
  const auto target = this->table.Find(aNode);
  if (!target) {
    return false;
  }
  const bool used = this->table.Get(*target)->list != TargetList::Unusable;
  this->table.OnUnreachable(*target);
  return used;
}

void FleetView::Tick(TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  this->table.Tick(aNow);
}

std::vector<PeerAddress> FleetView::WantedPeers() {
  const std::lock_guard lock(this->mutex);
  std::vector<PeerAddress> peers;
  peers.reserve(this->addresses.size());
  for (const auto& [node, address] : this->addresses) {
    peers.push_back(address);
  }
  return peers;
}

void FleetView::ApplyThresholds(const std::string& aNode,
                                const std::string& aRoute,
                                const std::vector<ThresholdWire>& aThresholds,
                                TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  this->thresholds.ApplyReports(aNode, aRoute, FromWire(aThresholds), aNow);
}

bool FleetView::ShouldRefuse(const RequestContext& aContext, TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  return this->thresholds.ShouldRefuse(aContext.route, aContext.organisation,
                                       aContext.importance,
                                       RootHash(aContext.rootId), aNow);
}

std::vector<ThresholdWire> FleetView::Thresholds(const RequestContext& aContext,
                                                 const AdmissionThreshold& aOwn,
                                                 TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  return ReportThresholds(this->thresholds,
                          {.service = aContext.service,
                           .organisation = aContext.organisation,
                           .threshold = aOwn,
                           .age = Duration(0)},
                          aContext.route, aNow);
}

void FleetView::CountFirstAttempt(TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  this->retries.OnFirstAttempt(aNow);
}

bool FleetView::TryRetry(TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  return this->retries.TryRetry(aNow);
}

size_t FleetView::Targets() {
  const std::lock_guard lock(this->mutex);
  return this->table.Size();
}

}  // namespace fescueline
