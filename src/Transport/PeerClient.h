#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Transport/FrameChannel.h"
#include "Transport/PeerIdentity.h"

namespace fescueline {

/// Address of a node's peer listener.
struct PeerAddress {
  std::string nodeId;
  /// IP address.
  std::string host;
  uint16_t port = 0;
};

/// Events of one stream. They run on the connection's strand and must not
/// block. Exactly one of onEnd, onRefusal, onAttemptReply and onConnectionLost
/// ends the stream.
struct PeerStreamHandlers {
  std::function<void(const ResponseHeadFrame&)> onHead;
  std::function<void(std::string)> onData;
  std::function<void(const ResponseEndFrame&)> onEnd;
  std::function<void(const RefusalFrame&)> onRefusal;
  std::function<void(const AttemptReplyFrame&)> onAttemptReply;
  /// The connection ended before the stream. `aSent` is false if no byte of the
  /// request was passed to the socket.
  std::function<void(bool aSent)> onConnectionLost;
};

/// Dialling side of a connection to another node. Any thread may call the
/// public methods except where noted; the work runs on the connection's
/// strand.
class PeerClient : public std::enable_shared_from_this<PeerClient> {
 public:
  struct Settings {
    asio::io_context& io;
    PeerIdentity self;
    PeerAddress address;
    /// Timeout for the TCP connection and the handshake together.
    Duration connectTimeout = std::chrono::milliseconds(500);
    /// Time between pings while no request uses the connection.
    Duration quietPingPeriod = std::chrono::milliseconds(500);
    /// State of the remote node's target; after each Pong and StateUpdate.
    std::function<void(const StateWire&, const std::string& aIncarnation)>
        onState;
    /// A Pong arrived for the ping that was sent at that time.
    std::function<void(const StateWire&, TimePoint aPingSentAt)> onPong;
    /// Any other frame that belongs to no stream.
    std::function<void(const DecodedFrame&)> onMessage;

    /// The connection ended or could not be established. Called once.
    std::function<void(const std::string& aReason)> onClosed;
  };

  explicit PeerClient(Settings aSettings);

  /// Starts connecting. Call once.
  void Start();
  /// Starts a stream and returns its id. The request is queued until the
  /// handshake is done.
  uint64_t Request(RequestFrame aFrame, PeerStreamHandlers aHandlers);
  /// Queries the outcome of an attempt that was sent on an earlier connection
  /// to the node incarnation `aIncarnation`. Reports "unknown" if the node has
  /// another incarnation now.
  uint64_t Query(const Id128& aAttempt, Duration aAge, std::string aIncarnation,
                 PeerStreamHandlers aHandlers);
  /// Allows more body bytes on a stream.
  void Credit(uint64_t aStream, uint64_t aBytes);
  /// Cancels a stream; no further events are reported for it.
  void Cancel(uint64_t aStream);
  /// Sends a frame that belongs to no stream; dropped before the handshake.
  template <typename T>
  void SendMessage(T aFrame) {
    asio::post(this->strand,
               [self = this->shared_from_this(), frame = std::move(aFrame)] {
                 if (self->ready && !self->closed) {
                   self->channel->Send(frame);
                 }
               });
  }
  void Close(const std::string& aReason);
  /// Closes the connection as soon as no stream is open, so that requests in
  /// flight get their responses. Before the handshake it is closed at once, as
  /// none of its requests has been sent.
  void CloseWhenIdle(const std::string& aReason);
  /// Whether the handshake is done. Call on the strand only.
  bool IsReady() const { return this->ready; }
  /// Whether the connection has ended or failed.
  bool IsClosed() const { return this->closed.load(); }
  /// Whether the remote host refused the connection, so no process of that node
  /// is listening. Valid once closed.
  bool WasRefused() const { return this->refused.load(); }
  /// Incarnation of the remote node; empty before the handshake. Call on the
  /// strand only.
  const std::string& RemoteIncarnation() const {
    return this->remoteIncarnation;
  }

 private:
  struct Stream {
    PeerStreamHandlers handlers;
    /// Whether the opening frame was passed to the socket.
    bool sent = false;
  };

  void OnConnected(const asio::error_code& aError);
  void OnFrame(const DecodedFrame& aFrame);
  void OnHelloAck(const HelloAckFrame& aFrame);
  void OnStreamFrame(const DecodedFrame& aFrame);
  void OnChannelClosed(const std::string& aReason);
  void FailStreams();
  /// Closes the connection if CloseWhenIdle was called and no request of an
  /// open stream has been sent.
  void CloseIfIdle();
  void SendWhenReady(uint64_t aStream, std::function<void()> aSend);
  /// Removes a stream from the table and returns it; null if absent.
  std::unique_ptr<Stream> ExtractStream(uint64_t aStream);
  Stream* FindStream(uint64_t aStream);

  Settings settings;
  /// Serialises the connection.
  Strand strand;
  /// Moved into the channel once connected.
  asio::ip::tcp::socket socket;
  asio::steady_timer connectTimer;
  /// Null until connected.
  std::shared_ptr<FrameChannel> channel;
  /// Nonce that was sent in the Hello.
  std::string nonce;
  /// Whether the remote side has proved that it has the fleet secret.
  bool ready = false;
  std::atomic<bool> closed{false};
  std::atomic<bool> refused{false};
  std::atomic<uint64_t> nextStream{1};
  std::string remoteIncarnation;
  /// Open streams by id.
  std::unordered_map<uint64_t, std::unique_ptr<Stream>> streams;
  /// Reason given to CloseWhenIdle; nothing before the call.
  std::optional<std::string> idleCloseReason;
  /// Sends that are deferred until the handshake is done.
  std::vector<std::function<void()>> deferredSends;
};

}  // namespace fescueline
