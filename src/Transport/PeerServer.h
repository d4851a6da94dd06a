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
/// connection's strand, except Post and Close.
class PeerSession : public std::enable_shared_from_this<PeerSession> {
 public:
  PeerSession(PeerServer& aServer, std::shared_ptr<FrameChannel> aChannel);

  /// Sends a frame if the connection is still open.
  template <typename T>
  void Send(const T& aFrame) {
    this->channel->Send(aFrame);
  }
  /// Runs a function on the strand. Thread-safe.
  template <typename F>
  void Post(F aFunction) {
    this->channel->Post(std::move(aFunction));
  }

  const Strand& GetStrand() const { return this->channel->GetStrand(); }
  bool IsOpen() const { return this->channel->IsOpen(); }
  /// Node id of the remote side. Valid after the handshake.
  const std::string& RemoteNode() const { return this->hello.nodeId; }
  /// Whether the handshake is done.
  bool IsReady() const { return this->ready; }
  /// Whether frames wait to be written. Only on the strand.
  bool HasUnsentFrames() const { return this->channel->HasUnsentFrames(); }
  /// Session id, unique within the process.
  uint64_t Number() const { return this->number; }

  void Start();
  /// Closes the connection. Thread-safe.
  void Close(const std::string& aReason);

 private:
  void OnFrame(const DecodedFrame& aFrame);
  void OnHandshakeFrame(const DecodedFrame& aFrame);

  /// Owner; outlives its sessions.
  PeerServer& server;
  uint64_t number;
  std::shared_ptr<FrameChannel> channel;
  /// Hello frame of the dialling node.
  HelloFrame hello;
  /// Nonce that was sent in the HelloAck.
  std::string nonce;
  bool helloReceived = false;
  /// Whether the remote side has proved that it has the fleet secret.
  std::atomic<bool> ready{false};
  asio::steady_timer handshakeTimer;
};

/// Accepts connections from other nodes and passes their frames to the
/// handlers. Thread-safe. Must outlive the last callback of the worker pool.
class PeerServer {
 public:
  using SessionPtr = std::shared_ptr<PeerSession>;

  /// Events; all run on the session's strand.
  struct Handlers {
    /// A request and its transit delay.
    std::function<void(const SessionPtr&, RequestFrame, Duration aTransitDelay)>
        onRequest;
    std::function<void(const SessionPtr&, const CreditFrame&)> onCredit;
    std::function<void(const SessionPtr&, uint64_t aStream)> onCancel;
    std::function<void(const SessionPtr&, const AttemptQueryFrame&)> onQuery;
    std::function<void(const SessionPtr&)> onClosed;
    /// The handshake is done.
    std::function<void(const SessionPtr&)> onReady;
    /// Any other frame that belongs to no stream.
    std::function<void(const SessionPtr&, const DecodedFrame&)> onMessage;
    /// Returns the state of the local target.
    std::function<StateWire()> state;
    /// Adds what is meant for one connected node only. Optional.
    std::function<void(const std::string& aNode, StateWire&)> describe;
  };

  struct Settings {
    asio::io_context& io;
    PeerIdentity self;
    /// IP address to listen on.
    std::string host;
    /// TCP port; 0 lets the kernel choose one.
    uint16_t port = 0;
    /// Whether the target's state is sent when the handshake is done. Otherwise
    /// the remote side waits half a second for its first Pong. Only for fleets
    /// whose nodes know a target before they connect to its node: a node that
    /// does not know the target drops the state, and would then prefer the
    /// targets that it happened to know.
    bool sendsStateOnConnect = false;
    /// Maximum number of connections whose handshake is not done. A new one
    /// replaces the oldest.
    size_t maxHandshakes = 1024;
    Handlers handlers;
  };

  /// Binds the listener. Throws Error on failure.
  explicit PeerServer(Settings aSettings);

  void Start();
  uint16_t Port() const;
  /// Sends the target's state to all connected nodes.
  void PushState();
  /// Sends the target's state to the connected nodes that aIsReceiver selects.
  void PushStateTo(
      const std::function<bool(const std::string& aNode)>& aIsReceiver);
  /// Session of a connected node; null if there is none.
  SessionPtr SessionOf(const std::string& aNode);
  /// Ids of the nodes that are connected and have completed the handshake.
  std::set<std::string> ConnectedNodes();
  /// Whether frames wait to be written to any node. Only where all sessions run
  /// on the caller's loop.
  bool HasUnsentFrames();
  /// Stops accepting; open connections stay.
  void StopAccepting();
  void CloseSessions(const std::string& aReason);

 private:
  friend class PeerSession;

  void Accept();
  void AddSession(asio::ip::tcp::socket aSocket, const Strand& aStrand);
  /// Closes the oldest connections without a handshake beyond the maximum.
  void BoundHandshakes();
  StateWire StateFor(const std::string& aNode) const;
  void Remove(const SessionPtr& aSession);
  std::set<SessionPtr> Sessions();

  Settings settings;
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer acceptTimer;
  /// Guards `sessions`; no other lock is taken while it is held.
  std::mutex mutex;
  std::set<SessionPtr> sessions;
};

}  // namespace fescueline
