#include "Routing/TargetTable.h"

#include <algorithm>
#include <cassert>

namespace fescueline {

namespace {
double Capacity(const TargetInfo& aInfo) {
  return std::max(aInfo.capacity, 1U);
}

/// The lower median: of two targets it is the better one, so that the other can
/// be detected as an outlier.
double LowerMedian(std::vector<double>& aValues) {
  if (aValues.empty()) {
    return 0.0;
  }
  const auto middle =
      aValues.begin() + static_cast<std::ptrdiff_t>((aValues.size() - 1) / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}
}  // namespace

TargetRef TargetTable::Upsert(const TargetInfo& aInfo) {
  if (const auto known = this->Find(aInfo.node)) {
    Target& target = this->targets[known->index];
    if (target.info.incarnation == aInfo.incarnation &&
        target.info.service == aInfo.service) {
      target.info = aInfo;
      target.localityList = this->LocalityListOf(aInfo);
      this->Place(known->index);
      return *known;
    }
    this->Remove(*known);
  }
  const uint32_t index = this->AllocateSlot();
  const uint32_t service = this->ServiceIndex(aInfo.service);
  Target& target = this->targets[index];
  const uint32_t generation = target.generation;
  target = Target{};
  target.info = aInfo;
  target.generation = generation;
  target.present = true;
  target.service = service;
  target.localityList = this->LocalityListOf(aInfo);
  this->byNode.emplace(aInfo.node, index);
  // Until its first report, the target is used only if no other is usable.
  target.state = TargetState::Ready;
  this->Insert(index, TargetList::Unreported);
  return this->RefAt(index);
}

void TargetTable::Remove(TargetRef aTarget) {
  Target* target = this->Mutable(aTarget);
  if (target == nullptr) {
    return;
  }
  this->Erase(aTarget.index);
  this->byNode.erase(target->info.node);
  target->present = false;
  ++target->generation;
  this->freeSlots.push_back(aTarget.index);
}

std::optional<TargetRef> TargetTable::Find(std::string_view aNode) const {
  const auto found = this->byNode.find(aNode);
  if (found == this->byNode.end()) {
    return std::nullopt;
  }
  return this->RefAt(found->second);
}

void TargetTable::OnReport(TargetRef aTarget, const TargetReport& aReport,
                           TimePoint aNow) {
  Target* target = this->Mutable(aTarget);
  if (target == nullptr) {
    return;
  }
  target->lastReport = aNow;
  if (aReport.capacity > 0) {
    target->info.capacity = aReport.capacity;
  }
  // The report may be wrong; its effect is bounded by the target's capacity.
  const double others =
      std::min<double>(aReport.load - std::min(aReport.load, target->inFlight),
                       Capacity(target->info));
  const double before = target->otherCallersLoad.value_or(others);
  target->otherCallersLoad =
      before + this->settings.reportedLoadSmoothing * (others - before);
  target->busy = false;
  target->reportedFailureRate = aReport.failureRate;
  this->SetState(*target, aReport.state, aNow);
  if (aReport.readyFor && target->readySince) {
    target->readySince = aNow - *aReport.readyFor;
  }
  this->Place(aTarget.index);
}

void TargetTable::OnState(TargetRef aTarget, TargetState aState,
                          TimePoint aNow) {
  Target* target = this->Mutable(aTarget);
  if (target == nullptr) {
    return;
  }
  target->lastReport = aNow;
  this->SetState(*target, aState, aNow);
  this->Place(aTarget.index);
}

void TargetTable::OnUnreachable(TargetRef aTarget) {
  Target* target = this->Mutable(aTarget);
  if (target == nullptr) {
    return;
  }
  target->lastReport = std::nullopt;
  this->Erase(aTarget.index);
  this->Insert(aTarget.index, TargetList::Unusable);
}

CallTicket TargetTable::OnStart(TargetRef aTarget, TimePoint aNow) {
  Target* target = this->Mutable(aTarget);
  if (target == nullptr) {
    return {.target = aTarget, .health = {.start = aNow}};
  }
  ++target->inFlight;
  return {.target = aTarget, .health = target->health.OnStart(aNow)};
}

void TargetTable::OnFinish(const CallTicket& aTicket, CallResult aResult,
                           TimePoint aNow) {
  Target* target = this->Mutable(aTicket.target);
  if (target == nullptr) {
    return;
  }
  assert(target->inFlight > 0);
  --target->inFlight;
  if (aResult == CallResult::Refused) {
    // The target counts as busy until its next report. This is not a failure:
    // ejecting busy targets would move their load to the others.
    target->busy = true;
  }
  const bool isSample =
      aResult == CallResult::Answered || aResult == CallResult::Failed;
  const Service& service = this->services[target->service];
  target->health.OnFinish(aTicket.health, isSample,
                          aResult == CallResult::Answered, aNow,
                          service.medians, this->settings.health);
  if (aResult == CallResult::ConnectFailed) {
    this->OnUnreachable(aTicket.target);
  } else if ((target->list == TargetList::Ejected) !=
             target->health.Ejected()) {
    this->Place(aTicket.target.index);
  }
}

void TargetTable::Tick(TimePoint aNow) {
  for (Service& service : this->services) {
    this->ExpireReports(service, aNow);
    this->DetectOutliers(service, aNow);
  }
}

const TargetInfo* TargetTable::Info(TargetRef aTarget) const {
  const Target* target = this->Get(aTarget);
  return target == nullptr ? nullptr : &target->info;
}

const TargetTable::Target* TargetTable::Get(TargetRef aTarget) const {
  if (aTarget.index >= this->targets.size()) {
    return nullptr;
  }
  const Target& target = this->targets[aTarget.index];
  return target.present && target.generation == aTarget.generation ? &target
                                                                   : nullptr;
}

const TargetTable::Service* TargetTable::FindService(
    std::string_view aService) const {
  const auto found = this->byService.find(aService);
  return found == this->byService.end() ? nullptr
                                        : &this->services[found->second];
}

double TargetTable::Utilisation(const Target& aTarget) const {
  const double capacity = Capacity(aTarget.info);
  const double others =
      aTarget.busy ? capacity : aTarget.otherCallersLoad.value_or(0.0);
  return (aTarget.inFlight + 1 + others) / capacity;
}

double TargetTable::LoadScore(const Target& aTarget) const {
  if (aTarget.busy) {
    return this->Utilisation(aTarget);
  }
  const double others = this->settings.reportedLoadWeight *
                        aTarget.otherCallersLoad.value_or(0.0);
  return (aTarget.inFlight + 1 + others) / Capacity(aTarget.info);
}

double TargetTable::Weight(const Target& aTarget, TimePoint aNow) const {
  if (!aTarget.lastReport || !aTarget.readySince ||
      aNow - *aTarget.lastReport > this->settings.reportTimeout) {
    return 0.0;
  }
  const Duration ready = aNow - *aTarget.readySince;
  double ramp = 1.0;
  if (ready < this->settings.rampTime) {
    ramp = this->settings.rampFloor + (1.0 - this->settings.rampFloor) *
                                          ToSeconds(ready) /
                                          ToSeconds(this->settings.rampTime);
  }
  return std::max(ramp, this->settings.rampFloor) * this->HealthWeight(aTarget);
}

double TargetTable::FailureWeight(const Target& aTarget) const {
  // A fault common to all targets must not shift traffic.
  const double excess = aTarget.reportedFailureRate -
                        this->services[aTarget.service].medianFailureRate;
  return std::clamp(1.0 - excess / this->settings.failureRateMargin,
                    this->settings.minFailureWeight, 1.0);
}

TargetTable::Target* TargetTable::Mutable(TargetRef aTarget) {
  return const_cast<Target*>(this->Get(aTarget));
}

uint32_t TargetTable::AllocateSlot() {
  if (this->freeSlots.empty()) {
    this->targets.emplace_back();
    return static_cast<uint32_t>(this->targets.size() - 1);
  }
  const uint32_t index = this->freeSlots.back();
  this->freeSlots.pop_back();
  return index;
}

uint32_t TargetTable::ServiceIndex(const std::string& aName) {
  const auto [entry, added] = this->byService.try_emplace(
      aName, static_cast<uint32_t>(this->services.size()));
  if (added) {
    this->services.emplace_back();
  }
  return entry->second;
}

TargetList TargetTable::LocalityListOf(const TargetInfo& aInfo) const {
  if (aInfo.region != this->settings.region) {
    return TargetList::Far;
  }
  return aInfo.dataCentre == this->settings.dataCentre ? TargetList::Near
                                                       : TargetList::Region;
}

void TargetTable::Place(uint32_t aIndex) {
  const Target& target = this->targets[aIndex];
  TargetList list = TargetList::Unusable;
  if (target.list == TargetList::Unreported && !target.lastReport) {
    list = TargetList::Unreported;
  } else if (target.lastReport && target.state == TargetState::Ready) {
    list = target.health.Ejected() ? TargetList::Ejected : target.localityList;
  }
  if (list != target.list) {
    this->Erase(aIndex);
    this->Insert(aIndex, list);
  }
}

void TargetTable::Insert(uint32_t aIndex, TargetList aList) {
  Target& target = this->targets[aIndex];
  auto& list = this->services[target.service].lists[static_cast<size_t>(aList)];
  target.list = aList;
  target.position = static_cast<uint32_t>(list.size());
  list.push_back(aIndex);
}

void TargetTable::Erase(uint32_t aIndex) {
  const Target& target = this->targets[aIndex];
  auto& list =
      this->services[target.service].lists[static_cast<size_t>(target.list)];
  assert(list[target.position] == aIndex);
  list[target.position] = list.back();
  this->targets[list.back()].position = target.position;
  list.pop_back();
}

void TargetTable::SetState(Target& aTarget, TargetState aState,
                           TimePoint aNow) {
  aTarget.state = aState;
  if (aState != TargetState::Ready) {
    aTarget.readySince = std::nullopt;
  } else if (!aTarget.readySince) {
    aTarget.readySince = aNow;
  }
}

void TargetTable::ExpireReports(Service& aService, TimePoint aNow) {
  this->evaluated.clear();
  for (const TargetList list : {TargetList::Near, TargetList::Region,
                                TargetList::Far, TargetList::Ejected}) {
    for (const uint32_t index : aService.List(list)) {
      this->evaluated.push_back(index);
    }
  }
  std::erase_if(this->evaluated, [&](uint32_t aIndex) {
    if (aNow - *this->targets[aIndex].lastReport <=
        this->settings.reportTimeout) {
      return false;
    }
    this->OnUnreachable(this->RefAt(aIndex));
    return true;
  });
}

void TargetTable::DetectOutliers(Service& aService, TimePoint aNow) {
  this->UpdateMedians(aService);
  const auto share = static_cast<size_t>(
      this->settings.maxImpaired * static_cast<double>(this->evaluated.size()));
  const size_t limit =
      this->evaluated.size() < 2 || this->settings.maxImpaired <= 0
          ? 0
          : std::max<size_t>(share, 1);
  this->outliers.clear();
  size_t impaired = 0;
  for (const uint32_t index : this->evaluated) {
    TargetHealth& health = this->targets[index].health;
    if (health.Ejected() && impaired >= limit) {
      // Targets have left, and the share of ejected ones is now too high.
      health.Reinstate(this->settings.health);
      this->Place(index);
    }
    impaired += health.Impaired() ? 1 : 0;
    if (!health.Ejected()) {
      const double score =
          health.OutlierScore(aNow, aService.medians, this->settings.health);
      if (score > 1.0) {
        this->outliers.push_back({.index = index, .score = score});
      } else {
        impaired -= health.Impaired() ? 1 : 0;
        health.Recover(this->settings.health);
        impaired += health.Impaired() ? 1 : 0;
      }
    }
  }
  this->ImpairWorst(impaired, limit, aNow);
}

void TargetTable::UpdateMedians(Service& aService) {
  this->latencies.clear();
  this->failures.clear();
  for (const uint32_t index : this->evaluated) {
    this->failures.push_back(this->targets[index].reportedFailureRate);
  }
  aService.medianFailureRate = LowerMedian(this->failures);
  this->failures.clear();
  for (const uint32_t index : this->evaluated) {
    const TargetHealth& health = this->targets[index].health;
    if (!health.Ejected() && health.Latency() > 0.0) {
      this->latencies.push_back(health.Latency());
      this->failures.push_back(health.Failures());
    }
  }
  // Keeps the last medians if no target has samples: probes of ejected targets
  // are still compared with them.
  if (!this->latencies.empty()) {
    aService.medians = {.latency = LowerMedian(this->latencies),
                        .failures = LowerMedian(this->failures)};
  }
}

void TargetTable::ImpairWorst(size_t aImpaired, size_t aLimit, TimePoint aNow) {
  std::sort(this->outliers.begin(), this->outliers.end(),
            [](const Outlier& aLeft, const Outlier& aRight) {
              return aLeft.score > aRight.score;
            });
  size_t impaired = aImpaired;
  for (const Outlier& outlier : this->outliers) {
    TargetHealth& health = this->targets[outlier.index].health;
    if (!health.Impaired()) {
      if (impaired >= aLimit) {
        continue;
      }
      ++impaired;
    }
    health.Reduce(aNow, this->settings.health);
    this->Place(outlier.index);
  }
}

}  // namespace fescueline
