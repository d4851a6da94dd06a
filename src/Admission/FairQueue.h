#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "Admission/OrganisationShares.h"
#include "Core/Importance.h"
#include "Core/Time.h"

namespace fescueline {

/// One queued request, with the keys that decide its place.
struct QueuedItem {
  /// Slot of the request in the controller.
  uint32_t slot = 0;
  /// Index in OrganisationShares.
  uint32_t organisation = 0;
  Importance importance = Importance::Normal;
  uint32_t depth = 0;
  TimePoint rootStart;
  TimePoint deadline;
  TimePoint queuedAt;
};

/// Queue ordered by importance, then by the organisations' fair share of
/// service time, then deeper requests, then older roots. Its owner bounds the
/// length. Not thread-safe.
class FairQueue {
 public:
  /// The shares must outlive the queue.
  explicit FairQueue(OrganisationShares& aShares) : shares(aShares) {}

  size_t Size() const { return this->size; }
  /// Queued items of one class.
  size_t SizeOf(Importance aImportance) const;

  void Push(const QueuedItem& aItem);
  /// Removes the item to start next.
  std::optional<QueuedItem> PopBest();
  /// Removes the item that must make room for the given one: the least
  /// important, among these one of the organisation furthest over its share.
  /// Nothing is removed when the given item is itself that item.
  std::optional<QueuedItem> PopVictimFor(const QueuedItem& aItem);
  /// Removes one item; false if it is not queued.
  bool Remove(const QueuedItem& aItem);
  /// Moves all items whose deadline has passed to aDropped, and of the least
  /// important class also those that were queued before aQueuedBefore.
  void PopExpired(TimePoint aNow, TimePoint aQueuedBefore,
                  std::vector<QueuedItem>& aDropped);
  /// Expected number of items started before the given one.
  double CountAhead(const QueuedItem& aItem) const;

 private:
  /// Items of one class and organisation, the next to start last.
  struct OrganisationQueue {
    std::vector<QueuedItem> items;
  };
  /// All byOrganisation of one importance class.
  struct ClassQueue {
    /// By organisation index.
    std::vector<OrganisationQueue> byOrganisation;
    /// Organisations with queued items, in no order.
    std::vector<uint32_t> backlogged;
    size_t size = 0;
  };

  ClassQueue& ClassOf(Importance aImportance) {
    return this->classes[static_cast<size_t>(aImportance)];
  }
  /// Virtual time at which the last of the organisation's items of the class
  /// and aExtra more would start. The time at which it ends would put an
  /// organisation with one long request behind one with many short ones.
  double LastStart(const ClassQueue& aClass, uint32_t aOrganisation,
                   size_t aExtra) const;
  /// Removes the item at a position of a lane.
  QueuedItem RemoveAt(ClassQueue& aClass, uint32_t aOrganisation,
                      size_t aPosition);
  void PopExpiredOf(ClassQueue& aClass, TimePoint aNow, TimePoint aQueuedBefore,
                    std::vector<QueuedItem>& aDropped);
  /// Advances the system's virtual time before an item starts.
  void AdvanceSystem();

  OrganisationShares& shares;
  std::array<ClassQueue, kImportanceClasses> classes;
  /// Queued items by organisation, over all classes.
  std::vector<uint32_t> queuedOf;
  size_t size = 0;
  /// No queued item expires before this time.
  TimePoint earliestDeadline = TimePoint::max();
  /// No queued item was queued before this time.
  TimePoint oldestQueued = TimePoint::max();
};

}  // namespace fescueline
