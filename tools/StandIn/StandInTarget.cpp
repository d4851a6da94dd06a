#include "StandInTarget.h"

#include <fcntl.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "Core/Error.h"
#include "ExposedKey.h"

namespace fescueline {

namespace {
using Json = nlohmann::json;

constexpr std::string_view kContextHeader = "fescueline-context";
constexpr std::string_view kAttemptHeader = "fescueline-attempt";
constexpr Duration kStopTimeout = std::chrono::seconds(30);
constexpr size_t kChunkBytes = size_t{16} * 1024;

std::string HeaderOr(const HttpHeaders& aHeaders, std::string_view aName,
                     std::string_view aDefault) {
  return std::string(FindHeader(aHeaders, aName).value_or(aDefault));
}

uint64_t NumberOr(const HttpHeaders& aHeaders, std::string_view aName,
                  uint64_t aDefault) {
  const auto text = FindHeader(aHeaders, aName);
  return text ? std::stoull(std::string(*text)) : aDefault;
}

/// Copies the request's attempt id, by which the node matches the response to
/// its request.
HttpHeaders AttemptHeaders(const HttpHeaders& aRequest) {
  const auto attempt = FindHeader(aRequest, kAttemptHeader);
  return attempt
             ? HttpHeaders{{std::string(kAttemptHeader), std::string(*attempt)}}
             : HttpHeaders{};
}
}  // namespace

/// A request that the target handles.
struct StandInTarget::Job {
  HttpExchangePtr exchange;
  std::unique_ptr<asio::steady_timer> timer;
  /// Index of the next call in Settings::calls.
  size_t nextCall = 0;
  /// Status of the first call that failed; 0 if none did.
  int failedCall = 0;
  std::atomic<bool> aborted{false};
};

StandInTarget::StandInTarget(Settings aSettings)
    : settings(std::move(aSettings)),
      guard(asio::make_work_guard(this->io)),
      announceTimer(this->io),
      work(this->settings.workMicroseconds) {
  if (!this->settings.journal.empty()) {
    constexpr mode_t kMode = 0600;
    this->journal = open(this->settings.journal.c_str(),
                         O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kMode);
    if (this->journal < 0) {
      throw Error("stand-in.journal", this->settings.journal,
                  "the file cannot be opened");
    }
  }
  this->server = std::make_unique<HttpServer>(
      HttpServer::Settings{.io = this->io,
                           .host = "127.0.0.1",
                           .port = 0,
                           .onRequest = [this](HttpExchangePtr aExchange) {
                             this->OnRequest(std::move(aExchange));
                           }});
  this->thread = std::thread([this] { this->io.run(); });
  asio::post(this->io, [this] { this->Announce(); });
}

StandInTarget::~StandInTarget() {
  this->Stop();
  if (this->journal >= 0) {
    close(this->journal);
  }
}

void StandInTarget::Journal(const std::string& aEvent,
                            const HttpRequest& aRequest) const {
  if (this->journal < 0) {
    return;
  }
  const std::string line =
      aEvent + " " + HeaderOr(aRequest.headers, "x-work-id", "-") + "\n";
  // One write, so that a kill leaves no partial line.
  if (write(this->journal, line.data(), line.size()) !=
      static_cast<ssize_t>(line.size())) {
    std::abort();  // A missing line would make the counts wrong.
  }
}

uint16_t StandInTarget::Port() const { return this->server->Port(); }

void StandInTarget::Announce() {
  Json body = {{"service", this->settings.service},
               {"address", "127.0.0.1:" + std::to_string(this->Port())}};
  {
    const std::lock_guard lock(this->mutex);
    if (this->stopped) {
      return;
    }
    body["state"] = this->state;
    body["load"] = this->running + this->waiting.size();
  }
  if (this->settings.declaresLimits) {
    body["slots"] = this->settings.slots;
    body["connections"] = this->settings.connections;
  }
  this->client.Start({.url = this->settings.nodeUrl + "/v1/announce",
                      .method = "POST",
                      .headers = {{"Content-Type", "application/json"}},
                      .body = body.dump(),
                      .timeout = std::chrono::seconds(1)},
                     {.onHead = [](int, const HttpHeaders&, int64_t) {},
                      .onData = [](const std::string&) {},
                      .onDone = [](const HttpTransferResult&) {}});
  this->announceTimer.expires_after(this->settings.announcePeriod);
  this->announceTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      this->Announce();
    }
  });
}

