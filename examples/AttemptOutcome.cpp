// A server executes a payment at most once and reports its outcome to a sender
// that lost the connection.
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

  // The request arrives and runs; a duplicate of it does not run.
  bool passed = table.Begin(paid, clock.Now()) == BeginResult::Started &&
                table.Begin(paid, clock.Now()) == BeginResult::Duplicate;

  // The sender loses its connection and queries the outcome on another one
  // while the request runs.
  const AttemptWaiter waiter{.connection = 2, .stream = 1};
  passed = passed && table.Query(paid, seconds(1), clock.Now(), waiter).state ==
                         AttemptState::Running;

  // When the request ends, the waiters get the stored response.
  clock.Advance(seconds(1));
  const auto response = std::make_shared<StoredResponse>(
      StoredResponse{.status = 201, .body = "receipt 17"});
  const auto waiters = table.Finish(
      paid, {.outcome = Outcome::Ran, .response = response}, clock.Now());
  passed = passed && waiters.size() == 1 && waiters.front() == waiter &&
           table.ReplyOf(paid).response->body == "receipt 17";

  // This request is queried before it arrives: the sender is told that it did
  // not run, so it must not run when it arrives later.
  passed = passed &&
           table.Query(late, seconds(1), clock.Now()).state ==
               AttemptState::NotRun &&
           table.Begin(late, clock.Now()) == BeginResult::Tombstoned;

  // The outcome of attempts older than the query window is unknown.
  passed = passed &&
           table.Query(Id128::Generate(), seconds(51), clock.Now()).state ==
               AttemptState::Unknown;
  std::cout << (passed ? "each payment ran at most once\n" : "wrong\n");
  return passed ? 0 : 1;
}
