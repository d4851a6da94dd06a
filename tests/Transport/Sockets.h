#pragma once

#include <asio.hpp>
#include <utility>

namespace fescueline::test {

/// Passes each new connection to a function until the acceptor is closed.
template <typename Function>
void AcceptEach(asio::ip::tcp::acceptor& aAcceptor, Function aFunction) {
  aAcceptor.async_accept([&aAcceptor, function = std::move(aFunction)](
                             const asio::error_code& aError,
                             asio::ip::tcp::socket aSocket) mutable {
    if (!aError) {
      function(std::move(aSocket));
      AcceptEach(aAcceptor, std::move(function));
    }
  });
}

inline void CloseSocket(asio::ip::tcp::socket& aSocket) {
  asio::error_code ignored;
  aSocket.close(ignored);
}

/// Closes with a reset.
inline void ResetSocket(asio::ip::tcp::socket& aSocket) {
  aSocket.set_option(asio::socket_base::linger(true, 0));
  CloseSocket(aSocket);
}

}  // namespace fescueline::test
