#pragma once

#include <array>
#include <asio.hpp>
#include <string_view>
#include <utility>

namespace fescueline {

/// Largest number of bytes that AsyncReadShared reads at once.
inline constexpr size_t kSharedReadBytes = size_t{64} * 1024;

/// Waits until a socket is readable and reads into a buffer that all sockets of
/// the thread share, so that an idle connection holds no buffer and no read is
/// attempted before bytes arrive. aHandler gets the error and the bytes, at
/// most aMaxBytes, which are valid during the call. The socket must be in
/// non-blocking mode.
template <typename Handler>
void AsyncReadShared(asio::ip::tcp::socket& aSocket, Handler aHandler,
                     size_t aMaxBytes = kSharedReadBytes) {
  aSocket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [&aSocket, aMaxBytes,
       handler = std::move(aHandler)](asio::error_code aError) mutable {
        static thread_local std::array<char, kSharedReadBytes> sBuffer;
        size_t size = 0;
        if (!aError) {
          size = aSocket.read_some(asio::buffer(sBuffer, aMaxBytes), aError);
        }
        if (aError == asio::error::would_block) {
          AsyncReadShared(aSocket, std::move(handler), aMaxBytes);
          return;
        }
        handler(aError, std::string_view(sBuffer.data(), size));
      });
}

}  // namespace fescueline