void StandInTarget::SetState(const std::string& aState) {
  {
    const std::lock_guard lock(this->mutex);
    this->state = aState;
  }
  asio::post(this->io, [this] { this->Announce(); });
}

StandInTarget::Stats StandInTarget::GetStats() {
  const std::lock_guard lock(this->mutex);
  return this->stats;
}

void StandInTarget::Stop() {
  this->SetState("draining");
  const TimePoint deadline = SteadyClock().Now() + kStopTimeout;
  for (;;) {
    {
      const std::lock_guard lock(this->mutex);
      if (this->stopped) {
        return;
      }
      if ((this->running == 0 && this->waiting.empty()) ||
          SteadyClock().Now() > deadline) {
        this->stopped = true;
        break;
      }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  this->server->StopAccepting();
  this->guard.reset();
  this->io.stop();
  this->thread.join();
}

bool StandInTarget::OnControl(const HttpExchangePtr& aExchange) {
  const HttpRequest& request = aExchange->Request();
  if (request.target == "/stand-in/stats") {
    const Stats seen = this->GetStats();
    Json headers = Json::object();
    for (const HttpHeader& header : seen.lastHeaders) {
      headers[header.name] = header.value;
    }
    const Json body = {
        {"executions", seen.executions}, {"max_concurrent", seen.maxConcurrent},
        {"by_work_id", seen.byWorkId},   {"keys_seen", seen.keysSeen},
        {"cancelled", seen.cancelled},   {"last_headers", headers}};
    aExchange->Respond({.status = 200, .headers = {}, .body = body.dump()});
    return true;
  }
  if (request.target != "/stand-in/set") {
    return false;
  }
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    aExchange->Respond({.status = 400, .headers = {}, .body = "not JSON\n"});
    return true;
  }
  if (body.contains("work_us")) {
    this->SetWork(body["work_us"].get<uint64_t>());
  }
  if (body.contains("shedding")) {
    this->SetShedding(body["shedding"].get<bool>());
  }
  if (body.contains("state")) {
    this->SetState(body["state"].get<std::string>());
  }
  aExchange->Respond({.status = 204, .headers = {}, .body = {}});
  return true;
}

void StandInTarget::OnRequest(HttpExchangePtr aExchange) {
  if (this->OnControl(aExchange)) {
    return;
  }
  this->Journal("arrive", aExchange->Request());
  const HttpHeaders& headers = aExchange->Request().headers;
  if (this->shedding) {
    HttpHeaders refusal = AttemptHeaders(headers);
    refusal.push_back(
        {"fescueline-shed", HeaderOr(headers, kAttemptHeader, "")});
    aExchange->Respond(
        {.status = 503, .headers = std::move(refusal), .body = "shed\n"});
    return;
  }
  const auto job = std::make_shared<Job>();
  job->exchange = std::move(aExchange);
  job->exchange->OnAbort([this, weak = std::weak_ptr(job)] {
    const std::lock_guard lock(this->mutex);
    if (const auto running = weak.lock()) {
      running->aborted = true;
      this->stats.cancelled++;
    }
  });
  this->Enqueue(job);
}

void StandInTarget::Enqueue(const JobPtr& aJob) {
  {
    const std::lock_guard lock(this->mutex);
    this->waiting.push_back(aJob);
  }
  this->StartNext();
}

void StandInTarget::StartNext() {
  JobPtr job;
  {
    const std::lock_guard lock(this->mutex);
    if (this->waiting.empty() || this->running >= this->settings.slots) {
      return;
    }
    job = this->waiting.front();
    this->waiting.pop_front();
    this->running++;
    this->stats.maxConcurrent =
        std::max(this->stats.maxConcurrent, this->running);
    if (!job->aborted) {
      this->Record(job->exchange->Request());
    }
  }
  if (job->aborted) {
    this->Finish(job);
  } else {
    this->Work(job);
  }
}

void StandInTarget::Record(const HttpRequest& aRequest) {
  this->Journal("run", aRequest);
  this->stats.executions++;
  this->stats.lastHeaders = aRequest.headers;
  const auto workId = FindHeader(aRequest.headers, "x-work-id");
  if (workId) {
    this->stats.byWorkId[std::string(*workId)]++;
  }
  this->stats.keysSeen += ExposesKey(aRequest) ? 1 : 0;
}

void StandInTarget::Work(const JobPtr& aJob) {
  const uint64_t microseconds = NumberOr(aJob->exchange->Request().headers,
                                         "x-work-us", this->work.load());
  if (microseconds == 0) {
    this->CallNext(aJob);
    return;
  }
  aJob->timer = std::make_unique<asio::steady_timer>(this->io);
  aJob->timer->expires_after(std::chrono::microseconds(microseconds));
  aJob->timer->async_wait([this, aJob](const asio::error_code& aError) {
    if (!aError) {
      this->CallNext(aJob);
    }
  });
}

void StandInTarget::CallNext(const JobPtr& aJob) {
  if (aJob->failedCall != 0 || aJob->aborted ||
      aJob->nextCall >= this->settings.calls.size()) {
    this->Respond(aJob);
    return;
  }
  const std::string& path = this->settings.calls[aJob->nextCall++];
  const HttpHeaders& headers = aJob->exchange->Request().headers;
  this->client.Start({.url = this->settings.nodeUrl + path,
                      .method = "GET",
                      .headers = {{std::string(kContextHeader),
                                   HeaderOr(headers, kContextHeader, "")}}},
                     {.onHead =
                          [aJob](int aStatus, const HttpHeaders&, int64_t) {
                            if (aStatus >= 400) {
                              aJob->failedCall = aStatus;
                            }
                          },
                      .onData = [](const std::string&) {},
                      .onDone =
                          [this, aJob](const HttpTransferResult& aResult) {
                            if (!aResult.complete && aJob->failedCall == 0) {
                              aJob->failedCall = 502;
                            }
                            asio::post(this->io,
                                       [this, aJob] { this->CallNext(aJob); });
                          }});
}

void StandInTarget::Respond(const JobPtr& aJob) {
  const HttpHeaders& headers = aJob->exchange->Request().headers;
  if (aJob->failedCall != 0) {
    aJob->exchange->Respond({.status = 502,
                             .headers = AttemptHeaders(headers),
                             .body = "call failed with status " +
                                     std::to_string(aJob->failedCall) + "\n"});
    this->Finish(aJob);
    return;
  }
  const uint64_t bytes = NumberOr(headers, "x-body-bytes", 0);
  if (bytes == 0) {
    const Json body = {
        {"service", this->settings.service},
        {"organisation", HeaderOr(headers, "fescueline-organisation", "")},
        {"echo", HeaderOr(headers, "x-echo", "")}};
    HttpHeaders responseHeaders = AttemptHeaders(headers);
    responseHeaders.push_back({"Content-Type", "application/json"});
    aJob->exchange->Respond({.status = 200,
                             .headers = std::move(responseHeaders),
                             .body = body.dump()});
    this->Finish(aJob);
    return;
  }
  const bool breaks = FindHeader(headers, "x-break-body").has_value();
  const bool chunked = FindHeader(headers, "x-chunked").has_value();
  aJob->exchange->StartStream(
      200, AttemptHeaders(headers),
      chunked ? std::nullopt : std::optional<uint64_t>(bytes));
  const uint64_t sent = breaks ? bytes / 2 : bytes;
  for (uint64_t at = 0; at < sent; at += kChunkBytes) {
    aJob->exchange->Write(
        std::string(std::min<uint64_t>(kChunkBytes, sent - at), 'x'), {});
  }
  aJob->exchange->EndStream(!breaks);
  this->Finish(aJob);
}

void StandInTarget::Finish(const JobPtr&) {
  {
    const std::lock_guard lock(this->mutex);
    this->running--;
  }
  this->StartNext();
}

}  // namespace fescueline
