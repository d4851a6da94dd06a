#include "Transport/EventLoop.h"

#include "Log/Log.h"

namespace fescueline {

void RunEventLoop(
    asio::io_context& aIo,
    const std::function<void(const std::exception&)>& aOnFailure) {
  while (true) {
    try {
      aIo.run();
      return;
    } catch (const std::exception& failure) {
      // The handler has been removed from the loop, which may run again.
      Log(LogLevel::Error, "event handler failed",
          {{"error", std::string(failure.what())}});
      aOnFailure(failure);
    }
  }
}

}  // namespace fescueline
