#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "Admission/OrganisationShares.h"
#include "Core/Importance.h"
#include "Core/Time.h"

namespace fescueline {

/// One queued request with its ordering keys.
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
/// service time, then by depth (deeper first), then by age of the root request.
/// The owner bounds the length. Not thread-safe.
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
  /// Selects the item to evict from a full queue, including the given one: an
  /// item of the least important class, of the organisation furthest over its
  /// fair share. Removes and returns it; nullopt if it is the given item.
  std::optional<QueuedItem> PopVictimFor(const QueuedItem& aItem);
  /// Removes one item; false if it is not queued.
  bool Remove(const QueuedItem& aItem);
  /// Moves all items whose deadline has passed to aDropped, and items of the
  /// least important class that were queued before aQueuedBefore.
  void PopExpired(TimePoint aNow, TimePoint aQueuedBefore,
                  std::vector<QueuedItem>& aDropped);
  /// Expected number of items started before the given one.
  double CountAhead(const QueuedItem& aItem) const;

 private:
  /// Items of one class and organisation; the next to start is at the back.
  struct OrganisationQueue {
    std::vector<QueuedItem> items;
  };
  /// Items of one importance class.
  struct ClassQueue {
    /// Indexed by organisation.
    std::vector<OrganisationQueue> byOrganisation;
    /// Organisations with queued items, unordered.
    std::vector<uint32_t> backlogged;
    size_t size = 0;
  };

  ClassQueue& ClassOf(Importance aImportance) {
    return this->classes[static_cast<size_t>(aImportance)];
  }
  /// Virtual time at which the last of the organisation's items of the class
  /// would start, with aExtra more items queued. The end time would rank an
  /// organisation with one long request behind one with many short requests.
  double LastStart(const ClassQueue& aClass, uint32_t aOrganisation,
                   size_t aExtra) const;
  /// Removes the item at a position of an organisation's queue.
  QueuedItem RemoveAt(ClassQueue& aClass, uint32_t aOrganisation,
                      size_t aPosition);
  void PopExpiredOf(ClassQueue& aClass, TimePoint aNow, TimePoint aQueuedBefore,
                    std::vector<QueuedItem>& aDropped);
  /// Advances the system's virtual time to the lowest virtual time among the
  /// organisations with queued items.
  void AdvanceSystem();

  OrganisationShares& shares;
  std::array<ClassQueue, kImportanceClasses> classes;
  /// Number of queued items by organisation, over all classes.
  std::vector<uint32_t> queuedOf;
  size_t size = 0;
  /// No queued item expires before this time.
  TimePoint earliestDeadline = TimePoint::max();
  /// No queued item was queued before this time.
  TimePoint oldestQueued = TimePoint::max();
};

}  // namespace fescueline
