#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Core/Identifiers.h"
#include "Transport/PeerIdentity.h"

namespace fescueline {

/// One-way control message between nodes. May be lost, duplicated or delayed.
struct ControlMessage {
  /// Node id of the sender.
  std::string sender;
  Id128 incarnation;
  /// Control URL of the sender, for replies.
  std::string replyUrl;
  /// Type of the payload, defined by the users of the socket.
  uint8_t kind = 0;
  std::string payload;
};

/// Control messages over nng PUSH/PULL, each signed with the fleet secret.
/// Sending never blocks: a message to a peer whose queue is full is dropped.
/// Any thread may send; onMessage runs on the socket's thread.
class ControlSocket {
 public:
  struct Settings {
    PeerIdentity self;
    /// nng URL to listen on, such as tcp://10.0.0.1:7003; port 0 lets the
    /// kernel choose one.
    std::string listenUrl;
    /// URL that other nodes use to reach the listener; the bound URL if empty.
    std::string advertiseUrl;
    std::function<void(ControlMessage)> onMessage;
    /// Maximum number of open connections to peers. Beyond it, the least
    /// recently used one is closed.
    size_t maxPeers = 32;
  };

  /// Binds the listener and starts receiving. Throws Error on failure.
  explicit ControlSocket(Settings aSettings);
  ControlSocket(const ControlSocket&) = delete;
  ControlSocket& operator=(const ControlSocket&) = delete;
  ~ControlSocket();

  /// URL that other nodes use to reach the listener.
  const std::string& Url() const;
  /// Sends to the node that listens on the URL; false if the message was
  /// dropped.
  bool Send(const std::string& aUrl, uint8_t aKind,
            const std::string& aPayload);
  uint64_t BytesSent() const;
  uint64_t BytesReceived() const;

 private:
  struct Impl;
  /// nng state, kept out of the header.
  std::unique_ptr<Impl> impl;
};

}  // namespace fescueline
