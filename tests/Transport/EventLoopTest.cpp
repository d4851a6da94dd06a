#include <doctest/doctest.h>

#include <stdexcept>
#include <string>
#include <vector>

#include "Log/Log.h"
#include "Transport/EventLoop.h"

using namespace fescueline;

// Guards against a process that ends because one handler fails.
TEST_CASE("an event loop outlives handlers that throw") {
  DisableLog();
  asio::io_context io{1};
  std::vector<int> ran;
  std::vector<std::string> failures;
  for (int i = 0; i < 4; ++i) {
    asio::post(io, [i, &ran] {
      if (i % 2 == 0) {
        throw std::runtime_error("handler " + std::to_string(i));
      }
      ran.push_back(i);
    });
  }
  RunEventLoop(io, [&](const std::exception& aFailure) {
    failures.emplace_back(aFailure.what());
  });
  CHECK(ran == std::vector<int>{1, 3});
  CHECK(failures == std::vector<std::string>{"handler 0", "handler 2"});
}
