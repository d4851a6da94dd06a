#include "PlatformTarget.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "Core/Identifiers.h"
#include "Core/RandomSource.h"
#include "Http1/HttpWriter.h"

namespace fescueline {

namespace {
constexpr int kOk = 200;
constexpr int kFailed = 500;
constexpr std::string_view kHealthPath = "/healthz";
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

asio::ip::tcp::endpoint Local(uint16_t aPort) {
  return {asio::ip::make_address("127.0.0.1"), aPort};
}

std::string Header(const HttpRequest& aRequest, std::string_view aName) {
  return std::string(FindHeader(aRequest.headers, aName).value_or(""));
}

std::unique_ptr<ConnectionPool> PoolTo(asio::io_context& aIo, uint16_t aPort) {
  return std::make_unique<ConnectionPool>(
      ConnectionPool::Settings{.io = aIo, .peer = Local(aPort)});
}

/// Sends a request and passes the status of its response to aDone, 0 if there
/// is none. aId must differ from the identifiers of all other requests, as a
/// connection never carries two requests with the same one.
void Fetch(ConnectionPool& aPool, std::string_view aId, std::string aBytes,
           std::function<void(int)> aDone) {
  aPool.AcquireFor(aId, Duration::max(),
                   [&aPool, bytes = std::move(aBytes), done = std::move(aDone)](
                       const ConnectionPool::ConnectionPtr& aConnection,
                       const std::string&) {
                     if (!aConnection) {
                       done(0);
                       return;
                     }
                     const auto status = std::make_shared<int>(0);
                     aConnection->Send(
                         bytes, false,
                         {.onHead =
                              [status](const HttpHead& aHead) {
                                *status = aHead.status;
                                return ResponseVerdict::Accept;
                              },
                          .onBody = {},
                          .onDone =
                              [&aPool, aConnection, status,
                               done](const ClientExchangeResult& aResult) {
                                if (aResult.reusable) {
                                  aPool.Release(aConnection);
                                }
                                done(aResult.complete ? *status : 0);
                              }});
                   });
}
}  // namespace

PlatformTarget::PlatformTarget(Settings aSettings)
    : settings(std::move(aSettings)),
      server({.io = this->settings.io,
              .host = "127.0.0.1",
              .port = this->settings.port,
              .onRequest =
                  [this](const HttpExchangePtr& aExchange) {
                    this->OnRequest(aExchange);
                  }}),
      reportPool(PoolTo(this->settings.io, this->settings.reportPort)),
      callPool(PoolTo(this->settings.io, this->settings.callPort)),
      reportTimer(this->settings.io) {
  this->Restart();
  this->server.Start();
  if (this->settings.reports) {
    this->Report();
  }
}

void PlatformTarget::Restart() {
  this->id = "i-" + Id128::Generate().ToString().substr(0, 8);
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  // Start times must differ, even of restarts within a millisecond.
  this->startedAt = std::max<uint64_t>(
      this->startedAt + 1,
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
  this->sequence = 0;
  this->draining = false;
  this->drainedAt.reset();
}

void PlatformTarget::Report() {
  this->SendReport();
  this->reportTimer.expires_after(this->settings.reportInterval);
  this->reportTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      this->Report();
    }
  });
}

void PlatformTarget::SendReport() {
  const std::string body = nlohmann::json{
      {"address", fmt::format("127.0.0.1:{}", this->Port())},
      {"born", this->startedAt},
      {"info",
       {{"service", this->settings.service},
        {"version", "v1"},
        {"zone", "z"},
        {"slots", this->settings.slots}}},
      {"status",
       {{"state", this->draining ? "draining" : "ready"},
        {"sequence", ++this->sequence},
        {"cold-left-ms", 0}}}}.dump();
  const bool drains = this->draining;
  const uint64_t process = this->startedAt;
  Fetch(*this->reportPool, fmt::format("{}.{}", this->id, this->sequence),
        WriteRequestHead("POST", "/v1/Instances.Heartbeat/" + this->id,
                         {{"Host", "node"}}, {.length = body.size()}) +
            body,
        [this, drains, process](int aStatus) {
          if (aStatus == kOk && drains && process == this->startedAt &&
              !this->drainedAt) {
            this->drainedAt = SteadyClock().Now();
          }
        });
}

