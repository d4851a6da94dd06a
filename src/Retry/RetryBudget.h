#pragma once

#include <cstdint>

namespace fescueline {

/// Remaining retries of one running attempt, held by the node that runs it.
/// Each child call is granted a part of the budget; its response returns the
/// unspent retries. Retries granted and spent never exceed those the attempt
/// was given, whatever a child reports. Not thread-safe; the owner locks.
class RetryBudget {
 public:
  explicit RetryBudget(uint32_t aRetries) : remaining(aRetries) {}

  /// Grants up to aWanted retries to a child call; returns the number granted.
  uint32_t Grant(uint32_t aWanted);

  /// Ends a grant of aGranted retries of which the child left aUnspent. After a
  /// lost response, all of them count as spent: Return(granted, 0).
  void Return(uint32_t aGranted, uint32_t aUnspent);

  /// Spends one retry on this node; false if none is left.
  bool Spend();

  /// Retries that may still be granted or spent. Reported as unspent when the
  /// attempt ends; excludes grants that are still outstanding.
  uint32_t Remaining() const { return this->remaining; }

 private:
  /// Retries neither granted nor spent.
  uint32_t remaining;
  /// Retries granted to child calls that have not ended.
  uint32_t outstanding = 0;
};

}  // namespace fescueline
