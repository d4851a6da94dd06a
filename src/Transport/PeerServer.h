#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "Transport/FrameChannel.h"
#include "Transport/PeerIdentity.h"

namespace fescueline {

class PeerServer;

/// Accepting side of a connection from another node. Methods run on the
/// connection's strand, except Post.
class PeerSession : public std::enable_shared_from_this<PeerSession> {
 public:
  PeerSession(PeerServer& aServer, std::shared_ptr<FrameChannel> aChannel);

  /// Sends a frame if the connection is still open.
  template <typename T>
  void Send(const T& aFrame) {
    this->channel->Send(aFrame);
  }
  /// Runs a function on the strand. Any thread.
  template <typename F>
  void Post(F aFunction) {
    this->channel->Post(std::move(aFunction));
  }

  const Strand& GetStrand() const { return this->channel->GetStrand(); }
  bool IsOpen() const { return this->channel->IsOpen(); }
  /// Node id of the other side, after the handshake.
  const std::string& RemoteNode() const { return this->hello.nodeId; }
  /// Whether the handshake is done.
  bool IsReady() const { return this->ready; }
  /// Number of the session, unique within the process.
  uint64_t Number() const { return this->number; }

  void Start();
  /// Closes the connection. Any thread.
  void Close(const std::string& aReason);

 private:
  void OnFrame(const DecodedFrame& aFrame);
  void OnHandshakeFrame(const DecodedFrame& aFrame);

  /// Owner; outlives its sessions.
  PeerServer& server;
  /// Number of the session.
  uint64_t number;
  /// The connection.
  std::shared_ptr<FrameChannel> channel;
  /// Hello of the dialling node.
  HelloFrame hello;
  /// Nonce of this side.
  std::string nonce;
  /// Whether Hello has arrived.
  bool greeted = false;
  /// Whether the other side has proved the fleet secret.
  bool ready = false;
  /// Bounds the handshake.
  asio::steady_timer handshakeTimer;
};

/// Accepts connections from other nodes and hands their frames to the
/// handlers. Any thread may call the public methods. Must outlive the worker
/// pool's last callback.
class PeerServer {
 public:
  using SessionPtr = std::shared_ptr<PeerSession>;

  /// Events; all run on the session's strand.
  struct Handlers {
    /// A request, and its transit delay.
    std::function<void(const SessionPtr&, RequestFrame, Duration aTransitDelay)>
        onRequest;
    std::function<void(const SessionPtr&, const CreditFrame&)> onCredit;
    std::function<void(const SessionPtr&, uint64_t aStream)> onCancel;
    std::function<void(const SessionPtr&, const AttemptQueryFrame&)> onQuery;
    std::function<void(const SessionPtr&)> onClosed;
    /// The other side has proved the fleet secret.
    std::function<void(const SessionPtr&)> onReady;
    /// Any other frame that belongs to no stream.
    std::function<void(const SessionPtr&, const DecodedFrame&)> onMessage;
    /// State of the local target for a pong.
    std::function<StateWire()> state;
  };

  /// Construction parameters.
  struct Settings {
    asio::io_context& io;
    PeerIdentity self;
    /// IP address to listen on.
    std::string host;
    /// TCP port; 0 picks one.
    uint16_t port = 0;
    /// Whether the state is sent when the handshake is done. Otherwise the
    /// other side waits half a second for its first pong. Only for fleets whose
    /// nodes know a target before they connect to its node: others drop the
    /// state, and would prefer the targets of those who happened to know
    /// theirs.
    bool sendsStateOnConnect = false;
    Handlers handlers;
  };

  /// Binds the listener. Throws Error if that fails.
  explicit PeerServer(Settings aSettings);

  void Start();
  uint16_t Port() const;
  /// Sends the target's state on all connections.
  void PushState();
  /// Nodes that are connected now.
  std::set<std::string> ConnectedNodes();
  /// Stops accepting; connections stay.
  void StopAccepting();
  /// Closes all connections.
  void CloseSessions(const std::string& aReason);

 private:
  friend class PeerSession;

  void Accept();
  void Remove(const SessionPtr& aSession);
  std::set<SessionPtr> Sessions();

  Settings settings;
  asio::ip::tcp::acceptor acceptor;
  /// Guards `sessions`; no other lock is taken while it is held.
  std::mutex mutex;
  std::set<SessionPtr> sessions;
};

}  // namespace fescueline
