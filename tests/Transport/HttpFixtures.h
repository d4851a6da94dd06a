#pragma once

#include <asio.hpp>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "Transport/HttpClient.h"
#include "Transport/HttpServer.h"

namespace fescueline::test {

/// Runs an io_context on one thread.
struct Pool {
  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> guard =
      asio::make_work_guard(this->io);
  std::thread thread{[this] { this->io.run(); }};
  ~Pool() {
    this->guard.reset();
    this->io.stop();
    this->thread.join();
  }
};

struct FetchResult {
  int status = 0;
  HttpHeaders headers;
  std::string body;
  HttpTransferResult result;
};

inline FetchResult Fetch(HttpClient& aClient, HttpTransferRequest aRequest) {
  auto fetched = std::make_shared<FetchResult>();
  auto done = std::make_shared<std::promise<void>>();
  aClient.Start(
      std::move(aRequest),
      {.onHead =
           [fetched](int aStatus, HttpHeaders aHeaders, int64_t) {
             fetched->status = aStatus;
             fetched->headers = std::move(aHeaders);
           },
       .onData = [fetched](std::string aData) { fetched->body += aData; },
       .onDone =
           [fetched, done](const HttpTransferResult& aResult) {
             fetched->result = aResult;
             done->set_value();
           }});
  done->get_future().wait();
  return *fetched;
}

inline std::string Url(const HttpServer& aServer, const std::string& aPath) {
  return "http://127.0.0.1:" + std::to_string(aServer.Port()) + aPath;
}

}  // namespace fescueline::test
