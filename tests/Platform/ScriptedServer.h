#pragma once

#include <asio.hpp>
#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include "Transport/Sockets.h"

namespace fescueline::test {

/// Sends fixed bytes on each connection as soon as a whole request head has
/// arrived, then closes it. For answers that no correct server sends.
class ScriptedServer {
 public:
  explicit ScriptedServer(std::string aAnswer)
      : answer(std::move(aAnswer)),
        acceptor(this->context, {asio::ip::address_v4::loopback(), 0}),
        thread([this] { this->Run(); }) {}
  ~ScriptedServer() {
    asio::post(this->context, [this] { this->acceptor.close(); });
    this->thread.join();
  }

  /// "http://127.0.0.1:PORT".
  std::string BaseUrl() const {
    return "http://127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }
  /// Number of requests that arrived.
  int Requests() const { return this->requests; }

 private:
  void Run() {
    AcceptEach(this->acceptor, [this](asio::ip::tcp::socket aSocket) {
      this->Serve(std::move(aSocket));
    });
    this->context.run();
  }

  void Serve(asio::ip::tcp::socket aSocket) {
    asio::error_code error;
    std::string head;
    asio::read_until(aSocket, asio::dynamic_buffer(head), "\r\n\r\n", error);
    if (!error) {
      ++this->requests;
      asio::write(aSocket, asio::buffer(this->answer), error);
      // Unread request bytes would turn the close into a reset.
      aSocket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
      asio::read(aSocket, asio::dynamic_buffer(head), error);
    }
  }

  /// Bytes sent for each request.
  std::string answer;
  /// Runs the server.
  asio::io_context context;
  /// Accepts connections.
  asio::ip::tcp::acceptor acceptor;
  /// Requests that arrived.
  std::atomic<int> requests{0};
  /// Thread of the server.
  std::thread thread;
};

/// A complete answer with a body.
inline std::string Reply(int aStatus, const std::string& aBody) {
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " X\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

}  // namespace fescueline::test
