#include "Process/ProcessFleet.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <condition_variable>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include "Core/Error.h"
#include "Core/RandomSource.h"

namespace fescueline::test {

namespace {
using nlohmann::json;

constexpr const char* kCredential = "operator-credential-of-process-tests";
constexpr const char* kSecret = "fleet-secret-of-process-tests-0123456789";
constexpr Duration kPoll = std::chrono::milliseconds(20);
constexpr Duration kOperatorTimeout = std::chrono::seconds(30);

bool IsFree(uint16_t aPort) {
  const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool free =
      bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
  close(probe);
  return free;
}

/// A free port below the kernel's range for outgoing connections. A connection
/// could otherwise take the port before its listener is started, or while a
/// killed node is restarted.
uint16_t FreePort() {
  constexpr uint64_t kLow = 12000;
  constexpr uint64_t kCount = 20000;
  static uint64_t next = ThreadRandom().NextBelow(kCount);
  for (;;) {
    const auto port = static_cast<uint16_t>(kLow + next++ % kCount);
    if (IsFree(port)) {
      return port;
    }
  }
}

std::string Loopback(uint16_t aPort) {
  return fmt::format("127.0.0.1:{}", aPort);
}

void CheckAccepted(const Reply& aReply, const std::string& aWhat) {
  if (aReply.status != 200) {
    throw Error("test.operate", aWhat,
                fmt::format("status {}: {}", aReply.status, aReply.body));
  }
}
}  // namespace

std::string Reply::Header(std::string_view aName) const {
  return std::string(FindHeader(this->headers, aName).value_or(""));
}

json Reply::Json() const { return json::parse(this->body, nullptr, false); }

HttpHeaders Bearer(const std::string& aKey) {
  return {{"Authorization", "Bearer " + aKey}};
}

bool WaitFor(Duration aLimit, const std::function<bool()>& aCondition) {
  const TimePoint limit = SteadyClock().Now() + aLimit;
  while (!aCondition()) {
    if (SteadyClock().Now() > limit) {
      return false;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

/// Shared with the transfers, which may outlive the series.
struct CallSeries::State {
  std::mutex mutex;
  std::condition_variable changed;
  size_t open = 0;
  std::map<std::string, Reply> replies;
};

std::shared_ptr<CallSeries::State> CallSeries::MakeState() {
  return std::make_shared<State>();
}

void CallSeries::Start(HttpClient& aClient, const std::string& aWorkId,
                       HttpTransferRequest aRequest) {
  {
    const std::lock_guard lock(this->state->mutex);
    this->state->open++;
  }
  aRequest.headers.push_back({"x-work-id", aWorkId});
  const auto reply = std::make_shared<Reply>();
  aClient.Start(std::move(aRequest),
                {.onHead =
                     [reply](int aStatus, HttpHeaders aHeaders, int64_t) {
                       reply->status = aStatus;
                       reply->headers = std::move(aHeaders);
                     },
                 .onData = [reply](std::string aData) { reply->body += aData; },
                 .onDone =
                     [reply, aWorkId,
                      state = this->state](const HttpTransferResult& aResult) {
                       const std::lock_guard lock(state->mutex);
                       reply->result = aResult;
                       state->replies[aWorkId] = std::move(*reply);
                       state->open--;
                       state->changed.notify_all();
                     }});
}

bool CallSeries::WaitAll(Duration aLimit) {
  std::unique_lock lock(this->state->mutex);
  return this->state->changed.wait_for(
      lock, aLimit, [this] { return this->state->open == 0; });
}

std::map<std::string, Reply> CallSeries::Replies() {
  const std::lock_guard lock(this->state->mutex);
  return this->state->replies;
}

ProcessFleet::ProcessFleet(Settings aSettings)
    : settings(std::move(aSettings)) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "fescueline-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw Error("test.folder", pattern, "cannot be created");
  }
  this->folder = pattern;
  std::ofstream(this->File("secret")) << kSecret;
  std::ofstream(this->File("credential")) << kCredential;
  this->tablePort = FreePort();
  this->table = ChildProcess("fescueline-table-stand-in",
                             {"--listen", Loopback(this->tablePort)},
                             this->File("table.log"));
  for (const Instance& instance : this->settings.instances) {
    this->nodes.push_back({.instance = instance,
                           .callers = FreePort(),
                           .local = FreePort(),
                           .peers = FreePort(),
                           .control = FreePort(),
                           .admin = FreePort()});
  }
  for (size_t i = 0; i < this->nodes.size(); ++i) {
    this->WriteSettings(i);
    this->StartNode(i);
    this->StartTarget(i);
  }
}

ProcessFleet::~ProcessFleet() {
  for (Member& member : this->nodes) {
    member.target.Kill();
    member.process.Kill();
  }
  this->table.Kill();
  // FESCUELINE_KEEP keeps logs and journals for debugging.
  if (std::getenv("FESCUELINE_KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }
}

std::string ProcessFleet::File(const std::string& aName) const {
  return this->folder + "/" + aName;
}

void ProcessFleet::WriteSettings(size_t aNode) {
  const Member& member = this->nodes[aNode];
  std::ofstream(this->File(fmt::format("node{}.yaml", aNode))) << fmt::format(
      "node: node-{}\ndata_centre: dc1\nregion: region1\n"
      "listen: {{callers: '{}', target: '{}', peers: '{}', control: '{}', "
      "admin: '{}'}}\n"
      "advertise: {{peers: '{}', control: '{}'}}\n"
      "table: http://{}\nfleet_secret_file: secret\n"
      "operator_credential_file: credential\n"
      "limits: {{freshness_limit: {}, refresh_interval: 100ms}}\n",
      aNode + 1, Loopback(member.callers), Loopback(member.local),
      Loopback(member.peers), Loopback(member.control), Loopback(member.admin),
      Loopback(member.peers), Loopback(member.control),
      Loopback(this->tablePort), this->settings.freshnessLimit);
}

void ProcessFleet::StartNode(size_t aNode) {
  this->nodes[aNode].process = ChildProcess(
      "fescueline",
      {"node", "--settings", this->File(fmt::format("node{}.yaml", aNode))},
      this->File(fmt::format("node{}.log", aNode)));
}

void ProcessFleet::StartTarget(size_t aTarget) {
  Member& member = this->nodes[aTarget];
  std::vector<std::string> arguments = {
      "--node",    "http://" + Loopback(member.local),
      "--service", member.instance.service,
      "--journal", this->File(fmt::format("target{}.journal", aTarget))};
  arguments.insert(arguments.end(), member.instance.targetArguments.begin(),
                   member.instance.targetArguments.end());
  const std::string log = this->File(fmt::format("target{}.log", aTarget));
  std::filesystem::remove(log);
  member.target = ChildProcess("fescueline-target-stand-in", arguments, log);
}

bool ProcessFleet::WaitReady(Duration aLimit) {
  return WaitFor(aLimit, [this] {
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      const json status = this->CallAdmin("GET", "/v1/status", "", i).Json();
      if (!status.is_object() || !status["node"]["ready"].get<bool>() ||
          status["node"]["members"].size() != this->nodes.size() ||
          status["node"]["vouchers"].size() != this->nodes.size() ||
          status["node"]["vouchers_changing"].get<bool>()) {
        return false;
      }
      for (const json& member : status["node"]["members"]) {
        if (member["service"] == "") {
          return false;
        }
      }
    }
    return true;
  });
}

HttpTransferRequest ProcessFleet::OperatorRequest(
    const std::string& aMethod, const std::string& aPath,
    const std::string& aBody, size_t aNode, const std::string& aVersion) const {
  return {.url = "http://" + Loopback(this->nodes[aNode].admin) + aPath,
          .method = aMethod,
          .headers = {{"Authorization", std::string("Bearer ") + kCredential},
                      {"Content-Type", "application/json"},
                      {"If-Match", aVersion}},
          .body = aBody,
          .timeout = kOperatorTimeout};
}

Reply ProcessFleet::CallAdmin(const std::string& aMethod,
                              const std::string& aPath,
                              const std::string& aBody, size_t aNode,
                              const std::string& aVersion) {
  return this->Fetch(
      this->OperatorRequest(aMethod, aPath, aBody, aNode, aVersion));
}

std::string ProcessFleet::CreateCaller(const std::string& aOrganisation,
                                       double aRate, double aBurst) {
  const json record = {{"rate", aRate}, {"burst", aBurst}, {"weight", 1}};
  CheckAccepted(
      this->CallAdmin("PUT", "/v1/config/org/" + aOrganisation, record.dump()),
      aOrganisation);
  const json grant = {{"organisation", aOrganisation}};
  const Reply reply = this->CallAdmin("POST", "/v1/keys", grant.dump());
  CheckAccepted(reply, "key");
  const std::string key = reply.Json()["key"].get<std::string>();
  this->keyIds[key] = reply.Json()["id"].get<std::string>();
  return key;
}

void ProcessFleet::CreateRoute(const std::string& aName,
                               const std::string& aService,
                               const std::string& aLabels) {
  const json record = {{"service", aService},
                       {"path_prefix", "/" + aName},
                       {"labels", json::parse(aLabels)}};
  CheckAccepted(
      this->CallAdmin("PUT", "/v1/config/route/" + aName, record.dump()),
      aName);
}

std::string ProcessFleet::ServeFees() {
  if (!this->WaitReady()) {
    return "";
  }
  const std::string key = this->CreateCaller("acme", 1000, 1000);
  this->CreateRoute("fees", "fees");
  for (size_t node = 0; node < this->Size(); ++node) {
    if (!this->WaitServed(node, key, "/fees")) {
      return "";
    }
  }
  return key;
}

bool ProcessFleet::WaitServed(size_t aNode, const std::string& aKey,
                              const std::string& aPath, Duration aLimit) {
  return WaitFor(aLimit, [&] {
    return this->Call(aNode, {.url = aPath, .headers = Bearer(aKey)}).status ==
           200;
  });
}

void ProcessFleet::SetTableFault(const std::string& aJson) {
  const Reply reply =
      this->Fetch({.url = "http://" + Loopback(this->tablePort) + "/control",
                   .method = "POST",
                   .body = aJson});
  CheckAccepted(reply, "table");
}

Reply ProcessFleet::Call(size_t aNode, HttpTransferRequest aRequest) {
  aRequest.url = this->CallerUrl(aNode) + aRequest.url;
  return this->Fetch(std::move(aRequest));
}

std::string ProcessFleet::CallerUrl(size_t aNode) const {
  return "http://" + Loopback(this->CallerPort(aNode));
}

uint16_t ProcessFleet::CallerPort(size_t aNode) const {
  return this->nodes[aNode].callers;
}

Reply ProcessFleet::CallTarget(size_t aTarget, const std::string& aMethod,
                               const std::string& aPath,
                               const std::string& aBody) {
  std::ifstream log(this->File(fmt::format("target{}.log", aTarget)));
  std::string word;
  std::string address;
  // The log begins with "listening ADDRESS".
  log >> word >> address;
  return this->Fetch(
      {.url = "http://" + address + aPath, .method = aMethod, .body = aBody});
}

std::map<std::string, uint64_t> ProcessFleet::Journal(
    size_t aTarget, const std::string& aEvent) const {
  std::ifstream file(this->File(fmt::format("target{}.journal", aTarget)));
  std::map<std::string, uint64_t> counts;
  for (std::string event, id; file >> event >> id;) {
    if (event == aEvent) {
      counts[id]++;
    }
  }
  return counts;
}

std::map<std::string, uint64_t> ProcessFleet::Executions() const {
  std::map<std::string, uint64_t> counts;
  for (size_t i = 0; i < this->nodes.size(); ++i) {
    for (const auto& [id, count] : this->Journal(i, "run")) {
      counts[id] += count;
    }
  }
  return counts;
}

uint64_t ProcessFleet::ExecutionCount() const {
  uint64_t count = 0;
  for (const auto& [id, runs] : this->Executions()) {
    count += runs;
  }
  return count;
}

Reply ProcessFleet::Fetch(HttpTransferRequest aRequest) {
  CallSeries series;
  const Duration limit = aRequest.timeout + std::chrono::seconds(5);
  series.Start(this->client, "-", std::move(aRequest));
  return series.WaitAll(limit) ? series.Replies()["-"] : Reply{};
}

}  // namespace fescueline::test
