#include "Admission/FairQueue.h"

#include <algorithm>

namespace fescueline {

namespace {
/// Whether the first item starts before the second within the queue of one
/// class and organisation.
bool Precedes(const QueuedItem& aLeft, const QueuedItem& aRight) {
  if (aLeft.depth != aRight.depth) {
    return aLeft.depth > aRight.depth;
  }
  return aLeft.rootStart < aRight.rootStart;
}
}  // namespace

size_t FairQueue::SizeOf(Importance aImportance) const {
  return this->classes[static_cast<size_t>(aImportance)].size;
}

void FairQueue::Push(const QueuedItem& aItem) {
  ClassQueue& queue = this->ClassOf(aItem.importance);
  if (queue.byOrganisation.size() <= aItem.organisation) {
    queue.byOrganisation.resize(aItem.organisation + 1);
  }
  if (this->queuedOf.size() <= aItem.organisation) {
    this->queuedOf.resize(aItem.organisation + 1);
  }
  if (this->queuedOf[aItem.organisation]++ == 0) {
    this->shares.Activate(aItem.organisation);
  }
  std::vector<QueuedItem>& items =
      queue.byOrganisation[aItem.organisation].items;
  if (items.empty()) {
    queue.backlogged.push_back(aItem.organisation);
  }
  // Items with equal keys start in order of arrival, so a new item is inserted
  // in front of them: the next to start is at the back.
  const auto place = std::partition_point(
      items.begin(), items.end(),
      [&](const QueuedItem& aOther) { return Precedes(aItem, aOther); });
  items.insert(place, aItem);
  ++queue.size;
  ++this->size;
  this->earliestDeadline = std::min(this->earliestDeadline, aItem.deadline);
  this->oldestQueued = std::min(this->oldestQueued, aItem.queuedAt);
}

std::optional<QueuedItem> FairQueue::PopBest() {
  for (ClassQueue& queue : this->classes) {
    if (queue.size == 0) {
      continue;
    }
    const uint32_t organisation =
        *std::min_element(queue.backlogged.begin(), queue.backlogged.end(),
                          [this](uint32_t aLeft, uint32_t aRight) {
                            return this->shares.VirtualTime(aLeft) <
                                   this->shares.VirtualTime(aRight);
                          });
    this->AdvanceSystem();
    return this->RemoveAt(queue, organisation,
                          queue.byOrganisation[organisation].items.size() - 1);
  }
  return std::nullopt;
}

std::optional<QueuedItem> FairQueue::PopVictimFor(const QueuedItem& aItem) {
  const auto found =
      std::find_if(this->classes.rbegin(), this->classes.rend(),
                   [](const ClassQueue& aClass) { return aClass.size > 0; });
  if (found == this->classes.rend()) {
    return std::nullopt;
  }
  ClassQueue& queue = *found;
  const auto importance =
      static_cast<Importance>(&queue - this->classes.data());
  if (importance < aItem.importance) {
    return std::nullopt;
  }
  const bool sameClass = importance == aItem.importance;
  const auto last = [&](uint32_t aOrganisation) {
    const bool own = sameClass && aOrganisation == aItem.organisation;
    return this->LastStart(queue, aOrganisation, own ? 1 : 0);
  };
  const uint32_t furthest =
      *std::max_element(queue.backlogged.begin(), queue.backlogged.end(),
                        [&](uint32_t aLeft, uint32_t aRight) {
                          return last(aLeft) < last(aRight);
                        });
  if (sameClass && furthest != aItem.organisation) {
    const bool queued = aItem.organisation < queue.byOrganisation.size() &&
                        !queue.byOrganisation[aItem.organisation].items.empty();
    if (!queued && this->LastStart(queue, aItem.organisation, 1) >=
                       this->LastStart(queue, furthest, 0)) {
      return std::nullopt;
    }
  }
  if (sameClass && furthest == aItem.organisation &&
      !Precedes(aItem, queue.byOrganisation[furthest].items.front())) {
    return std::nullopt;
  }
  return this->RemoveAt(queue, furthest, 0);
}

bool FairQueue::Remove(const QueuedItem& aItem) {
  ClassQueue& queue = this->ClassOf(aItem.importance);
  if (aItem.organisation >= queue.byOrganisation.size()) {
    return false;
  }
  const auto& items = queue.byOrganisation[aItem.organisation].items;
  const auto found = std::find_if(
      items.begin(), items.end(),
      [&](const QueuedItem& aOther) { return aOther.slot == aItem.slot; });
  if (found == items.end()) {
    return false;
  }
  this->RemoveAt(queue, aItem.organisation,
                 static_cast<size_t>(found - items.begin()));
  return true;
}

void FairQueue::PopExpired(TimePoint aNow, TimePoint aQueuedBefore,
                           std::vector<QueuedItem>& aDropped) {
  if (aNow < this->earliestDeadline && this->oldestQueued >= aQueuedBefore) {
    return;
  }
  this->earliestDeadline = TimePoint::max();
  this->oldestQueued = TimePoint::max();
  // The maximum wait applies to the least important class with items. More
  // important items are dropped for it only when no less important item is
  // left.
  bool enforceMaxWait = true;
  for (auto queue = this->classes.rbegin(); queue != this->classes.rend();
       ++queue) {
    this->PopExpiredOf(*queue, aNow,
                       enforceMaxWait ? aQueuedBefore : TimePoint::min(),
                       aDropped);
    enforceMaxWait = enforceMaxWait && queue->size == 0;
  }
}

void FairQueue::PopExpiredOf(ClassQueue& aClass, TimePoint aNow,
                             TimePoint aQueuedBefore,
                             std::vector<QueuedItem>& aDropped) {
  for (size_t at = aClass.backlogged.size(); at-- > 0;) {
    const uint32_t organisation = aClass.backlogged[at];
    // RemoveAt() replaces an organisation whose queue became empty with the
    // last backlogged one, which a downward iteration has already visited.
    for (size_t i = aClass.byOrganisation[organisation].items.size();
         i-- > 0;) {
      const QueuedItem& item = aClass.byOrganisation[organisation].items[i];
      if (item.deadline <= aNow || item.queuedAt < aQueuedBefore) {
        aDropped.push_back(this->RemoveAt(aClass, organisation, i));
        continue;
      }
      this->earliestDeadline = std::min(this->earliestDeadline, item.deadline);
      this->oldestQueued = std::min(this->oldestQueued, item.queuedAt);
    }
  }
}

double FairQueue::CountAhead(const QueuedItem& aItem) const {
  double ahead = 0;
  for (size_t i = 0; i < static_cast<size_t>(aItem.importance); ++i) {
    ahead += static_cast<double>(this->classes[i].size);
  }
  const ClassQueue& queue =
      this->classes[static_cast<size_t>(aItem.importance)];
  size_t own = 0;
  if (aItem.organisation < queue.byOrganisation.size()) {
    const auto& items = queue.byOrganisation[aItem.organisation].items;
    own = static_cast<size_t>(
        items.end() - std::partition_point(items.begin(), items.end(),
                                           [&](const QueuedItem& aOther) {
                                             return Precedes(aItem, aOther);
                                           }));
  }
  // With equal weights, each other organisation starts at most as many items as
  // this one before the given item starts.
  double others = 0;
  for (const uint32_t organisation : queue.backlogged) {
    if (organisation != aItem.organisation) {
      others += std::min(
          static_cast<double>(own + 1),
          static_cast<double>(queue.byOrganisation[organisation].items.size()));
    }
  }
  return ahead + static_cast<double>(own) + others;
}

double FairQueue::LastStart(const ClassQueue& aClass, uint32_t aOrganisation,
                            size_t aExtra) const {
  const size_t queued = aOrganisation < aClass.byOrganisation.size()
                            ? aClass.byOrganisation[aOrganisation].items.size()
                            : 0;
  const double start = queued == 0 ? this->shares.StartTime(aOrganisation)
                                   : this->shares.VirtualTime(aOrganisation);
  return start + static_cast<double>(queued + aExtra - 1) *
                     this->shares.MeanCost(aOrganisation) /
                     this->shares.Weight(aOrganisation);
}

QueuedItem FairQueue::RemoveAt(ClassQueue& aClass, uint32_t aOrganisation,
                               size_t aPosition) {
  std::vector<QueuedItem>& items = aClass.byOrganisation[aOrganisation].items;
  const QueuedItem item = items[aPosition];
  items.erase(items.begin() + static_cast<std::ptrdiff_t>(aPosition));
  if (items.empty()) {
    const auto found = std::find(aClass.backlogged.begin(),
                                 aClass.backlogged.end(), aOrganisation);
    *found = aClass.backlogged.back();
    aClass.backlogged.pop_back();
  }
  --aClass.size;
  --this->size;
  --this->queuedOf[aOrganisation];
  return item;
}

void FairQueue::AdvanceSystem() {
  double lowest = -1;
  for (const ClassQueue& queue : this->classes) {
    for (const uint32_t organisation : queue.backlogged) {
      const double time = this->shares.VirtualTime(organisation);
      lowest = lowest < 0 ? time : std::min(lowest, time);
    }
  }
  if (lowest >= 0) {
    this->shares.AdvanceSystem(lowest);
  }
}

}  // namespace fescueline
