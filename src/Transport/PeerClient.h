#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "Transport/FrameChannel.h"
#include "Transport/PeerIdentity.h"

namespace fescueline {

/// Address of a node's peer listener.
struct PeerAddress {
  /// Node id.
  std::string nodeId;
  /// IP address.
  std::string host;
  /// TCP port.
  uint16_t port = 0;
};

/// Events of one stream. They run on the connection's strand, so they must
/// return soon; exactly one of onEnd, onRefusal, onAttemptReply and onLost
/// ends the stream.
struct PeerStreamHandlers {
  std::function<void(const ResponseHeadFrame&)> onHead;
  std::function<void(std::string)> onData;
  std::function<void(const ResponseEndFrame&)> onEnd;
  std::function<void(const RefusalFrame&)> onRefusal;
  std::function<void(const AttemptReplyFrame&)> onAttemptReply;
  /// The connection ended first. `aSent` is false if no byte of the request
  /// was handed to the socket.
  std::function<void(bool aSent)> onLost;
};

/// Dialling side of a connection to another node. Any thread may call the
/// public methods; the work is done on the connection's strand.
class PeerClient : public std::enable_shared_from_this<PeerClient> {
 public:
  /// Construction parameters.
  struct Settings {
    asio::io_context& io;
    PeerIdentity self;
    PeerAddress address;
    /// Time for the TCP connection and the handshake.
    Duration connectTimeout = std::chrono::milliseconds(500);
    /// State of the target beside the other node; after each pong and push.
    std::function<void(const StateWire&, const std::string& aIncarnation)>
        onState;
    /// The other side answered the ping sent at that time.
    std::function<void(const StateWire&, TimePoint aPingSentAt)> onPong;
    /// Any other frame that belongs to no stream.
    std::function<void(const DecodedFrame&)> onMessage;

    /// The connection ended.
    std::function<void(const std::string& aReason)> onClosed;
  };

  explicit PeerClient(Settings aSettings);

  /// Starts to connect. Call once.
  void Start();
  /// Starts a stream. Requests wait until the handshake is done.
  uint64_t Request(RequestFrame aFrame, PeerStreamHandlers aHandlers);
  /// Asks for an attempt that was sent on an earlier connection to the node
  /// incarnation `aIncarnation`; answered "unknown" for any other.
  uint64_t Query(const Id128& aAttempt, Duration aAge, std::string aIncarnation,
                 PeerStreamHandlers aHandlers);
  /// Allows more body bytes on a stream.
  void Credit(uint64_t aStream, uint64_t aBytes);
  /// Gives up a stream without further events.
  void Cancel(uint64_t aStream);
  /// Sends a frame outside of any stream; dropped before the handshake.
  template <typename T>
  void SendMessage(T aFrame) {
    asio::post(this->strand,
               [self = this->shared_from_this(), frame = std::move(aFrame)] {
                 if (self->ready && !self->closed) {
                   self->channel->Send(frame);
                 }
               });
  }
  /// Closes the connection.
  void Close(const std::string& aReason);
  /// Whether the handshake is done. On the strand or from stream events.
  bool IsReady() const { return this->ready; }
  /// Whether the connection has ended or failed. Any thread.
  bool IsClosed() const { return this->closed.load(); }
  /// Whether the other side's host answered that nobody listens: no process of
  /// that node is running. Valid once closed.
  bool WasRefused() const { return this->refused.load(); }
  /// Incarnation of the other node; empty before the handshake. On the strand
  /// or from stream events.
  const std::string& RemoteIncarnation() const {
    return this->remoteIncarnation;
  }

 private:
  struct Stream {
    PeerStreamHandlers handlers;
    /// Whether bytes of the opening frame went to the socket.
    bool sent = false;
  };

  void OnConnected(const asio::error_code& aError);
  void OnFrame(const DecodedFrame& aFrame);
  void OnHelloAck(const HelloAckFrame& aFrame);
  void OnStreamFrame(const DecodedFrame& aFrame);
  void OnChannelClosed(const std::string& aReason);
  void FailAll();
  void Open(uint64_t aStream, std::function<void()> aSend);
  /// Takes a stream out of the table; null if it is not there.
  std::unique_ptr<Stream> Take(uint64_t aStream);
  Stream* Find(uint64_t aStream);

  Settings settings;
  /// Serialises the connection.
  Strand strand;
  /// Socket until the channel takes it over.
  asio::ip::tcp::socket socket;
  /// Bounds connect and handshake.
  asio::steady_timer connectTimer;
  /// The connection, once it is established.
  std::shared_ptr<FrameChannel> channel;
  /// Nonce of the Hello.
  std::string nonce;
  /// Whether the other side has proved the fleet secret.
  bool ready = false;
  /// Set when the connection has ended.
  std::atomic<bool> closed{false};
  /// Set when the connection was refused.
  std::atomic<bool> refused{false};
  /// Source of stream numbers.
  std::atomic<uint64_t> nextStream{1};
  /// Incarnation of the other node.
  std::string remoteIncarnation;
  /// Streams without an end.
  std::unordered_map<uint64_t, std::unique_ptr<Stream>> streams;
  /// Opening frames that wait for the handshake.
  std::vector<std::function<void()>> waiting;
};

}  // namespace fescueline
