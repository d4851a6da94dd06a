#pragma once

#include <asio.hpp>
#include <cstdint>
#include <string>

#include "Core/Error.h"

namespace fescueline {

/// Opens an acceptor on an address. Throws Error with aStep as its step on
/// failure.
inline void ListenOn(asio::ip::tcp::acceptor& aAcceptor,
                     const std::string& aHost, uint16_t aPort,
                     const std::string& aStep) {
  try {
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(aHost),
                                           aPort);
    aAcceptor.open(endpoint.protocol());
    aAcceptor.set_option(asio::socket_base::reuse_address(true));
    aAcceptor.bind(endpoint);
    aAcceptor.listen(asio::socket_base::max_listen_connections);
  } catch (const asio::system_error& failure) {
    throw Error(aStep, aHost + ":" + std::to_string(aPort), failure.what());
  }
}

}  // namespace fescueline
