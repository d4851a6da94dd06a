#include "Routing/TargetPicker.h"

#include <algorithm>

namespace fescueline {

namespace {
/// Maximum number of draws before a target is taken in spite of its reduced
/// weight. If every weight is 0.1, half of the choices reach this bound and are
/// uniform, which is correct: all targets are equally cold.
constexpr int kDraws = 6;
}  // namespace

std::optional<TargetRef> TargetPicker::Pick(std::string_view aService,
                                            std::span<const TargetRef> aExclude,
                                            TimePoint aNow,
                                            RandomSource& aRandom) const {
  const TargetTable::Service* service = this->table.FindService(aService);
  if (service == nullptr) {
    return std::nullopt;
  }
  const Choice choice{.exclude = aExclude, .now = aNow, .random = aRandom};
  const Indexes& ejected = service->List(TargetList::Ejected);
  std::optional<uint32_t> best = this->Probe(choice, ejected);
  if (best) {
    return this->table.RefAt(*best);
  }
  std::optional<uint32_t> skipped;
  double utilisation = 0.0;
  for (const TargetList list : kUsableLists) {
    if (best && utilisation < this->settings.spilloverThreshold) {
      break;
    }
    const auto found = this->BetterOfTwo(choice, service->List(list));
    if (!found) {
      continue;
    }
    // A draw from a list of one ignores the weight. A target that fails
    // requests must not get all traffic because it is the only local one.
    const double healthWeight =
        this->table.HealthWeight(this->table.At(*found));
    if (service->List(list).size() == 1 &&
        aRandom.NextDouble() >= healthWeight) {
      skipped = skipped ? skipped : found;
      continue;
    }
    const double candidate = this->table.Utilisation(this->table.At(*found));
    if (!best || candidate + this->settings.spilloverMargin < utilisation) {
      best = found;
      utilisation = candidate;
    }
  }
  best = best ? best : skipped;
  // An ejected target is better than none, and a target without a report can
  // be tried: a connect failure has the outcome `not-run`, so a retry is safe.
  if (!best) {
    best = this->AnyUsable(choice, ejected);
  }
  if (!best) {
    best = this->AnyUsable(choice, service->List(TargetList::Unreported));
  }
  if (!best) {
    return std::nullopt;
  }
  return this->table.RefAt(*best);
}

bool TargetPicker::Excluded(const Choice& aChoice, uint32_t aIndex) const {
  return std::find(aChoice.exclude.begin(), aChoice.exclude.end(),
                   this->table.RefAt(aIndex)) != aChoice.exclude.end();
}

std::optional<uint32_t> TargetPicker::Probe(const Choice& aChoice,
                                            const Indexes& aEjected) const {
  if (aEjected.empty() ||
      aChoice.random.NextBelow(this->settings.probeInterval) != 0) {
    return std::nullopt;
  }
  const uint32_t index = aEjected[aChoice.random.NextBelow(aEjected.size())];
  if (this->Excluded(aChoice, index) ||
      !this->table.At(index).health.ProbeDue(aChoice.now)) {
    return std::nullopt;
  }
  return index;
}

std::optional<uint32_t> TargetPicker::BetterOfTwo(const Choice& aChoice,
                                                  const Indexes& aList) const {
  const auto first = this->Draw(aChoice, aList, std::nullopt);
  if (!first || aList.size() == 1) {
    return first;
  }
  const auto second = this->Draw(aChoice, aList, first);
  if (!second) {
    return first;
  }
  return this->table.LoadScore(this->table.At(*second)) <
                 this->table.LoadScore(this->table.At(*first))
             ? second
             : first;
}

std::optional<uint32_t> TargetPicker::Draw(
    const Choice& aChoice, const Indexes& aList,
    std::optional<uint32_t> aOther) const {
  if (aList.empty()) {
    return std::nullopt;
  }
  std::optional<uint32_t> fallback;
  double drawnWeight = 0.0;
  for (int draw = 0; draw < kDraws; ++draw) {
    const uint32_t index = aList[aChoice.random.NextBelow(aList.size())];
    if (index == aOther || this->Excluded(aChoice, index)) {
      continue;
    }
    const double weight =
        this->table.Weight(this->table.At(index), aChoice.now);
    if (weight >= 1.0 || aChoice.random.NextDouble() < weight) {
      return index;
    }
    // Weighted reservoir sampling: choosing the highest weight would send all
    // traffic to one of the targets that ramp up together.
    drawnWeight += weight;
    if (aChoice.random.NextDouble() * drawnWeight < weight) {
      fallback = index;
    }
  }
  // The second draw may find no target. The first must find one if any is
  // usable, however many targets are excluded.
  if (fallback || aOther) {
    return fallback;
  }
  return this->AnyUsable(aChoice, aList);
}

std::optional<uint32_t> TargetPicker::AnyUsable(const Choice& aChoice,
                                                const Indexes& aList) const {
  const size_t start =
      aList.empty() ? 0 : aChoice.random.NextBelow(aList.size());
  for (size_t i = 0; i < aList.size(); ++i) {
    const uint32_t index = aList[(start + i) % aList.size()];
    const TargetTable::Target& target = this->table.At(index);
    const bool usable = target.list == TargetList::Unreported ||
                        this->table.Weight(target, aChoice.now) > 0.0;
    if (usable && !this->Excluded(aChoice, index)) {
      return index;
    }
  }
  return std::nullopt;
}

}  // namespace fescueline
