// A server runs a payment at most once and tells a sender that lost its
// connection what became of it.
#include <iostream>
#include <memory>

#include "Outcome/AttemptTable.h"

using namespace fescueline;
using std::chrono::seconds;

int main() {
  ManualClock clock;
  AttemptTable table(AttemptTableSettings{});
  const Id128 paid = Id128::Generate();
  const Id128 late = Id128::Generate();

  // The request arrives and runs; a copy of it does not run again.
  bool right = table.Begin(paid, clock.Now()) == BeginResult::Started &&
               table.Begin(paid, clock.Now()) == BeginResult::Duplicate;

  // The sender lost its connection and asks on another one while it runs.
  const AttemptWaiter waiter{.connection = 2, .stream = 1};
  right = right && table.Query(paid, seconds(1), clock.Now(), waiter).state ==
                       AttemptState::Running;

  // At the end the waiters are answered with the stored response.
  clock.Advance(seconds(1));
  const auto response = std::make_shared<StoredResponse>(
      StoredResponse{.status = 201, .body = "receipt 17"});
  const auto waiters = table.Finish(
      paid, {.outcome = Outcome::Ran, .response = response}, clock.Now());
  right = right && waiters.size() == 1 && waiters.front() == waiter &&
          table.ReplyOf(paid).response->body == "receipt 17";

  // This request is asked for before it arrives: the sender is told that it
  // did not run, so it must not run when it arrives later.
  right = right &&
          table.Query(late, seconds(1), clock.Now()).state ==
              AttemptState::NotRun &&
          table.Begin(late, clock.Now()) == BeginResult::Tombstoned;

  // Nothing is promised about attempts older than the query window.
  right =
      right && table.Query(Id128::Generate(), seconds(51), clock.Now()).state ==
                   AttemptState::Unknown;
  std::cout << (right ? "each payment ran at most once\n" : "wrong\n");
  return right ? 0 : 1;
}
