#include "Retry/RetryBudget.h"

#include <algorithm>

namespace fescueline {

uint32_t RetryBudget::Grant(uint32_t aWanted) {
  const uint32_t granted = std::min(aWanted, this->remaining);
  this->remaining -= granted;
  this->outstanding += granted;
  return granted;
}

void RetryBudget::Return(uint32_t aGranted, uint32_t aUnspent) {
  // Both values come from a message of another node. A grant that is returned
  // twice, or with more retries than granted, must not create retries.
  const uint32_t returned = std::min(aGranted, this->outstanding);
  this->outstanding -= returned;
  this->remaining += std::min(aUnspent, returned);
}

bool RetryBudget::Spend() {
  if (this->remaining == 0) {
    return false;
  }
  --this->remaining;
  return true;
}

}  // namespace fescueline