void PlatformTarget::OnRequest(const HttpExchangePtr& aExchange) {
  const HttpRequest& request = aExchange->Request();
  if (request.target == kHealthPath) {
    aExchange->Respond(
        {.status = this->draining ? kUnavailable : kOk,
         .headers = {{"X-Instance-Id", this->id},
                     {"X-Server-Load", fmt::format("{},{},{}", this->running,
                                                   this->waiting.size(),
                                                   this->settings.slots)}}});
    return;
  }
  const std::string requestId = Header(request, "X-Request-Id");
  const std::string expected = Header(request, "X-Target-Instance");
  if (!expected.empty() && expected != this->id) {
    aExchange->Respond(
        {.status = kMisdirected, .headers = {{"X-Request-Id", requestId}}});
    return;
  }
  const bool full = this->waiting.size() >= this->settings.slots;
  if (full || ThreadRandom().NextDouble() < this->shedShare) {
    aExchange->Respond(
        {.status = kUnavailable,
         .headers = {{"X-Request-Id", requestId}, {"X-Not-Executed", "1"}}});
    return;
  }
  if (this->running < this->settings.slots) {
    this->Begin(aExchange);
  } else {
    this->waiting.push_back(aExchange);
  }
  this->peak = std::max<uint32_t>(
      this->peak, this->running + static_cast<uint32_t>(this->waiting.size()));
}

void PlatformTarget::Begin(const HttpExchangePtr& aExchange) {
  ++this->running;
  ++this->runs;
  const HttpRequest& request = aExchange->Request();
  bool sawKey = false;
  for (const std::string& key : this->keys) {
    for (const HttpHeader& header : request.headers) {
      sawKey = sawKey || header.value.find(key) != std::string::npos;
    }
  }
  if (this->settings.onRun) {
    this->settings.onRun({.requestId = Header(request, "X-Request-Id"),
                          .service = this->settings.service,
                          .organisation = Header(request, "X-Tenant"),
                          .sawKey = sawKey,
                          .at = SteadyClock().Now()});
  }
  const auto timer = std::make_shared<asio::steady_timer>(this->settings.io,
                                                          this->settings.work);
  timer->async_wait([this, timer, aExchange](const asio::error_code&) {
    this->CallThenAnswer(aExchange);
  });
}

void PlatformTarget::CallThenAnswer(const HttpExchangePtr& aExchange) {
  if (this->settings.callPath.empty()) {
    this->Answer(aExchange, kOk);
    return;
  }
  const std::string child = fmt::format(
      "{}.{:x}", Header(aExchange->Request(), "X-Request-Id"), ++this->calls);
  Fetch(*this->callPool, child,
        WriteRequestHead(
            "GET", this->settings.callPath,
            {{"Host", this->settings.callHost}, {"X-Request-Id", child}}, {}),
        [this, aExchange](int aStatus) {
          this->Answer(aExchange, aStatus == kOk ? kOk : kFailed);
        });
}

void PlatformTarget::Answer(const HttpExchangePtr& aExchange, int aStatus) {
  const std::string requestId = Header(aExchange->Request(), "X-Request-Id");
  const HttpHeaders headers = {
      {"X-Request-Id", requestId},
      {"X-Server-Signature", "s-" + requestId},
      {"X-Server-Load",
       fmt::format("{},{},{}", this->running, this->waiting.size(),
                   this->settings.slots)}};
  const std::string body =
      "answer to " + requestId + std::string(this->padding, 'x');
  if (ThreadRandom().NextDouble() < this->loseShare) {
    aExchange->StartStream(aStatus, headers, body.size());
    aExchange->EndStream(false);
  } else {
    aExchange->Respond({.status = aStatus, .headers = headers, .body = body});
  }
  this->End();
}

void PlatformTarget::End() {
  --this->running;
  if (!this->waiting.empty() && this->running < this->settings.slots) {
    const HttpExchangePtr next = this->waiting.front();
    this->waiting.erase(this->waiting.begin());
    this->Begin(next);
  }
}

}  // namespace fescueline
