#include <doctest/doctest.h>

#include <deque>

#include "Http1/RawPeer.h"
#include "PlatformAdapter/MeshTestFleet.h"
#include "Process/ProcessNode.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

// Guards against a planned stop that ends while callers still read responses
// which their target has sent completely.
TEST_CASE("process-stop-with-slow-callers") {
  constexpr size_t kPadding = 300'000;
  constexpr int kCallers = 4;
  MeshTestFleetOf<ProcessNode> fleet(
      {.fronts = 1, .deeps = 0, .frontCalls = false, .stopLimit = 12s});
  fleet.Target(0).SetPadding(kPadding);
  REQUIRE(RunUntil(fleet.io, [&] {
    return fleet.Call(0, "GET", "/lookup/").status == 200;
  }));
  const uint64_t runs = fleet.Target(0).Runs();
  std::deque<RawPeer> callers;
  for (int i = 0; i < kCallers; ++i) {
    RawPeer& caller = callers.emplace_back(fleet.io);
    caller.ConnectSmallWindow(fleet.CallerPort(0));
    caller.Send(
        fmt::format("GET /lookup/ HTTP/1.1\r\nHost: h\r\n"
                    "X-Request-Id: slow{}\r\nApi-Key: acme-key\r\n\r\n",
                    i));
    caller.Pause();
  }
  REQUIRE(RunUntil(fleet.io,
                   [&] { return fleet.Target(0).Runs() == runs + kCallers; }));
  fleet.Pass(300ms);
  fleet.Node(0).Stop();
  // Longer than a planned stop takes without slow callers.
  fleet.Pass(4s);
  for (RawPeer& caller : callers) {
    caller.Resume();
  }
  for (RawPeer& caller : callers) {
    RunUntil(
        fleet.io,
        [&] { return caller.closed || caller.received.size() > kPadding; }, 6s);
    CAPTURE(caller.received.size());
    CHECK(caller.received.starts_with("HTTP/1.1 200 "));
    CHECK(caller.received.size() > kPadding);
  }
  CHECK(fleet.Node(0).WaitExit(5s) == 0);
}
