#pragma once

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "Transport/Sockets.h"

namespace fescueline::test {

/// Calls aStep until the condition holds; false on timeout.
template <typename Step>
bool RunSteps(asio::io_context& aIo, const std::function<bool()>& aCondition,
              std::chrono::milliseconds aLimit, const Step& aStep) {
  const auto end = std::chrono::steady_clock::now() + aLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    aIo.restart();
    aStep();
  }
  return true;
}

/// Runs the loop until the condition holds; false on timeout.
inline bool RunUntil(
    asio::io_context& aIo, const std::function<bool()>& aCondition,
    std::chrono::milliseconds aLimit = std::chrono::milliseconds(5000)) {
  return RunSteps(aIo, aCondition, aLimit,
                  [&aIo] { aIo.run_for(std::chrono::milliseconds(5)); });
}

/// Like RunUntil, but checks the condition after each event, for tests with
/// many short waits. Not for a condition that sends requests: it would send
/// them without pause.
inline bool RunPromptly(
    asio::io_context& aIo, const std::function<bool()>& aCondition,
    std::chrono::milliseconds aLimit = std::chrono::milliseconds(5000)) {
  return RunSteps(aIo, aCondition, aLimit,
                  [&aIo] { aIo.run_one_for(std::chrono::milliseconds(5)); });
}

/// Like RunPromptly, but with a limit on the number of events, which does not
/// depend on the load of the machine.
inline bool RunEvents(asio::io_context& aIo,
                      const std::function<bool()>& aCondition,
                      size_t aMaxEvents) {
  size_t events = 0;
  return RunSteps(
             aIo, [&] { return aCondition() || events > aMaxEvents; },
             std::chrono::seconds(30),
             [&] {
               events += aIo.run_one_for(std::chrono::milliseconds(5));
             }) &&
         aCondition();
}

/// Remote end of a connection under test: records the bytes received and sends
/// raw bytes. Runs on the loop.
class RawPeer {
 public:
  explicit RawPeer(asio::io_context& aIo) : socket(aIo) {}

  /// Connects to a port of this host.
  void Connect(uint16_t aPort) {
    this->socket.connect({asio::ip::make_address("127.0.0.1"), aPort});
    this->Read();
  }
  /// Connects with small segments and a small window, so that the remote kernel
  /// holds little of what this side has not read.
  void ConnectSmallWindow(uint16_t aPort) {
    using MaxSegment =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;
    this->socket.open(asio::ip::tcp::v4());
    this->socket.set_option(asio::socket_base::receive_buffer_size(4096));
    this->socket.set_option(MaxSegment(1448));
    this->Connect(aPort);
  }
  /// Accepts the next connection of an acceptor.
  void Accept(asio::ip::tcp::acceptor& aAcceptor) {
    aAcceptor.async_accept(this->socket,
                           [this](const asio::error_code& aError) {
                             this->accepted = !aError;
                             this->Read();
                           });
  }
  /// Stops reading; a read that is already outstanding still completes.
  void Pause() { this->paused = true; }
  void Resume() {
    this->paused = false;
    this->Read();
  }
  void Send(const std::string& aBytes) {
    asio::write(this->socket, asio::buffer(aBytes));
  }
  /// Writes asynchronously as the remote side reads; the rest is dropped when
  /// the remote side closes.
  void SendLater(const std::string& aBytes) {
    const auto bytes = std::make_shared<std::string>(aBytes);
    asio::async_write(this->socket, asio::buffer(*bytes),
                      [bytes](const asio::error_code&, size_t) {});
  }
  void Close() { CloseSocket(this->socket); }
  /// Closes with a reset.
  void Reset() { ResetSocket(this->socket); }

  std::string received;
  bool accepted = false;
  bool closed = false;
  /// Whether the remote side closed with a reset.
  bool reset = false;

 private:
  void Read() {
    this->socket.async_read_some(
        asio::buffer(this->buffer),
        [this](const asio::error_code& aError, size_t aSize) {
          if (aError) {
            this->closed = true;
            this->reset = aError == asio::error::connection_reset;
            return;
          }
          this->received.append(this->buffer.data(), aSize);
          if (!this->paused) {
            this->Read();
          }
        });
  }

  asio::ip::tcp::socket socket;
  std::array<char, 4096> buffer{};
  bool paused = false;
};

inline bool Contains(const std::string& aText, const std::string& aPart) {
  return aText.find(aPart) != std::string::npos;
}

}  // namespace fescueline::test
