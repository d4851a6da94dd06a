#pragma once

#include <asio.hpp>
#include <memory>
#include <string>
#include <utility>

#include "Transport/Sockets.h"

namespace fescueline::test {

/// Responds to the first request of each connection with a prefix and then
/// repeats the same text until the client closes. Runs on the loop and never
/// blocks it.
class EndlessServer {
 public:
  EndlessServer(asio::io_context& aIo, std::string aBegin, std::string aText)
      : acceptor(aIo, {asio::ip::address_v4::loopback(), 0}),
        begin(std::move(aBegin)),
        text(std::move(aText)) {
    AcceptEach(this->acceptor, [this](asio::ip::tcp::socket aSocket) {
      this->Serve(std::make_shared<asio::ip::tcp::socket>(std::move(aSocket)));
    });
  }
  EndlessServer(const EndlessServer&) = delete;

  asio::ip::tcp::endpoint Endpoint() const {
    return this->acceptor.local_endpoint();
  }
  /// Number of bytes written, including those in the socket buffers.
  size_t Written() const { return this->written; }
  /// Number of connections that the client has closed.
  size_t Closed() const { return this->closed; }

 private:
  using SocketPtr = std::shared_ptr<asio::ip::tcp::socket>;

  void Serve(const SocketPtr& aSocket) {
    const auto head = std::make_shared<std::string>();
    asio::async_read_until(
        *aSocket, asio::dynamic_buffer(*head), "\r\n\r\n",
        [this, aSocket, head](const asio::error_code& aError, size_t) {
          if (!aError) {
            this->Write(aSocket, this->begin);
          }
        });
  }

  void Write(const SocketPtr& aSocket, const std::string& aText) {
    asio::async_write(
        *aSocket, asio::buffer(aText),
        [this, aSocket](const asio::error_code& aError, size_t aSize) {
          this->written += aSize;
          if (aError) {
            ++this->closed;
            return;
          }
          this->Write(aSocket, this->text);
        });
  }

  asio::ip::tcp::acceptor acceptor;
  std::string begin;
  std::string text;
  size_t written = 0;
  size_t closed = 0;
};

}  // namespace fescueline::test
