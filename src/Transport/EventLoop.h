#pragma once

#include <asio.hpp>
#include <exception>
#include <functional>

namespace fescueline {

/// Runs an event loop until it is stopped or has no more work. An exception
/// that leaves a handler ends this handler only; it is logged and passed to
/// aOnFailure.
void RunEventLoop(asio::io_context& aIo,
                  const std::function<void(const std::exception&)>& aOnFailure);

}  // namespace fescueline
