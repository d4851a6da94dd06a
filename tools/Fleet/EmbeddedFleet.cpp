#include "EmbeddedFleet.h"

#include <future>
#include <nlohmann/json.hpp>
#include <thread>

#include "Core/Error.h"

namespace fescueline {

namespace {
using Json = nlohmann::json;

constexpr const char* kCredential = "operator-credential-of-the-stand-in";
constexpr const char* kSecret = "fleet-secret-of-the-stand-in-fleet-0123";
constexpr Duration kPoll = std::chrono::milliseconds(20);
/// Time limit of an operator's request, including the time until the fleet
/// has accepted a change.
constexpr Duration kAcceptance = std::chrono::seconds(20);

NodeSettings SettingsFor(const EmbeddedFleet::Settings& aFleet, size_t aIndex) {
  const SocketAddress any{.host = "127.0.0.1", .port = 0};
  NodeSettings settings;
  settings.node = "node-" + std::to_string(aIndex + 1);
  settings.dataCentre = aFleet.instances[aIndex].dataCentre;
  settings.region = "region1";
  settings.listenCallers = settings.listenTarget = settings.listenPeers = any;
  settings.listenControl = settings.listenAdmin = any;
  settings.advertisePeers = settings.advertiseControl = any;
  settings.table = "embedded";
  settings.fleetSecret = Secret(kSecret);
  settings.operatorCredential = Secret(kCredential);
  settings.workers = aFleet.workers;
  settings.freshnessLimit = aFleet.freshnessLimit;
  settings.refreshInterval = std::chrono::milliseconds(100);
  settings.maxBody = uint64_t{1024} * 1024;
  settings.queueLength = aFleet.queueLength;
  settings.attempts = 4096;
  settings.retryRatio = 0.1;
  settings.shareWait = std::chrono::milliseconds(50);
  settings.drainDeadline = std::chrono::seconds(10);
  return settings;
}
}  // namespace

EmbeddedFleet::EmbeddedFleet(const Settings& aSettings) {
  const EmbeddedTables tables{.config = std::make_shared<MemoryTableStore>(),
                              .claims = std::make_shared<MemoryTableStore>()};
  for (size_t i = 0; i < aSettings.instances.size(); ++i) {
    this->nodes.push_back(
        std::make_unique<Node>(SettingsFor(aSettings, i), tables));
    this->nodes.back()->Start();
    StandInTarget::Settings target = aSettings.instances[i].target;
    target.service = aSettings.instances[i].service;
    target.nodeUrl =
        "http://127.0.0.1:" + std::to_string(this->nodes[i]->TargetPort());
    this->targets.push_back(std::make_unique<StandInTarget>(target));
  }
}

EmbeddedFleet::~EmbeddedFleet() {
  this->targets.clear();
  this->nodes.clear();
}

template <typename Condition>
bool EmbeddedFleet::WaitFor(Duration aLimit, Condition aCondition) {
  const TimePoint limit = SteadyClock().Now() + aLimit;
  while (!aCondition()) {
    if (SteadyClock().Now() > limit) {
      return false;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

bool EmbeddedFleet::WaitReady(Duration aLimit) {
  return WaitFor(aLimit, [this] {
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      if (!this->nodes[i]->IsReady()) {
        return false;
      }
      const Response response = this->CallAdmin("GET", "/v1/status", "", i);
      const Json status = Json::parse(response.body, nullptr, false);
      if (!status.is_object() ||
          status["node"]["members"].size() != this->nodes.size()) {
        return false;
      }
      for (const Json& member : status["node"]["members"]) {
        if (member["service"].get<std::string>().empty()) {
          return false;
        }
      }
    }
    return true;
  });
}

EmbeddedFleet::Response EmbeddedFleet::Fetch(HttpClient& aClient,
                                             HttpTransferRequest aRequest) {
  const auto response = std::make_shared<Response>();
  const auto done = std::make_shared<std::promise<void>>();
  aClient.Start(
      std::move(aRequest),
      {.onHead =
           [response](int aStatus, HttpHeaders aHeaders, int64_t) {
             response->status = aStatus;
             response->headers = std::move(aHeaders);
           },
       .onData =
           [response](const std::string& aData) { response->body += aData; },
       .onDone =
           [response, done](const HttpTransferResult& aResult) {
             response->complete = aResult.complete;
             done->set_value();
           }});
  done->get_future().wait();
  return *response;
}

EmbeddedFleet::Response EmbeddedFleet::CallAdmin(const std::string& aMethod,
                                                 const std::string& aPath,
                                                 const std::string& aBody,
                                                 size_t aNode) {
  HttpTransferRequest request{
      .url = "http://127.0.0.1:" +
             std::to_string(this->nodes[aNode]->AdminPort()) + aPath,
      .method = aMethod,
      .headers = {{"Authorization", std::string("Bearer ") + kCredential},
                  {"Content-Type", "application/json"}},
      .body = aBody,
      .timeout = kAcceptance};
  if (aMethod == "PUT") {
    request.headers.push_back({"If-Match", "0"});
  }
  return Fetch(this->client, std::move(request));
}

void EmbeddedFleet::CreateOrganisation(const std::string& aName, double aRate,
                                       double aBurst) {
  const Json body = {{"rate", aRate}, {"burst", aBurst}, {"weight", 1}};
  const Response response =
      this->CallAdmin("PUT", "/v1/config/org/" + aName, body.dump());
  if (response.status != 200) {
    throw Error("fleet.organisation", aName, response.body);
  }
}

std::string EmbeddedFleet::GrantKey(const std::string& aOrganisation) {
  const Json body = {{"organisation", aOrganisation}};
  const Response response = this->CallAdmin("POST", "/v1/keys", body.dump());
  if (response.status != 200) {
    throw Error("fleet.key", aOrganisation, response.body);
  }
  return Json::parse(response.body)["key"].get<std::string>();
}

void EmbeddedFleet::CreateRoute(const std::string& aName,
                                const std::string& aService,
                                const std::string& aPrefix,
                                const std::string& aLabels) {
  const Json body = {{"service", aService},
                     {"path_prefix", aPrefix},
                     {"labels", Json::parse(aLabels)}};
  const Response response =
      this->CallAdmin("PUT", "/v1/config/route/" + aName, body.dump());
  if (response.status != 200) {
    throw Error("fleet.route", aName, response.body);
  }
}

std::string EmbeddedFleet::CallerUrl(size_t aNode) const {
  return "http://127.0.0.1:" + std::to_string(this->nodes[aNode]->CallerPort());
}

EmbeddedFleet::Response EmbeddedFleet::Call(size_t aNode,
                                            HttpTransferRequest aRequest) {
  aRequest.url = this->CallerUrl(aNode) + aRequest.url;
  return Fetch(this->client, std::move(aRequest));
}

bool EmbeddedFleet::StopNode(size_t aNode) {
  return this->nodes[aNode]->Stop();
}

}  // namespace fescueline
