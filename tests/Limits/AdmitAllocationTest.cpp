#include <doctest/doctest.h>

#include <cstdlib>
#include <new>
#include <string>

#include "Limits/ShareSimulation.h"

namespace {
// Number of memory allocations of this thread.
thread_local uint64_t sAllocations = 0;
}  // namespace

void* operator new(std::size_t aSize) {
  ++sAllocations;
  if (void* memory = std::malloc(aSize == 0 ? 1 : aSize)) {
    return memory;
  }
  throw std::bad_alloc();
}
void operator delete(void* aMemory) noexcept { std::free(aMemory); }
void operator delete(void* aMemory, std::size_t) noexcept {
  std::free(aMemory);
}

using namespace fescueline;

// Guards against a memory allocation on the path of every request, for example
// a string that is built to look up the organisation.
TEST_CASE("admitting a request allocates no memory") {
  const std::string name = "an organisation whose name is stored on the heap";
  ShareLedger ledger({.node = "n", .incarnation = {.high = 0, .low = 1}},
                     ShareSettings());
  const TimePoint now = ShareSimulation::kStart;
  Allocation allocation;
  allocation.version = 1;
  allocation.total = {.rate = kMicroTokensPerToken,
                      .capacity = kMicroTokensPerToken};
  ledger.Install(name, allocation, now, now);
  ledger.Admit(name, now);
  ShareIssuer issuer(name, allocation, ShareSettings(),
                     now - std::chrono::seconds(1));
  for (const ShareMessage& message : ledger.RequestMore(name, now)) {
    const auto answers =
        issuer.Receive(std::get<ShareRequest>(message.body), now);
    ledger.Receive(std::get<ShareTransfer>(answers.at(0).body), now);
  }
  const uint64_t before = sAllocations;
  const ShareAdmission admitted = ledger.Admit(name, now);
  const ShareAdmission exhausted = ledger.Admit(name, now);
  const ShareAdmission lapsed = ledger.Admit(name, now + std::chrono::hours(1));
  const ShareAdmission unknown = ledger.Admit("nobody", now);
  const uint64_t after = sAllocations;
  CHECK(after == before);
  CHECK(admitted == ShareAdmission::Admitted);
  CHECK(exhausted == ShareAdmission::Exhausted);
  CHECK(lapsed == ShareAdmission::Exhausted);
  CHECK(unknown == ShareAdmission::Unknown);
}
