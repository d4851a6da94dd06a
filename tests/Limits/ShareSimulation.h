#pragma once

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Limits/ExcessMeter.h"
#include "Limits/ShareIssuer.h"
#include "Limits/ShareLedger.h"

namespace fescueline {

/// Simulation of three nodes and the issuers of successive allocations. All
/// messages are in a pool, from which they are delivered in any order,
/// repeatedly or never.
class ShareSimulation {
 public:
  static constexpr TimePoint kStart{std::chrono::hours(1)};
  static constexpr Duration kFreshnessLimit = std::chrono::seconds(4);
  static constexpr size_t kNodes = 3;
  static constexpr const char* kOrganisation = "acme";

  explicit ShareSimulation(const Portion& aLimit)
      : limit(aLimit), meter(aLimit) {
    for (size_t i = 0; i < kNodes; ++i) {
      this->Restart(i);
    }
    this->Commit();
    for (size_t i = 0; i < kNodes; ++i) {
      this->ApplyNewest(i);
    }
    this->AcceptIfDue();
  }

  /// Commits the next allocation version; one change at a time. aSameIssuer:
  /// the current issuer's incarnation also issues the next one.
  void Commit(bool aSameIssuer = false) {
    if (this->committed) {
      return;
    }
    ++this->version;
    this->committed = Allocation{
        .version = this->version,
        .issuer = "issuer",
        .issuerIncarnation =
            aSameIssuer
                ? this->issuers.back()->CurrentAllocation().issuerIncarnation
                : this->NewId(),
        .total = this->limit};
    this->commitTimes.push_back(this->now);
  }
  /// A node applies the newest allocation. Its old configuration and the as-of
  /// time of its lease are from before the first allocation that it has missed.
  void ApplyNewest(size_t aNode) {
    const Allocation& newest = this->committed
                                   ? *this->committed
                                   : this->issuers.back()->CurrentAllocation();
    const uint64_t known = this->known[aNode];
    if (known == newest.version) {
      return;
    }
    this->ledgers[aNode]->Install(
        kOrganisation, newest,
        known == 0 ? this->now : this->commitTimes.at(known) + kFreshnessLimit,
        this->now);
    this->known[aNode] = newest.version;
  }
  /// Starts the issuer of the committed allocation once it is accepted.
  void AcceptIfDue() {
    if (this->committed &&
        (this->issuers.empty() ||
         this->now >= this->commitTimes.back() + kFreshnessLimit)) {
      this->issuers.push_back(std::make_unique<ShareIssuer>(
          kOrganisation, *this->committed, ShareSettings(), this->now));
      this->committed.reset();
    }
  }
  /// Restarts a node, which then knows the newest accepted allocation.
  void Restart(size_t aNode) {
    this->ledgers[aNode] = std::make_unique<ShareLedger>(
        HolderIdentity{.node = std::to_string(aNode),
                       .incarnation = this->NewId()},
        ShareSettings());
    this->known[aNode] = 0;
    if (!this->issuers.empty()) {
      this->ApplyNewest(aNode);
    }
  }
  /// Offers aCount requests. A node that has not applied the newest accepted
  /// allocation is not fresh and offers none.
  void Offer(size_t aNode, int aCount) {
    if (this->issuers.empty() ||
        this->known[aNode] <
            this->issuers.back()->CurrentAllocation().version) {
      return;
    }
    for (int i = 0; i < aCount; ++i) {
      if (this->ledgers[aNode]->Admit(kOrganisation, this->now) ==
          ShareAdmission::Admitted) {
        this->meter.Add(this->now);
      }
    }
  }
  void RequestMore(size_t aNode) {
    this->Enqueue(this->ledgers[aNode]->RequestMore(kOrganisation, this->now));
  }
  void Tick(size_t aNode) {
    this->Enqueue(this->ledgers[aNode]->Tick(this->now));
  }
  void ReturnAll(size_t aNode) {
    this->Enqueue(this->ledgers[aNode]->ReturnAll(this->now));
  }
  void TickIssuers() {
    for (auto& issuer : this->issuers) {
      this->Enqueue(issuer->Tick(this->now));
    }
  }
  /// Delivers the message at aPosition. With aRepeat it stays in the pool.
  void Deliver(size_t aPosition, bool aRepeat) {
    if (this->pool.empty()) {
      return;
    }
    const auto at = this->pool.begin() +
                    static_cast<std::ptrdiff_t>(aPosition % this->pool.size());
    const ShareMessage message = *at;
    if (!aRepeat) {
      this->pool.erase(at);
    }
    if (const auto* transfer = std::get_if<ShareTransfer>(&message.body)) {
      const auto node = static_cast<size_t>(std::stoi(message.to));
      this->Enqueue(this->ledgers[node]->Receive(*transfer, this->now));
      return;
    }
    for (auto& issuer : this->issuers) {
      if (const auto* request = std::get_if<ShareRequest>(&message.body)) {
        this->Enqueue(issuer->Receive(*request, this->now));
      } else {
        this->Enqueue(
            issuer->Receive(std::get<ShareReturn>(message.body), this->now));
      }
    }
  }
  void Drop() {
    if (!this->pool.empty()) {
      this->pool.pop_front();
    }
  }
  void Advance(Duration aStep) {
    this->now += aStep;
    this->AcceptIfDue();
  }

  /// Whether holders and the newest issuer have at most the limit together.
  bool IsConserved() {
    Portion sum = this->issuers.back()->Reserve();
    for (size_t i = 0; i < kNodes; ++i) {
      if (this->ledgers[i]->Version(kOrganisation, this->now) ==
          this->issuers.back()->CurrentAllocation().version) {
        sum += this->ledgers[i]->Held(kOrganisation, this->now);
      }
    }
    ShareIssuer& issuer = *this->issuers.back();
    return sum.FitsIn(this->limit) &&
           issuer.Reserve() + issuer.Issued() == this->limit;
  }
  ShareLedger& Ledger(size_t aNode) { return *this->ledgers[aNode]; }
  ShareIssuer& Issuer() { return *this->issuers.back(); }
  const ExcessMeter& Meter() const { return this->meter; }
  TimePoint Now() const { return this->now; }

 private:
  Id128 NewId() { return {.high = 1, .low = ++this->lastId}; }
  void Enqueue(std::vector<ShareMessage> aMessages) {
    for (ShareMessage& message : aMessages) {
      this->pool.push_back(std::move(message));
    }
  }

  Portion limit;
  ExcessMeter meter;
  TimePoint now = kStart;
  uint64_t lastId = 0;
  uint64_t version = 0;
  std::optional<Allocation> committed;
  /// Commit times of versions 1, 2, ...
  std::vector<TimePoint> commitTimes;
  std::vector<std::unique_ptr<ShareIssuer>> issuers;
  std::array<std::unique_ptr<ShareLedger>, kNodes> ledgers;
  /// Version of the allocation that each node has applied; 0 for none.
  std::array<uint64_t, kNodes> known{};
  std::deque<ShareMessage> pool;
};

}  // namespace fescueline
