#pragma once

#include <cstdint>

namespace fescueline {

/// Retries left to one running attempt, held at the node that runs it. Child
/// calls get a part of it, which leaves the budget until the child's response
/// returns what was not spent. All parts together never exceed the retries
/// that the attempt was given, whatever a child reports. Not thread-safe; the
/// owner locks.
class RetryBudget {
 public:
  explicit RetryBudget(uint32_t aRetries) : remaining(aRetries) {}

  /// Takes at most aWanted retries out of the budget for a child call and
  /// returns how many.
  uint32_t Grant(uint32_t aWanted);

  /// Ends a grant of aGranted retries of which the child left aUnspent. A
  /// lost response is Return(granted, 0): all of them count as spent.
  void Return(uint32_t aGranted, uint32_t aUnspent);

  /// Takes one retry for this node's own use; false if none is left.
  bool Spend();

  /// Retries that may still be granted or spent. Reported as left over when
  /// the attempt ends; grants that are outstanding then are not included.
  uint32_t Remaining() const { return this->remaining; }

 private:
  /// Retries neither granted nor spent.
  uint32_t remaining;
  /// Retries granted to children that have not returned.
  uint32_t outstanding = 0;
};

}  // namespace fescueline
