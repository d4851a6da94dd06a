#include <doctest/doctest.h>
#include <sys/resource.h>

#include <filesystem>
#include <fstream>
#include <vector>

#include "PlatformAdapter/MeshTestFleet.h"
#include "Process/Crowd.h"
#include "Process/ProcessNode.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

/// Highest resident set of the node, bytes. It has about 15 MB without load.
constexpr size_t kMaxResidentBytes = size_t{64} << 20;
/// Body of legal size.
constexpr size_t kBodyBytes = 1'000'000;
/// Callers with bodies of kBodyBytes.
constexpr size_t kCrowd = 96;
/// Callers with heads of many fields, of each of two kinds.
constexpr size_t kFieldCrowd = 1000;
/// Descriptor limit of the node in the tests of connections, and the bound on
/// the descriptors that it may use. The rest is for targets, peers and store.
constexpr size_t kDescriptorLimit = 256;
constexpr size_t kMaxDescriptors = 200;
/// More connections than kDescriptorLimit.
constexpr size_t kConnectionCrowd = 400;

using Fleet = MeshTestFleetOf<ProcessNode>;

/// One node with one target.
constexpr size_t kNode = 0;
Fleet::Settings OneNode() {
  return {.fronts = 1,
          .deeps = 0,
          .frontCalls = false,
          .memoryLimit = size_t{32} << 20};
}

/// Sets the descriptor limit that processes started by this one inherit.
class DescriptorLimit {
 public:
  explicit DescriptorLimit(size_t aLimit) {
    getrlimit(RLIMIT_NOFILE, &this->before);
    rlimit lower = this->before;
    lower.rlim_cur = aLimit;
    setrlimit(RLIMIT_NOFILE, &lower);
  }
  DescriptorLimit(const DescriptorLimit&) = delete;
  DescriptorLimit& operator=(const DescriptorLimit&) = delete;
  ~DescriptorLimit() {
    // Also for the sockets of the crowd.
    this->before.rlim_cur = this->before.rlim_max;
    setrlimit(RLIMIT_NOFILE, &this->before);
  }

 private:
  rlimit before{};
};

/// Highest resident set so far, bytes; 0 if the process has ended.
size_t PeakResidentBytes(pid_t aProcess) {
  std::ifstream lines("/proc/" + std::to_string(aProcess) + "/status");
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("VmHWM:")) {
      return std::stoul(line.substr(6)) * 1024;
    }
  }
  return 0;
}

size_t DescriptorsOf(pid_t aProcess) {
  size_t count = 0;
  std::error_code error;
  for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator(
           "/proc/" + std::to_string(aProcess) + "/fd", error)) {
    ++count;
  }
  return count;
}

/// Checks the node while the crowd is still connected.
void CheckNode(Fleet& aFleet) {
  const pid_t process = aFleet.Node(kNode).Pid();
  const size_t peak = PeakResidentBytes(process);
  CAPTURE(peak);
  CHECK(peak > 0);
  CHECK(peak <= kMaxResidentBytes);
  const std::string metrics = aFleet.MetricsPage(kNode);
  const MeshAnswer answer = aFleet.Call(kNode, "GET", "/lookup/");
  if (answer.status != 200) {
    MESSAGE(metrics);
  }
  CHECK(answer.status == 200);
  CHECK(answer.complete);
}

/// Port and path at which a crowd arrives.
struct Door {
  const char* what;
  uint16_t port;
  const char* path;
};

std::vector<Door> Doors(const Fleet& aFleet) {
  const MeshSettings& settings = aFleet.SettingsOf(kNode);
  return {
      {"a route", settings.listenCallers.port, "/lookup/"},
      {"no route", settings.listenCallers.port, "/none/"},
      {"ready", settings.listenReady.port, "/v1/readyz"},
      {"reports", settings.listenReports.port, "/v1/Instances.Heartbeat/i"}};
}

std::string Head(const Door& aDoor, const std::string& aFields) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: h\r\nApi-Key: acme-key\r\n{}\r\n", aDoor.path,
      aFields);
}

}  // namespace

// Guards against a process that runs out of memory for bodies of legal size
// that stop one byte before their end.
TEST_CASE("process-crowd-with-unfinished-bodies") {
  Fleet fleet(OneNode());
  const std::string length = fmt::format("Content-Length: {}\r\n", kBodyBytes);
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  for (const Door& door : Doors(fleet)) {
    CAPTURE(door.what);
    for (const Crowd::Behaviour& behaviour : std::vector<Crowd::Behaviour>{
             {.begin = Head(door, length),
              .piece = std::string(kBodyBytes - 1, 'b'),
              .count = 1},
             {.begin = Head(door, length),
             .piece = std::string(999, 'b'),
             .count = kBodyBytes / 1000},
             {.begin = Head(door, chunked),
             .piece = fmt::format("3e7\r\n{}\r\n", std::string(999, 'b')),
             .count = kBodyBytes / 1000}}) {
      Crowd crowd(fleet.io, door.port, kCrowd, behaviour);
      crowd.Settle();
      CheckNode(fleet);
    }
  }
}

