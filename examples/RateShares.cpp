// Two nodes share one organisation's rate limit.
#include <deque>
#include <iostream>

#include "Limits/ShareIssuer.h"
#include "Limits/ShareLedger.h"

using namespace fescueline;

int main() {
  constexpr const char* kOrganisation = "acme";
  constexpr MicroTokens kRate = 100;
  constexpr MicroTokens kBurst = 20;
  constexpr int kSeconds = 10;
  ManualClock clock;
  const Allocation allocation{
      .version = 1,
      .issuer = "issuer",
      .issuerIncarnation = Id128::Generate(),
      .total = {.rate = kRate * kMicroTokensPerToken,
                .capacity = kBurst * kMicroTokensPerToken}};
  ShareIssuer issuer(kOrganisation, allocation, {}, clock.Now());
  ShareLedger ledgers[] = {{{"0", Id128::Generate()}, {}},
                           {{"1", Id128::Generate()}, {}}};
  std::deque<ShareMessage> network;
  const auto send = [&network](std::vector<ShareMessage> aMessages) {
    network.insert(network.end(), aMessages.begin(), aMessages.end());
  };
  for (ShareLedger& ledger : ledgers) {
    ledger.Install(kOrganisation, allocation, clock.Now(), clock.Now());
  }
  int admitted = 0;
  for (int tick = 0; tick < kSeconds * 100; ++tick) {
    clock.Advance(std::chrono::milliseconds(10));
    for (ShareLedger& ledger : ledgers) {
      // Each node gets 400 requests per second.
      for (int i = 0; i < 4; ++i) {
        const ShareAdmission result = ledger.Admit(kOrganisation, clock.Now());
        admitted += result == ShareAdmission::Admitted ? 1 : 0;
      }
      send(ledger.RequestMore(kOrganisation, clock.Now()));
      send(ledger.Tick(clock.Now()));
    }
    send(issuer.Tick(clock.Now()));
    for (; !network.empty(); network.pop_front()) {
      const ShareMessage message = network.front();
      if (const auto* request = std::get_if<ShareRequest>(&message.body)) {
        send(issuer.Receive(*request, clock.Now()));
      } else if (const auto* returned =
                     std::get_if<ShareReturn>(&message.body)) {
        send(issuer.Receive(*returned, clock.Now()));
      } else {
        const auto& transfer = std::get<ShareTransfer>(message.body);
        send(ledgers[std::stoi(message.to)].Receive(transfer, clock.Now()));
      }
    }
  }
  std::cout << admitted << " admitted in " << kSeconds << " s\n";
  return admitted > 0 && admitted <= kRate * kSeconds + kBurst ? 0 : 1;
}
