#pragma once

#include <asio.hpp>
#include <deque>
#include <memory>
#include <string>
#include <utility>

#include "Http1/RawPeer.h"

namespace fescueline::test {

/// Connections of callers that do not follow the protocol. All stay open until
/// the crowd is destroyed or the node closes them. Runs on the event loop of
/// the test.
class Crowd {
 public:
  /// What each connection sends, and whether it reads.
  struct Behaviour {
    /// Sent once.
    std::string begin = {};
    /// Sent after `begin`, `count` times.
    std::string piece = {};
    size_t count = 0;
    /// Sent at the end.
    std::string end = {};
    /// Whether received bytes are read.
    bool reads = true;
    /// Whether the connection is closed for sending after the last byte.
    bool halfCloses = false;
  };

  Crowd(asio::io_context& aIo, uint16_t aPort, size_t aSize,
        const Behaviour& aBehaviour)
      : io(aIo) {
    for (size_t i = 0; i < aSize; ++i) {
      this->members.push_back(std::make_shared<Member>(this->io, aBehaviour));
      this->members.back()->Start(aPort);
    }
  }
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;
  ~Crowd() {
    for (const auto& member : this->members) {
      member->Close();
    }
  }

  /// Runs the loop until each member has sent all its bytes or been closed, or
  /// for aLimit: the node need not read from all of them.
  void Settle(std::chrono::milliseconds aLimit = std::chrono::seconds(6)) {
    RunUntil(
        this->io,
        [this] {
          for (const auto& member : this->members) {
            if (!member->done) {
              return false;
            }
          }
          return true;
        },
        aLimit);
    // Time for the node to read what has been sent.
    RunUntil(
        this->io, [] { return false; }, std::chrono::milliseconds(500));
  }

 private:
  struct Member : std::enable_shared_from_this<Member> {
    Member(asio::io_context& aIo, Behaviour aBehaviour)
        : socket(aIo), behaviour(std::move(aBehaviour)) {}

    void Start(uint16_t aPort) {
      this->socket.open(asio::ip::tcp::v4());
      if (!this->behaviour.reads) {
        this->socket.set_option(asio::socket_base::receive_buffer_size(4096));
      }
      this->socket.async_connect(
          {asio::ip::make_address("127.0.0.1"), aPort},
          [self = this->shared_from_this()](const asio::error_code& aError) {
            if (aError) {
              self->done = true;
              return;
            }
            if (self->behaviour.reads) {
              self->Read();
            }
            self->Write(self->behaviour.begin);
          });
    }
    void Close() { CloseSocket(this->socket); }

    bool done = false;

   private:
    void Write(const std::string& aBytes) {
      asio::async_write(
          this->socket, asio::buffer(aBytes),
          [self = this->shared_from_this()](const asio::error_code& aError,
                                            size_t) {
            if (aError || self->stage > self->behaviour.count) {
              self->OnWritten(aError);
              return;
            }
            const bool isLast = self->stage++ == self->behaviour.count;
            self->Write(isLast ? self->behaviour.end : self->behaviour.piece);
          });
    }
    void OnWritten(const asio::error_code& aError) {
      this->done = true;
      if (!aError && this->behaviour.halfCloses) {
        asio::error_code ignored;
        this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
      }
    }
    void Read() {
      this->socket.async_read_some(asio::buffer(this->buffer),
                                   [self = this->shared_from_this()](
                                       const asio::error_code& aError, size_t) {
                                     if (aError) {
                                       self->done = true;
                                     } else {
                                       self->Read();
                                     }
                                   });
    }

    asio::ip::tcp::socket socket;
    Behaviour behaviour;
    /// Number of pieces sent, plus one after `end`.
    size_t stage = 0;
    std::array<char, 512> buffer{};
  };

  asio::io_context& io;
  std::deque<std::shared_ptr<Member>> members;
};

}  // namespace fescueline::test
