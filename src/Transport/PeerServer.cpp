#include "Transport/PeerServer.h"

#include <map>

#include "Core/Digest.h"
#include "Core/RandomSource.h"
#include "Transport/ListenOn.h"

namespace fescueline {

namespace {
constexpr size_t kNonceBytes = 16;
/// Maximum frame size before the handshake is done, in bytes. Handshake frames
/// contain a node id, an incarnation, a nonce and a proof.
constexpr size_t kMaxHandshakeFrameBytes = size_t{4} * 1024;
/// Twice the connect timeout of a dialling node, which covers the connection
/// and the handshake.
constexpr Duration kHandshakeTimeout = std::chrono::seconds(1);
/// Delay after a failed accept, for example when file descriptors run out.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);
std::atomic<uint64_t> sSessionCount{0};
}  // namespace

PeerSession::PeerSession(PeerServer& aServer,
                         std::shared_ptr<FrameChannel> aChannel)
    : server(aServer),
      number(++sSessionCount),
      channel(std::move(aChannel)),
      handshakeTimer(this->channel->GetStrand()) {}

void PeerSession::Start() {
  this->Post([self = this->shared_from_this()] {
    self->channel->Start(
        {.onFrame =
             [self](const DecodedFrame& aFrame) { self->OnFrame(aFrame); },
         .onClosed =
             [self](const std::string&) {
               self->handshakeTimer.cancel();
               self->server.settings.handlers.onClosed(self);
               self->server.Remove(self);
             }});
    self->handshakeTimer.expires_after(kHandshakeTimeout);
    self->handshakeTimer.async_wait([self](const asio::error_code& aError) {
      if (!aError && !self->ready) {
        self->channel->Close("handshake timeout");
      }
    });
  });
}

void PeerSession::Close(const std::string& aReason) {
  this->Post([self = this->shared_from_this(), aReason] {
    self->channel->Close(aReason);
  });
}

void PeerSession::OnFrame(const DecodedFrame& aFrame) {
  if (!this->ready) {
    this->OnHandshakeFrame(aFrame);
    return;
  }
  const PeerServer::Handlers& handlers = this->server.settings.handlers;
  switch (aFrame.type) {
    case FrameType::Request: {
      auto frame = aFrame.As<RequestFrame>();
      const Duration transitDelay = this->channel->TransitDelay(frame.sentAt);
      handlers.onRequest(this->shared_from_this(), std::move(frame),
                         transitDelay);
      break;
    }
    case FrameType::Credit:
      handlers.onCredit(this->shared_from_this(), aFrame.As<CreditFrame>());
      break;
    case FrameType::Cancel:
      handlers.onCancel(this->shared_from_this(),
                        aFrame.As<CancelFrame>().stream);
      break;
    case FrameType::AttemptQuery:
      handlers.onQuery(this->shared_from_this(),
                       aFrame.As<AttemptQueryFrame>());
      break;
    case FrameType::Ping:
      this->Send(PongFrame{.sequence = aFrame.As<PingFrame>().sequence,
                           .state = this->server.StateFor(this->hello.nodeId)});
      break;
    case FrameType::PeerSync:
    case FrameType::TokenRequest:
      if (handlers.onMessage) {
        handlers.onMessage(this->shared_from_this(), aFrame);
      }
      break;
    default:
      throw Error("peer.frame", this->RemoteNode(), "unexpected frame");
  }
}

void PeerSession::OnHandshakeFrame(const DecodedFrame& aFrame) {
  const PeerIdentity& self = this->server.settings.self;
  if (!this->helloReceived && aFrame.type == FrameType::Hello) {
    this->hello = aFrame.As<HelloFrame>();
    this->helloReceived = true;
    this->nonce = SecureRandomBytes(kNonceBytes);
    const std::string incarnation = self.incarnation.ToString();
    this->Send(HelloAckFrame{
        .nodeId = self.nodeId,
        .incarnation = incarnation,
        .nonce = this->nonce,
        .proof = HandshakeProof(self.fleetSecret, HandshakeRole::Acceptor,
                                this->hello.nonce, this->nonce, self.nodeId,
                                incarnation)});
    return;
  }
  if (!this->helloReceived || aFrame.type != FrameType::HelloConfirm) {
    throw Error("peer.handshake", this->channel->Peer(), "unexpected frame");
  }
  const std::string expected = HandshakeProof(
      self.fleetSecret, HandshakeRole::Dialler, this->hello.nonce, this->nonce,
      this->hello.nodeId, this->hello.incarnation);
  if (!EqualConstantTime(expected, aFrame.As<HelloConfirmFrame>().proof)) {
    throw Error("peer.handshake", this->channel->Peer(),
                "dialler does not know the fleet secret");
  }
  this->ready = true;
  this->handshakeTimer.cancel();
  this->channel->SetMaxFrameBytes(kMaxFrameBytes);
  if (this->server.settings.sendsStateOnConnect) {
    this->Send(
        StateUpdateFrame{.state = this->server.StateFor(this->hello.nodeId)});
  }
  if (this->server.settings.handlers.onReady) {
    this->server.settings.handlers.onReady(this->shared_from_this());
  }
}

PeerServer::PeerServer(Settings aSettings)
    : settings(std::move(aSettings)),
      acceptor(asio::make_strand(this->settings.io)),
      acceptTimer(this->acceptor.get_executor()) {
  ListenOn(this->acceptor, this->settings.host, this->settings.port,
           "peer.listen");
}

void PeerServer::Start() {
  asio::post(this->acceptor.get_executor(), [this] { this->Accept(); });
}

uint16_t PeerServer::Port() const {
  return this->acceptor.local_endpoint().port();
}

void PeerServer::Accept() {
  const Strand strand = asio::make_strand(this->settings.io);
  this->acceptor.async_accept(
      strand,
      asio::bind_executor(this->acceptor.get_executor(),
                          [this, strand](const asio::error_code& aError,
                                         asio::ip::tcp::socket aSocket) {
                            if (!this->acceptor.is_open()) {
                              return;
                            }
                            if (!aError) {
                              this->AddSession(std::move(aSocket), strand);
                              this->Accept();
                              return;
                            }
                            this->acceptTimer.expires_after(kAcceptPause);
                            this->acceptTimer.async_wait([this](const auto&) {
                              if (this->acceptor.is_open()) {
                                this->Accept();
                              }
                            });
                          }));
}

void PeerServer::AddSession(asio::ip::tcp::socket aSocket,
                            const Strand& aStrand) {
  asio::error_code ignored;
  const auto remote = aSocket.remote_endpoint(ignored);
  const auto session = std::make_shared<PeerSession>(
      *this, std::make_shared<FrameChannel>(FrameChannel::Settings{
                 .socket = std::move(aSocket),
                 .strand = aStrand,
                 .peer = remote.address().to_string(),
                 .maxFrameBytes = kMaxHandshakeFrameBytes}));
  {
    const std::lock_guard lock(this->mutex);
    this->sessions.insert(session);
  }
  session->Start();
  this->BoundHandshakes();
}

void PeerServer::BoundHandshakes() {
  std::map<uint64_t, SessionPtr> pending;
  for (const SessionPtr& session : this->Sessions()) {
    if (!session->IsReady()) {
      pending.emplace(session->Number(), session);
    }
  }
  // Numbers rise, so the first are the oldest.
  while (pending.size() > this->settings.maxHandshakes) {
    pending.begin()->second->Close("too many handshakes");
    pending.erase(pending.begin());
  }
}

std::set<PeerServer::SessionPtr> PeerServer::Sessions() {
  const std::lock_guard lock(this->mutex);
  return this->sessions;
}

void PeerServer::Remove(const SessionPtr& aSession) {
  const std::lock_guard lock(this->mutex);
  this->sessions.erase(aSession);
}

std::set<std::string> PeerServer::ConnectedNodes() {
  std::set<std::string> nodes;
  for (const SessionPtr& session : this->Sessions()) {
    if (session->IsReady() && session->IsOpen()) {
      nodes.insert(session->RemoteNode());
    }
  }
  return nodes;
}

StateWire PeerServer::StateFor(const std::string& aNode) const {
  StateWire state = this->settings.handlers.state();
  if (this->settings.handlers.describe) {
    this->settings.handlers.describe(aNode, state);
  }
  return state;
}

void PeerServer::PushState() {
  this->PushStateTo([](const std::string&) { return true; });
}

void PeerServer::PushStateTo(
    const std::function<bool(const std::string& aNode)>& aIsReceiver) {
  for (const SessionPtr& session : this->Sessions()) {
    session->Post([this, session, aIsReceiver] {
      // During the handshake the remote side does not accept this frame, and a
      // side that has not proved the fleet secret must not get the state.
      if (session->IsReady() && aIsReceiver(session->RemoteNode())) {
        session->Send(
            StateUpdateFrame{.state = this->StateFor(session->RemoteNode())});
      }
    });
  }
}

PeerServer::SessionPtr PeerServer::SessionOf(const std::string& aNode) {
  for (const SessionPtr& session : this->Sessions()) {
    if (session->IsReady() && session->IsOpen() &&
        session->RemoteNode() == aNode) {
      return session;
    }
  }
  return nullptr;
}

bool PeerServer::HasUnsentFrames() {
  const std::set<SessionPtr> sessions = this->Sessions();
  return std::any_of(
      sessions.begin(), sessions.end(),
      [](const SessionPtr& aSession) { return aSession->HasUnsentFrames(); });
}

void PeerServer::StopAccepting() {
  asio::post(this->acceptor.get_executor(), [this] {
    asio::error_code ignored;
    this->acceptor.close(ignored);
  });
}

void PeerServer::CloseSessions(const std::string& aReason) {
  for (const SessionPtr& session : this->Sessions()) {
    session->Close(aReason);
  }
}

}  // namespace fescueline
