#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include "Freshness/ClockDrift.h"
#include "Limits/ShareIssuer.h"
#include "Limits/ShareLedger.h"
#include "RunEvaluation.h"

namespace fescueline {

/// Replays generated demand through share ledgers and issuers on 16 nodes, on a
/// manual clock. This is the escrow method: an issuer gives each node a share
/// of the limit, which the node spends without asking. Node 0 issues for all
/// organisations at first. A request that finds no token waits for up to 50 ms.
class EscrowRun {
 public:
  EscrowRun(const FaultPlan& aPlan, TimePoint aStart)
      : plan(aPlan), start(aStart), random(3) {
    for (size_t node = 0; node < kFleetNodes; ++node) {
      this->ledgers.emplace_back(
          HolderIdentity{.node = std::to_string(node),
                         .incarnation = {.high = 1, .low = node}},
          ShareSettings());
      this->Schedule(aStart + std::chrono::milliseconds(1 + node),
                     [this, node](TimePoint aNow) { this->Tick(node, aNow); });
    }
    for (size_t org = 0; org < kOrganisations; ++org) {
      this->names.push_back("organisation-" + std::to_string(org));
      const Allocation first = this->NewAllocation(org, 0);
      for (ShareLedger& ledger : this->ledgers) {
        ledger.Install(this->names[org], first, aStart, aStart);
      }
      this->StartIssuer(org, 0, first, aStart);
    }
  }

  std::vector<Decision> Run(const std::vector<Arrival>& aArrivals) {
    this->decisions.assign(aArrivals.size(), {});
    for (size_t i = 0; i < aArrivals.size(); ++i) {
      const Arrival& arrival = aArrivals[i];
      this->RunUntil(arrival.at);
      ShareLedger& ledger = this->ledgers[arrival.node];
      if (ledger.Admit(this->names[arrival.organisation], arrival.at) ==
          ShareAdmission::Admitted) {
        this->decisions[i] = {.admitted = true, .at = arrival.at};
      } else {
        this->waiting[arrival.node][arrival.organisation].push_back(
            {.request = i, .until = arrival.at + kLongestWait});
        this->RequestMore(arrival.node, arrival.organisation, arrival.at);
      }
    }
    this->RunUntil(this->start + kRunLength);
    return this->decisions;
  }
  /// Messages to and from an organisation's issuer per second, on average.
  double MeanMessagesPerIssuer() const {
    return static_cast<double>(this->messages) / kOrganisations /
           ToSeconds(kRunLength);
  }

 private:
  static constexpr Duration kLongestWait = std::chrono::milliseconds(50);
  static constexpr Duration kTick = std::chrono::milliseconds(20);
  static constexpr Duration kIssuerTimeout = std::chrono::seconds(5);
  static constexpr Duration kFreshnessLimit = std::chrono::seconds(4);

  struct Event {
    TimePoint at;
    uint64_t order;
    std::function<void(TimePoint)> run;
    bool operator<(const Event& aOther) const {
      return std::tie(aOther.at, aOther.order) <
             std::tie(this->at, this->order);
    }
  };
  struct WaitingRequest {
    size_t request;
    TimePoint until;
  };
  struct LocalIssuer {
    size_t node = 0;
    std::unique_ptr<ShareIssuer> issuer;
  };

  void Schedule(TimePoint aTime, std::function<void(TimePoint)> aRun) {
    this->events.push({aTime, ++this->order, std::move(aRun)});
  }
  void RunUntil(TimePoint aEnd) {
    while (!this->events.empty() && this->events.top().at <= aEnd) {
      const Event event = this->events.top();
      this->events.pop();
      event.run(event.at);
    }
  }
  /// Runs aWork at aTime, or when the node is no longer frozen.
  void ScheduleOnNode(size_t aNode, TimePoint aTime,
                      std::function<void(TimePoint)> aWork) {
    this->Schedule(
        aTime, [this, aNode, aWork = std::move(aWork)](TimePoint aNow) {
          if (this->plan.IsDown(aNode, aNow)) {
            if (static_cast<int>(aNode) == this->plan.frozenNode &&
                aNow < this->plan.frozenUntil) {
              this->ScheduleOnNode(aNode, this->plan.frozenUntil, aWork);
            } else if (aNode == 0 && aNow < this->plan.issuerPausedUntil) {
              this->ScheduleOnNode(aNode, this->plan.issuerPausedUntil, aWork);
            }
            return;
          }
          aWork(aNow);
        });
  }

