#include <doctest/doctest.h>

#include <atomic>
#include <thread>

#include "Process/KeepAliveCaller.h"
#include "Process/ProcessFleet.h"

using namespace fescueline;
using namespace fescueline::test;

namespace {
/// Sends requests with a key to every node until it is stopped. The work ids
/// show whether a request was sent before or after the acceptance.
class Callers {
 public:
  Callers(ProcessFleet& aFleet, const std::string& aKey)
      : fleet(aFleet), key(aKey), thread([this] { this->Run(); }) {}
  ~Callers() { this->Stop(); }
  /// From now on, requests count as sent after the acceptance.
  void SetAccepted() { this->accepted = true; }
  void Stop() {
    this->stopping = true;
    if (this->thread.joinable()) {
      this->thread.join();
    }
    this->series.WaitAll(std::chrono::seconds(20));
  }
  std::map<std::string, Reply> Replies() { return this->series.Replies(); }

 private:
  void Run() {
    for (uint64_t i = 0; !this->stopping; ++i) {
      const std::string id =
          (this->accepted ? "after-" : "before-") + std::to_string(i);
      this->series.Start(
          this->client, id,
          {.url = this->fleet.CallerUrl(i % this->fleet.Size()) + "/fees",
           .headers = Bearer(this->key)});
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }

  ProcessFleet& fleet;
  std::string key;
  HttpClient client;
  CallSeries series;
  std::atomic<bool> accepted{false};
  std::atomic<bool> stopping{false};
  std::thread thread;
};

uint64_t CountAfter(const std::map<std::string, uint64_t>& aExecutions) {
  uint64_t count = 0;
  for (const auto& [id, runs] : aExecutions) {
    count += id.starts_with("after-") ? runs : 0;
  }
  return count;
}
}  // namespace

// Guards against a node that checks a key only when a connection opens, so that
// connected callers can still use a withdrawn key.
TEST_CASE("process-withdrawn-key-open-connection") {
  ProcessFleet fleet({});
  const std::string key = fleet.ServeFees();
  REQUIRE(!key.empty());
  std::vector<std::unique_ptr<KeepAliveCaller>> callers;
  for (size_t node = 0; node < fleet.Size(); ++node) {
    callers.push_back(
        std::make_unique<KeepAliveCaller>(fleet.CallerPort(node)));
    CHECK(callers.back()->Get("/fees", key, "before") == 200);
  }
  const Reply withdrawn =
      fleet.CallAdmin("DELETE", "/v1/keys/" + fleet.KeyId(key), "");
  REQUIRE_MESSAGE(withdrawn.status == 200, withdrawn.body);
  for (size_t node = 0; node < fleet.Size(); ++node) {
    CAPTURE(node);
    CHECK(callers[node]->Get("/fees", key, "after") == 401);
  }
  CHECK(fleet.Executions()["before"] == fleet.Size());
  CHECK(fleet.Executions()["after"] == 0);
}

// Guards against a node that was paused during the withdrawal and, when it
// resumes, serves requests under its outdated configuration.
TEST_CASE("process-withdrawn-key-frozen-node") {
  ProcessFleet fleet({});
  const std::string key = fleet.ServeFees();
  REQUIRE(!key.empty());
  constexpr size_t kFrozen = 2;
  Callers callers(fleet, key);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  fleet.Node(kFrozen).Freeze();
  const Reply withdrawn =
      fleet.CallAdmin("DELETE", "/v1/keys/" + fleet.KeyId(key), "");
  REQUIRE_MESSAGE(withdrawn.status == 200, withdrawn.body);
  callers.SetAccepted();
  const uint64_t runAtAcceptance = fleet.ExecutionCount();
  // Requests from before and after the acceptance wait at the frozen node.
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  fleet.Node(kFrozen).Thaw();
  std::this_thread::sleep_for(std::chrono::seconds(2));
  callers.Stop();
  const auto executions = fleet.Executions();
  CHECK(executions.size() > 10);
  CHECK(CountAfter(executions) == 0);
  // Requests that were sent before the acceptance and arrive after it do not
  // run either.
  CHECK(fleet.ExecutionCount() == runAtAcceptance);
  for (const auto& [id, reply] : callers.Replies()) {
    CAPTURE(id);
    CAPTURE(reply.status);
    if (id.starts_with("after-")) {
      CHECK(reply.status != 200);
    }
  }
}
