#include "Node/AdminApi.h"

#include <future>

#include "Core/RandomSource.h"

namespace fescueline {

namespace {
ApiRequest ToApiRequest(const HttpRequest& aRequest) {
  ApiRequest request{.method = aRequest.method,
                     .path = std::string(PathOf(aRequest.target)),
                     .headers = {},
                     .body = aRequest.body};
  for (const HttpHeader& header : aRequest.headers) {
    request.headers.push_back({.name = header.name, .value = header.value});
  }
  return request;
}

HttpResponse Text(int aStatus, std::string aBody) {
  return {.status = aStatus,
          .headers = {{"Content-Type", "text/plain"}},
          .body = std::move(aBody)};
}
}  // namespace

AdminApi::AdminApi(Dependencies aDependencies)
    : dependencies(std::move(aDependencies)) {
  for (auto& lane : this->lanes) {
    lane = this->MakeLane();
  }
}

std::unique_ptr<AdminApi::Lane> AdminApi::MakeLane() {
  auto lane = std::unique_ptr<Lane>(new Lane{
      .table = this->dependencies.makeTable(), .api = {}, .thread = {}});
  lane->api = std::make_unique<ConfigApi<TableClient>>(
      this->dependencies.config, lane->table,
      ConfigApiOptions{.credential = this->dependencies.credential,
                       .awaitAcceptance =
                           [this, table = &lane->table](uint64_t aVersion) {
                             return this->AwaitAcceptance(*table, aVersion);
                           },
                       .nodeStatus = this->dependencies.status});
  return lane;
}

void AdminApi::Handle(const HttpExchangePtr& aExchange) {
  const HttpRequest& request = aExchange->Request();
  const std::string_view path = PathOf(request.target);
  if (path == "/metrics") {
    aExchange->Respond(Text(200, this->dependencies.metrics.Page()));
    return;
  }
  if (path == "/health") {
    aExchange->Respond(Text(200, "alive\n"));
    return;
  }
  if (path == "/ready") {
    const bool ready = this->dependencies.isReady();
    aExchange->Respond(
        Text(ready ? 200 : 503,
             ready ? "ready\n" : this->dependencies.whyNotReady() + "\n"));
    return;
  }
  Lane& lane = this->LaneFor(request);
  const bool posted = lane.thread.Post([&lane, aExchange] {
    const ApiResponse response =
        lane.api->Handle(ToApiRequest(aExchange->Request()));
    aExchange->Respond({.status = static_cast<int>(response.status),
                        .headers = {{"Content-Type", "application/json"}},
                        .body = response.body});
  });
  if (!posted) {
    aExchange->Respond(Text(503, "too many operator requests\n"));
  }
}

AdminApi::Lane& AdminApi::LaneFor(const HttpRequest& aRequest) {
  if (aRequest.method == "GET" || PathOf(aRequest.target) == "/v1/explain") {
    return *this->lanes[kReadLane];
  }
  // A repeated request must reach the worker that remembers the first one.
  const auto token = FindHeader(aRequest.headers, "Fescueline-Token");
  const uint64_t spread =
      token ? std::hash<std::string_view>{}(*token) : ThreadRandom().Next();
  return *this->lanes[1 + spread % (kLanes - 1)];
}

bool AdminApi::AwaitAcceptance(TableClient& aTable, uint64_t aVersion) {
  const auto accepted = std::make_shared<std::promise<void>>();
  this->dependencies.gossip.AwaitAcceptance(
      aVersion, [accepted] { accepted->set_value(); });
  try {
    this->dependencies.refresh(aTable);
  } catch (const std::exception&) {
    // The replica also receives the change from the reader thread or from
    // peers.
  }
  return accepted->get_future().wait_for(this->dependencies.acceptanceLimit) ==
         std::future_status::ready;
}

void AdminApi::Stop() {
  for (auto& lane : this->lanes) {
    lane->thread.Stop();
  }
}

}  // namespace fescueline