  Allocation NewAllocation(size_t aOrganisation, size_t aNode) {
    Allocation allocation;
    allocation.version = ++this->versions[aOrganisation];
    allocation.issuer = std::to_string(aNode);
    allocation.issuerIncarnation = {.high = 2, .low = ++this->order};
    allocation.total = LimitOf(aOrganisation);
    return allocation;
  }
  void StartIssuer(size_t aOrganisation, size_t aNode,
                   const Allocation& aAllocation, TimePoint aNow) {
    auto local = std::make_unique<LocalIssuer>();
    local->node = aNode;
    local->issuer = std::make_unique<ShareIssuer>(
        this->names[aOrganisation], aAllocation, ShareSettings(), aNow);
    this->issuers[aOrganisation].push_back(std::move(local));
  }
  /// A node with an exhausted share claims the allocation if the issuer does
  /// not respond.
  void ClaimIfUnresponsive(size_t aNode, size_t aOrganisation, TimePoint aNow) {
    const auto silence = this->ledgers[aNode].IssuerUnresponsiveFor(
        this->names[aOrganisation], aNow);
    if (!silence || *silence < kIssuerTimeout ||
        (aNow >= this->plan.storeDownFrom &&
         aNow < this->plan.storeDownUntil) ||
        aNow < this->claimedAt[aOrganisation] + std::chrono::seconds(30)) {
      return;
    }
    this->claimedAt[aOrganisation] = aNow;
    const Allocation next = this->NewAllocation(aOrganisation, aNode);
    const TimePoint committed = aNow + std::chrono::milliseconds(10);
    for (size_t node = 0; node < kFleetNodes; ++node) {
      // Relay pulls take up to 5 rounds of 250 ms for 16 nodes. The as-of time
      // of a node's old configuration is up to 1.5 s before the commit.
      const TimePoint learns =
          committed + std::chrono::milliseconds(this->random.NextBelow(1250));
      const TimePoint usable =
          committed + kFreshnessLimit -
          std::chrono::milliseconds(this->random.NextBelow(1500));
      this->ScheduleOnNode(
          node, learns,
          [this, node, aOrganisation, next, usable](TimePoint aThen) {
            this->ledgers[node].Install(this->names[aOrganisation], next,
                                        usable, aThen);
          });
    }
    // Vouchers acknowledge within 300 ms; then the freshness limit passes.
    this->ScheduleOnNode(aNode,
                         committed + std::chrono::milliseconds(300) +
                             WithClockDrift(kFreshnessLimit),
                         [this, aNode, aOrganisation, next](TimePoint aThen) {
                           this->StartIssuer(aOrganisation, aNode, next, aThen);
                         });
  }

  void Tick(size_t aNode, TimePoint aNow) {
    this->Send(aNode, this->ledgers[aNode].Tick(aNow), aNow);
    for (size_t org = 0; org < kOrganisations; ++org) {
      this->Retry(aNode, org, aNow);
      this->ClaimIfUnresponsive(aNode, org, aNow);
      for (auto& local : this->issuers[org]) {
        if (local->node == aNode) {
          this->Send(aNode, local->issuer->Tick(aNow), aNow);
        }
      }
    }
    this->ScheduleOnNode(aNode, aNow + kTick, [this, aNode](TimePoint aThen) {
      this->Tick(aNode, aThen);
    });
  }
  void RequestMore(size_t aNode, size_t aOrganisation, TimePoint aNow) {
    this->Send(
        aNode,
        this->ledgers[aNode].RequestMore(this->names[aOrganisation], aNow),
        aNow);
  }
  /// Offers waiting requests again, oldest first.
  void Retry(size_t aNode, size_t aOrganisation, TimePoint aNow) {
    auto& queue = this->waiting[aNode][aOrganisation];
    while (!queue.empty()) {
      const WaitingRequest& first = queue.front();
      if (aNow <= first.until) {
        if (this->ledgers[aNode].AdmitWaiting(
                this->names[aOrganisation], aNow) != ShareAdmission::Admitted) {
          break;
        }
        this->decisions[first.request] = {.admitted = true, .at = aNow};
      }
      queue.pop_front();
    }
  }
  void Send(size_t aFrom, const std::vector<ShareMessage>& aMessages,
            TimePoint aNow) {
    for (const ShareMessage& message : aMessages) {
      ++this->messages;
      const auto to = static_cast<size_t>(std::stoul(message.to));
      this->ScheduleOnNode(to, aNow + DelayBetween(aFrom, to),
                           [this, to, message](TimePoint aThen) {
                             this->Deliver(to, message, aThen);
                           });
    }
  }
  void Deliver(size_t aNode, const ShareMessage& aMessage, TimePoint aNow) {
    if (const auto* transfer = std::get_if<ShareTransfer>(&aMessage.body)) {
      this->Send(aNode, this->ledgers[aNode].Receive(*transfer, aNow), aNow);
      const auto org =
          static_cast<size_t>(std::find(this->names.begin(), this->names.end(),
                                        transfer->organisation) -
                              this->names.begin());
      this->Retry(aNode, org, aNow);
      if (!this->waiting[aNode][org].empty()) {
        this->RequestMore(aNode, org, aNow);
      }
      return;
    }
    for (auto& organisation : this->issuers) {
      for (auto& local : organisation) {
        if (local->node != aNode) {
          continue;
        }
        if (const auto* request = std::get_if<ShareRequest>(&aMessage.body)) {
          if (request->statement.organisation ==
              this->names[static_cast<size_t>(&organisation -
                                              this->issuers.data())]) {
            this->Send(aNode, local->issuer->Receive(*request, aNow), aNow);
          }
        } else if (const auto& back = std::get<ShareReturn>(aMessage.body);
                   back.statement.organisation ==
                   this->names[static_cast<size_t>(&organisation -
                                                   this->issuers.data())]) {
          this->Send(aNode, local->issuer->Receive(back, aNow), aNow);
        }
      }
    }
  }

  FaultPlan plan;
  TimePoint start;
  RandomSource random;
  std::vector<std::string> names;
  std::vector<ShareLedger> ledgers;
  std::array<std::vector<std::unique_ptr<LocalIssuer>>, kOrganisations> issuers;
  std::array<uint64_t, kOrganisations> versions{};
  std::array<TimePoint, kOrganisations> claimedAt{};
  std::array<std::array<std::deque<WaitingRequest>, kOrganisations>,
             kFleetNodes>
      waiting;
  std::priority_queue<Event> events;
  uint64_t order = 0;
  uint64_t messages = 0;
  std::vector<Decision> decisions;
};

}  // namespace fescueline
