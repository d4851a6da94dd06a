#include "Core/OrderedMutex.h"

#include <cassert>

namespace fescueline {

namespace {
thread_local uint8_t sHeldRank = 0;
}  // namespace

void OrderedMutex::lock() {
  assert(static_cast<uint8_t>(this->rank) > sHeldRank &&
         "locks must be taken in ascending rank");
  this->mutex.lock();
  this->outerRank = sHeldRank;
  sHeldRank = static_cast<uint8_t>(this->rank);
}

void OrderedMutex::unlock() {
  assert(sHeldRank == static_cast<uint8_t>(this->rank) &&
         "locks must be released in reverse order");
  sHeldRank = this->outerRank;
  this->mutex.unlock();
}

}  // namespace fescueline
