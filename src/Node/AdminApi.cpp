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

HttpResponse TextResponse(int aStatus, std::string aBody) {
  return {.status = aStatus,
          .headers = {{"Content-Type", "text/plain"}},
          .body = std::move(aBody)};
}
}  // namespace

AdminApi::AdminApi(Dependencies aDependencies)
    : dependencies(std::move(aDependencies)) {
  for (auto& worker : this->workers) {
    worker = this->MakeWorker();
  }
}

std::unique_ptr<AdminApi::Worker> AdminApi::MakeWorker() {
  auto worker = std::unique_ptr<Worker>(new Worker{
      .table = this->dependencies.makeTable(), .api = {}, .thread = {}});
  worker->api = std::make_unique<ConfigApi<TableClient>>(
      this->dependencies.config, worker->table,
      ConfigApiOptions{.credential = this->dependencies.credential,
                       .awaitAcceptance =
                           [this, table = &worker->table](uint64_t aVersion) {
                             return this->AwaitAcceptance(*table, aVersion);
                           },
                       .nodeStatus = this->dependencies.status});
  return worker;
}

void AdminApi::Handle(const HttpExchangePtr& aExchange) {
  const HttpRequest& request = aExchange->Request();
  const std::string_view path = PathOf(request.target);
  if (path == "/metrics") {
    aExchange->Respond(TextResponse(200, this->dependencies.metrics.Page()));
    return;
  }
  if (path == "/health") {
    aExchange->Respond(TextResponse(200, "alive\n"));
    return;
  }
  if (path == "/ready") {
    const bool ready = this->dependencies.isReady();
    aExchange->Respond(TextResponse(
        ready ? 200 : 503,
        ready ? "ready\n" : this->dependencies.notReadyReason() + "\n"));
    return;
  }
  Worker& worker = this->WorkerFor(request);
  const bool posted = worker.thread.Post([&worker, aExchange] {
    const ApiResponse response =
        worker.api->Handle(ToApiRequest(aExchange->Request()));
    aExchange->Respond({.status = static_cast<int>(response.status),
                        .headers = {{"Content-Type", "application/json"}},
                        .body = response.body});
  });
  if (!posted) {
    aExchange->Respond(TextResponse(503, "too many operator requests\n"));
  }
}

AdminApi::Worker& AdminApi::WorkerFor(const HttpRequest& aRequest) {
  if (aRequest.method == "GET" || PathOf(aRequest.target) == "/v1/explain") {
    return *this->workers[kReadWorker];
  }
  // A repeated request must reach the worker that remembers the first one.
  const auto token = FindHeader(aRequest.headers, "Fescueline-Token");
  const uint64_t spread =
      token ? std::hash<std::string_view>{}(*token) : ThreadRandom().Next();
  return *this->workers[1 + spread % (kWorkers - 1)];
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
  for (auto& worker : this->workers) {
    worker->thread.Stop();
  }
}

}  // namespace fescueline
