#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "Core/Time.h"
#include "Transport/HttpClient.h"

namespace fescueline {

/// Requests of one kind that are sent at a constant rate.
struct TrafficStream {
  std::string name;
  /// Key of the caller; empty for none.
  std::string key;
  std::string path;
  std::string method = "GET";
  /// First tries per second, independent of the results of earlier requests.
  double perSecond = 1;
  /// Tries per request, including the first.
  uint32_t maxTries = 1;
};

/// Results of the requests of one stream.
struct TrafficResult {
  /// Requests, counted once regardless of the number of tries.
  uint64_t requests = 0;
  /// Attempts to send the requests, including the first of each.
  uint64_t tries = 0;
  /// Requests that got a complete response with a status below 400.
  uint64_t served = 0;
  /// Tries that were refused or failed, by cause.
  std::map<std::string, uint64_t> refused;
  /// Milliseconds of the served tries, unsorted.
  std::vector<double> milliseconds;

  /// Latency that the given share of the served tries did not exceed.
  double Percentile(double aShare) const;
};

/// Sends streams of requests to listeners in turn, like clients without
/// back-off: a refused request is tried again after a fixed pause, without
/// regard to Retry-After. One thread calls Run; results arrive on the client's
/// thread.
class Traffic {
 public:
  /// aUrls are the base URLs that requests go to in turn.
  Traffic(HttpClient& aClient, std::vector<std::string> aUrls)
      : client(aClient), urls(std::move(aUrls)) {}

  /// Sends all streams for aLength, waits for the last responses, and returns
  /// one result per stream.
  std::vector<TrafficResult> Run(const std::vector<TrafficStream>& aStreams,
                                 Duration aLength);

 private:
  /// A request that is waiting for its next try.
  struct Retry {
    size_t stream;
    uint32_t tries;
    TimePoint at;
  };

  void SendDue(const std::vector<TrafficStream>& aStreams, Duration aElapsed);
  void RetryDue(TimePoint aNow);
  void Send(size_t aStream, uint32_t aTry);
  void OnDone(size_t aStream, uint32_t aTry, TimePoint aSentAt,
              const std::string& aCause);
  bool IsIdle();

  HttpClient& client;
  std::vector<std::string> urls;
  size_t nextUrl = 0;
  std::vector<TrafficStream> streams;
  /// Guards everything below.
  std::mutex mutex;
  std::vector<TrafficResult> results;
  std::vector<Retry> retries;
  uint64_t open = 0;
};

}  // namespace fescueline