// Guards against a process that holds bodies which it will reject.
TEST_CASE("process-crowd-with-bodies-over-the-limit") {
  Fleet fleet(OneNode());
  for (const Door& door : Doors(fleet)) {
    CAPTURE(door.what);
    for (const Crowd::Behaviour& behaviour : std::vector<Crowd::Behaviour>{
             {.begin = Head(door, "Content-Length: 1000000000\r\n"),
              .piece = std::string(100'000, 'b'),
              .count = 40},
             {.begin = Head(door, "Transfer-Encoding: chunked\r\n"),
             .piece = fmt::format("186a0\r\n{}\r\n", std::string(100'000, 'b')),
             .count = 40}}) {
      Crowd crowd(fleet.io, door.port, kCrowd, behaviour);
      crowd.Settle();
      CheckNode(fleet);
    }
  }
}

// Guards against a process that runs out of memory for heads that are legal in
// size but have many short fields, each of which costs more than its bytes.
TEST_CASE("process-crowd-with-many-short-fields") {
  const DescriptorLimit limit(4096);
  Fleet fleet(OneNode());
  std::string fields;
  for (int i = 0; i < 490; ++i) {
    fields += "a:b\r\n";
  }
  for (const Door& door : Doors(fleet)) {
    CAPTURE(door.what);
    // Heads without their end, and bodies that never arrive.
    Crowd heads(fleet.io, door.port, kFieldCrowd,
                {.begin = Head(door, fields).substr(0, 2500)});
    Crowd bodies(fleet.io, door.port, kFieldCrowd,
                 {.begin = Head(door, fields + "Content-Length: 9\r\n")});
    heads.Settle();
    bodies.Settle();
    CheckNode(fleet);
  }
}

// Guards against memory for requests that are sent ahead by callers that read
// no response.
TEST_CASE("process-crowd-that-sends-ahead") {
  Fleet fleet(OneNode());
  for (const Door& door : Doors(fleet)) {
    CAPTURE(door.what);
    std::string requests;
    for (int i = 0; i < 100; ++i) {
      requests += fmt::format(
          "GET {} HTTP/1.1\r\nHost: h\r\nApi-Key: acme-key\r\n\r\n", door.path);
    }
    Crowd crowd(fleet.io, door.port, kCrowd,
                {.piece = requests, .count = 100, .reads = false});
    crowd.Settle();
    CheckNode(fleet);
  }
}

// Guards against memory for responses that callers request and do not read.
TEST_CASE("process-crowd-that-does-not-read") {
  Fleet fleet(OneNode());
  fleet.Target(kNode).SetPadding(300'000);
  const Door door = Doors(fleet).front();
  Crowd crowd(fleet.io, door.port, 250,
              {.begin = fmt::format("GET {} HTTP/1.1\r\nHost: h\r\n"
                                    "Api-Key: acme-key\r\n\r\n",
                                    door.path),
               .reads = false});
  crowd.Settle();
  fleet.Target(kNode).SetPadding(0);
  CheckNode(fleet);
}

// Guards against a process that has no descriptor left for ordinary callers, or
// that spins or ends because it cannot accept.
TEST_CASE("process-crowd-of-connections") {
  std::optional<DescriptorLimit> limit(std::in_place, kDescriptorLimit);
  Fleet fleet(OneNode());
  limit.reset();
  std::vector<Door> doors = Doors(fleet);
  doors.push_back({"peers", fleet.SettingsOf(kNode).listenPeers.port, ""});
  for (const Door& door : doors) {
    CAPTURE(door.what);
    const std::string request = fmt::format("GET {} HTTP/1.1\r\n", door.path);
    for (const Crowd::Behaviour& behaviour : std::vector<Crowd::Behaviour>{
             {.begin = ""},
             {.begin = request},
             {.begin = request, .halfCloses = true}}) {
      Crowd crowd(fleet.io, door.port, kConnectionCrowd, behaviour);
      crowd.Settle();
      CHECK(DescriptorsOf(fleet.Node(kNode).Pid()) <= kMaxDescriptors);
      CheckNode(fleet);
    }
  }
}

// Guards against bytes of a stranger at the peers' port that end the process or
// fill its memory.
TEST_CASE("process-crowd-at-the-peers-port") {
  Fleet fleet(OneNode());
  const uint16_t port = fleet.SettingsOf(kNode).listenPeers.port;
  const std::string hello = EncodeFrame(HelloFrame{
      .nodeId = "x", .incarnation = std::string(32, 'a'), .nonce = "n"});
  for (const Crowd::Behaviour& behaviour : std::vector<Crowd::Behaviour>{
           {.piece = std::string(100'000, '\xff'), .count = 40},
           {.piece = std::string(100'000, '\0'), .count = 40},
           {.begin = std::string("\0\0\x0f\xff", 4),
           .piece = std::string(100, 'x'),
           .count = 40},
           {.begin = hello, .piece = hello, .count = 40},
           {.begin = hello, .reads = false}}) {
    Crowd crowd(fleet.io, port, 200, behaviour);
    crowd.Settle();
    CheckNode(fleet);
  }
}
