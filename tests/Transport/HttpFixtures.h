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

struct Answer {
  int status = 0;
  HttpHeaders headers;
  std::string body;
  HttpTransferResult result;
};

inline Answer Fetch(HttpClient& aClient, HttpTransferRequest aRequest) {
  auto answer = std::make_shared<Answer>();
  auto done = std::make_shared<std::promise<void>>();
  aClient.Start(
      std::move(aRequest),
      {.onHead =
           [answer](int aStatus, HttpHeaders aHeaders, int64_t) {
             answer->status = aStatus;
             answer->headers = std::move(aHeaders);
           },
       .onData = [answer](std::string aData) { answer->body += aData; },
       .onDone =
           [answer, done](const HttpTransferResult& aResult) {
             answer->result = aResult;
             done->set_value();
           }});
  done->get_future().wait();
  return *answer;
}

inline std::string Url(const HttpServer& aServer, const std::string& aPath) {
  return "http://127.0.0.1:" + std::to_string(aServer.Port()) + aPath;
}

}  // namespace fescueline::test
