#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Core/Identifiers.h"
#include "Transport/PeerIdentity.h"

namespace fescueline {

/// A control message between nodes. One-way; may be lost, duplicated or
/// arrive late.
struct ControlMessage {
  /// Sending node.
  std::string sender;
  /// Incarnation of the sender.
  Id128 incarnation;
  /// Control URL under which the sender is reached.
  std::string replyUrl;
  /// What the payload is; meaning belongs to the users of the socket.
  uint8_t kind = 0;
  /// Encoded content.
  std::string payload;
};

/// Control messages over nng PUSH/PULL, each signed with the fleet secret.
/// Sending never blocks: a message to a peer whose queue is full is dropped.
/// Any thread may send; received messages are reported on the socket's thread.
class ControlSocket {
 public:
  /// Construction parameters.
  struct Settings {
    PeerIdentity self;
    /// nng URL to listen on, such as tcp://10.0.0.1:7003; port 0 picks one.
    std::string listenUrl;
    /// URL under which other nodes reach the listener; the bound one if empty.
    std::string advertiseUrl;
    std::function<void(ControlMessage)> onMessage;
    /// Largest number of peers with an open connection; the least recently
    /// used one is closed beyond that.
    size_t maxPeers = 32;
  };

  /// Binds the listener and starts to receive. Throws Error on failure.
  explicit ControlSocket(Settings aSettings);
  ControlSocket(const ControlSocket&) = delete;
  ControlSocket& operator=(const ControlSocket&) = delete;
  ~ControlSocket();

  /// URL under which other nodes reach the listener.
  const std::string& Url() const;
  /// Sends to the node that listens on the URL; false if it was dropped.
  bool Send(const std::string& aUrl, uint8_t aKind,
            const std::string& aPayload);
  /// Bytes sent and received so far.
  uint64_t BytesSent() const;
  uint64_t BytesReceived() const;

 private:
  struct Impl;
  /// nng state.
  std::unique_ptr<Impl> impl;
};

}  // namespace fescueline
