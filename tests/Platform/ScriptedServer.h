#pragma once

#include <asio.hpp>
#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include "Transport/Sockets.h"

namespace fescueline::test {

/// Sends fixed bytes on each connection once a complete request head has
/// arrived, then closes it. For responses that no correct server sends.
class ScriptedServer {
 public:
  explicit ScriptedServer(std::string aResponse)
      : response(std::move(aResponse)),
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
  /// Number of received requests.
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
      asio::write(aSocket, asio::buffer(this->response), error);
      // Reads the rest of the request, as unread bytes would turn the close
      // into a reset.
      aSocket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
      asio::read(aSocket, asio::dynamic_buffer(head), error);
    }
  }

  /// Bytes sent for each request.
  std::string response;
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor;
  std::atomic<int> requests{0};
  std::thread thread;
};

/// A complete response with a body.
inline std::string Reply(int aStatus, const std::string& aBody) {
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " X\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

}  // namespace fescueline::test
