#pragma once

#include <asio.hpp>
#include <atomic>
#include <functional>
#include <list>
#include <string>
#include <thread>
#include <utility>

#include "Transport/HttpMessage.h"
#include "Transport/Sockets.h"

namespace fescueline::test {

/// HTTP server that calls a script for each request, which writes the raw bytes
/// of the response. Each connection has a thread, on which the script may
/// block.
class ScriptedPeer {
 public:
  /// One request, and the actions available to the script.
  struct Turn {
    asio::ip::tcp::socket& socket;
    /// Index of the connection, from 0.
    size_t connection = 0;
    /// Index of the request on its connection, from 0.
    size_t request = 0;
    /// Request line and headers.
    const std::string& head;

    void Send(const std::string& aBytes) const {
      asio::error_code ignored;
      asio::write(this->socket, asio::buffer(aBytes), ignored);
    }
    /// Closes orderly: sends the end, then reads until the client closes.
    void Close() const {
      asio::error_code ignored;
      this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
      std::string rest;
      asio::read(this->socket, asio::dynamic_buffer(rest), ignored);
      this->socket.close(ignored);
    }
    /// Closes with a reset.
    void Reset() const { ResetSocket(this->socket); }
    /// Value of a header; empty if there is none.
    std::string Header(std::string_view aName) const {
      size_t at = this->head.find("\r\n");
      while (at != std::string::npos) {
        at += 2;
        const size_t end = this->head.find("\r\n", at);
        const std::string line = this->head.substr(at, end - at);
        const size_t colon = line.find(": ");
        if (colon != std::string::npos &&
            EqualHeaderName(line.substr(0, colon), aName)) {
          return line.substr(colon + 2);
        }
        at = end;
      }
      return {};
    }
  };
  using Script = std::function<void(const Turn&)>;

  explicit ScriptedPeer(Script aScript)
      : script(std::move(aScript)), thread([this] { this->Run(); }) {}
  ScriptedPeer(const ScriptedPeer&) = delete;
  ~ScriptedPeer() {
    asio::post(this->context, [this] {
      this->acceptor.close();
      for (Connection& connection : this->connections) {
        // Ends the pending read of the next request.
        asio::error_code ignored;
        connection.socket.shutdown(asio::ip::tcp::socket::shutdown_both,
                                   ignored);
      }
    });
    this->thread.join();
    for (Connection& connection : this->connections) {
      connection.thread.join();
    }
  }

  /// "http://127.0.0.1:PORT" plus the path.
  std::string Url(const std::string& aPath) const {
    return "http://" + this->Address() + aPath;
  }
  /// "127.0.0.1:PORT".
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->Port());
  }
  uint16_t Port() const { return this->acceptor.local_endpoint().port(); }
  /// Number of connections accepted.
  size_t Connections() const { return this->accepted; }

 private:
  struct Connection {
    asio::ip::tcp::socket socket;
    std::thread thread;
  };

  void Run() {
    AcceptEach(this->acceptor, [this](asio::ip::tcp::socket aSocket) {
      Connection& connection =
          this->connections.emplace_back(std::move(aSocket), std::thread());
      connection.thread =
          std::thread([this, &connection, number = this->accepted++] {
            this->Serve(connection.socket, number);
          });
    });
    this->context.run();
  }

  void Serve(asio::ip::tcp::socket& aSocket, size_t aNumber) {
    std::string bytes;
    asio::error_code error;
    for (size_t request = 0; aSocket.is_open(); ++request) {
      const size_t size = asio::read_until(aSocket, asio::dynamic_buffer(bytes),
                                           "\r\n\r\n", error);
      if (error) {
        return;
      }
      const std::string head = bytes.substr(0, size);
      bytes.erase(0, size);
      this->script({.socket = aSocket,
                    .connection = aNumber,
                    .request = request,
                    .head = head});
    }
  }

  Script script;
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor{this->context,
                                   {asio::ip::address_v4::loopback(), 0}};
  std::list<Connection> connections;
  std::atomic<size_t> accepted{0};
  std::thread thread;
};

}  // namespace fescueline::test
