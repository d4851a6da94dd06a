#include "Traffic.h"

#include <algorithm>
#include <memory>
#include <thread>

#include "Transport/HttpMessage.h"

namespace fescueline {

namespace {
constexpr Duration kTick = std::chrono::milliseconds(1);
/// Pause of a client before its next try.
constexpr Duration kRetryPause = std::chrono::milliseconds(20);
constexpr int kFirstErrorStatus = 400;

/// Response to one try, filled in as it arrives.
struct Response {
  int status = 0;
  std::string cause;
};

std::string CauseOf(const Response& aResponse, bool aComplete) {
  if (!aResponse.cause.empty()) {
    return aResponse.cause;
  }
  if (aResponse.status == 0) {
    return "no-response";
  }
  if (!aComplete) {
    return "broken-off";
  }
  return aResponse.status < kFirstErrorStatus
             ? ""
             : "status-" + std::to_string(aResponse.status);
}
}  // namespace

double TrafficResult::Percentile(double aShare) const {
  if (this->milliseconds.empty()) {
    return 0;
  }
  std::vector<double> sorted = this->milliseconds;
  const auto index =
      static_cast<size_t>(aShare * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(),
                   sorted.begin() + static_cast<ptrdiff_t>(index),
                   sorted.end());
  return sorted[index];
}

std::vector<TrafficResult> Traffic::Run(
    const std::vector<TrafficStream>& aStreams, Duration aLength) {
  this->streams = aStreams;
  this->results.assign(aStreams.size(), {});
  const TimePoint start = SteadyClock().Now();
  for (TimePoint now = start; now < start + aLength || !this->IsIdle();
       now = SteadyClock().Now()) {
    this->SendDue(aStreams, std::min<Duration>(now - start, aLength));
    this->RetryDue(now);
    std::this_thread::sleep_for(kTick);
  }
  return this->results;
}

void Traffic::SendDue(const std::vector<TrafficStream>& aStreams,
                      Duration aElapsed) {
  for (size_t i = 0; i < aStreams.size(); ++i) {
    const auto due =
        static_cast<uint64_t>(aStreams[i].perSecond * ToSeconds(aElapsed));
    for (;;) {
      {
        const std::lock_guard lock(this->mutex);
        if (this->results[i].requests >= due) {
          break;
        }
        this->results[i].requests++;
      }
      this->Send(i, 1);
    }
  }
}

void Traffic::RetryDue(TimePoint aNow) {
  std::vector<Retry> due;
  {
    const std::lock_guard lock(this->mutex);
    const auto rest = std::partition(
        this->retries.begin(), this->retries.end(),
        [aNow](const Retry& aRetry) { return aRetry.at > aNow; });
    due.assign(rest, this->retries.end());
    this->retries.erase(rest, this->retries.end());
  }
  for (const Retry& retry : due) {
    this->Send(retry.stream, retry.tries + 1);
  }
}

void Traffic::Send(size_t aStream, uint32_t aTry) {
  const TrafficStream& stream = this->streams[aStream];
  HttpTransferRequest request{
      .url = this->urls[this->nextUrl++ % this->urls.size()] + stream.path,
      .method = stream.method};
  if (!stream.key.empty()) {
    request.headers.push_back({"Authorization", "Bearer " + stream.key});
  }
  {
    const std::lock_guard lock(this->mutex);
    this->results[aStream].tries++;
    this->open++;
  }
  const auto response = std::make_shared<Response>();
  this->client.Start(
      std::move(request),
      {.onHead =
           [response](int aStatus, const HttpHeaders& aHeaders, int64_t) {
             response->status = aStatus;
             response->cause =
                 FindHeader(aHeaders, "fescueline-cause").value_or("");
           },
       .onData = [](const std::string&) {},
       .onDone =
           [this, response, aStream, aTry,
            sentAt = SteadyClock().Now()](const HttpTransferResult& aResult) {
             this->OnDone(aStream, aTry, sentAt,
                          CauseOf(*response, aResult.complete));
           }});
}

void Traffic::OnDone(size_t aStream, uint32_t aTry, TimePoint aSentAt,
                     const std::string& aCause) {
  const TimePoint now = SteadyClock().Now();
  const std::lock_guard lock(this->mutex);
  TrafficResult& result = this->results[aStream];
  if (aCause.empty()) {
    result.served++;
    result.milliseconds.push_back(ToSeconds(now - aSentAt) * 1000);
  } else {
    result.refused[aCause]++;
    if (aTry < this->streams[aStream].maxTries) {
      this->retries.push_back(
          {.stream = aStream, .tries = aTry, .at = now + kRetryPause});
    }
  }
  this->open--;
}

bool Traffic::IsIdle() {
  const std::lock_guard lock(this->mutex);
  return this->open == 0 && this->retries.empty();
}

}  // namespace fescueline
