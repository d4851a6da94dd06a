#include "Transport/PeerClient.h"

#include "Core/Digest.h"
#include "Core/Outcome.h"
#include "Core/RandomSource.h"

namespace fescueline {

namespace {
constexpr size_t kNonceBytes = 16;

int64_t Microseconds(Duration aDuration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(aDuration)
      .count();
}
}  // namespace

PeerClient::PeerClient(Settings aSettings)
    : settings(std::move(aSettings)),
      strand(asio::make_strand(this->settings.io)),
      socket(this->strand),
      connectTimer(this->strand) {}

void PeerClient::Start() {
  asio::post(this->strand, [self = this->shared_from_this()] {
    asio::error_code error;
    const auto host =
        asio::ip::make_address(self->settings.address.host, error);
    if (error) {
      self->OnChannelClosed("invalid address");
      return;
    }
    self->connectTimer.expires_after(self->settings.connectTimeout);
    self->connectTimer.async_wait([self](const asio::error_code& aError) {
      if (!aError && !self->ready) {
        self->Close("connect timeout");
      }
    });
    self->socket.async_connect(
        {host, self->settings.address.port},
        [self](const asio::error_code& aError) { self->OnConnected(aError); });
  });
}

void PeerClient::OnConnected(const asio::error_code& aError) {
  if (aError || this->closed) {
    this->refused = aError == asio::error::connection_refused;
    this->OnChannelClosed("connect: " + aError.message());
    return;
  }
  this->channel = std::make_shared<FrameChannel>(FrameChannel::Settings{
      .socket = std::move(this->socket),
      .strand = this->strand,
      .peer = this->settings.address.host + ":" +
              std::to_string(this->settings.address.port),
      .sendsPings = true,
      .quietPingPeriod = this->settings.quietPingPeriod});
  this->channel->Start(
      {.onFrame = [self = this->shared_from_this()](
                      const DecodedFrame& aFrame) { self->OnFrame(aFrame); },
       .onClosed =
           [self = this->shared_from_this()](const std::string& aReason) {
             self->OnChannelClosed(aReason);
           }});
  this->nonce = SecureRandomBytes(kNonceBytes);
  this->channel->Send(
      HelloFrame{.nodeId = this->settings.self.nodeId,
                 .incarnation = this->settings.self.incarnation.ToString(),
                 .nonce = this->nonce});
}

void PeerClient::OnFrame(const DecodedFrame& aFrame) {
  if (!this->ready) {
    if (aFrame.type != FrameType::HelloAck) {
      throw Error("peer.handshake", this->channel->Peer(), "unexpected frame");
    }
    this->OnHelloAck(aFrame.As<HelloAckFrame>());
    return;
  }
  switch (aFrame.type) {
    case FrameType::Pong: {
      const auto pong = aFrame.As<PongFrame>();
      if (this->settings.onState) {
        this->settings.onState(pong.state, this->remoteIncarnation);
      }
      const auto sentAt = this->channel->PingSentAt(pong.sequence);
      if (sentAt && this->settings.onPong) {
        this->settings.onPong(pong.state, *sentAt);
      }
      break;
    }
    case FrameType::PeerSync:
    case FrameType::TokenGrant:
      if (this->settings.onMessage) {
        this->settings.onMessage(aFrame);
      }
      break;
    case FrameType::StateUpdate:
      if (this->settings.onState) {
        this->settings.onState(aFrame.As<StateUpdateFrame>().state,
                               this->remoteIncarnation);
      }
      break;
    default:
      this->OnStreamFrame(aFrame);
  }
}

void PeerClient::OnHelloAck(const HelloAckFrame& aFrame) {
  const std::string expected = HandshakeProof(
      this->settings.self.fleetSecret, HandshakeRole::Acceptor, this->nonce,
      aFrame.nonce, aFrame.nodeId, aFrame.incarnation);
  if (!EqualConstantTime(expected, aFrame.proof)) {
    throw Error("peer.handshake", this->channel->Peer(),
                "acceptor does not know the fleet secret");
  }
  if (aFrame.nodeId != this->settings.address.nodeId) {
    throw Error("peer.handshake", this->channel->Peer(),
                "address belongs to node " + aFrame.nodeId);
  }
  this->remoteIncarnation = aFrame.incarnation;
  this->channel->Send(HelloConfirmFrame{
      .proof = HandshakeProof(this->settings.self.fleetSecret,
                              HandshakeRole::Dialler, this->nonce, aFrame.nonce,
                              this->settings.self.nodeId,
                              this->settings.self.incarnation.ToString())});
  this->ready = true;
  this->connectTimer.cancel();

  std::vector<std::function<void()>> sends;
  sends.swap(this->deferredSends);
  for (const auto& send : sends) {
    send();
  }
}

void PeerClient::OnStreamFrame(const DecodedFrame& aFrame) {
  switch (aFrame.type) {
    case FrameType::ResponseHead: {
      const auto frame = aFrame.As<ResponseHeadFrame>();
      if (Stream* stream = this->FindStream(frame.stream)) {
        stream->handlers.onHead(frame);
      }
      break;
    }
    case FrameType::ResponseData: {
      auto frame = aFrame.As<ResponseDataFrame>();
      if (Stream* stream = this->FindStream(frame.stream)) {
        stream->handlers.onData(std::move(frame.data));
      }
      break;
    }
    case FrameType::ResponseEnd: {
      const auto frame = aFrame.As<ResponseEndFrame>();
      if (const auto stream = this->ExtractStream(frame.stream)) {
        stream->handlers.onEnd(frame);
      }
      break;
    }
    case FrameType::Refusal: {
      const auto frame = aFrame.As<RefusalFrame>();
      if (const auto stream = this->ExtractStream(frame.stream)) {
        stream->handlers.onRefusal(frame);
      }
      break;
    }
    case FrameType::AttemptReply: {
      const auto frame = aFrame.As<AttemptReplyFrame>();
      if (const auto stream = this->ExtractStream(frame.stream)) {
        stream->handlers.onAttemptReply(frame);
      }
      break;
    }
    default:
      throw Error("peer.frame", this->channel->Peer(), "unexpected frame");
  }
}

void PeerClient::OnChannelClosed(const std::string& aReason) {
  if (this->closed.exchange(true)) {
    return;
  }
  this->connectTimer.cancel();
  if (this->settings.onClosed) {
    this->settings.onClosed(aReason);
  }
  this->FailStreams();
}

void PeerClient::FailStreams() {
  this->deferredSends.clear();
  auto lost = std::move(this->streams);
  this->streams.clear();
  for (const auto& [number, stream] : lost) {
    stream->handlers.onConnectionLost(stream->sent);
  }
}

void PeerClient::SendWhenReady(uint64_t aStream, std::function<void()> aSend) {
  if (this->closed) {
    if (const auto stream = this->ExtractStream(aStream)) {
      stream->handlers.onConnectionLost(false);
    }
  } else if (this->ready) {
    aSend();
  } else {
    this->deferredSends.push_back(std::move(aSend));
  }
}

uint64_t PeerClient::Request(RequestFrame aFrame,
                             PeerStreamHandlers aHandlers) {
  const uint64_t number = this->nextStream++;
  aFrame.stream = number;
  asio::post(this->strand, [self = this->shared_from_this(), number,
                            frame = std::move(aFrame),
                            handlers = std::move(aHandlers)]() mutable {
    self->streams[number] =
        std::make_unique<Stream>(Stream{.handlers = std::move(handlers)});
    self->SendWhenReady(number, [self = self.get(), number,
                                 frame = std::move(frame)]() mutable {
      if (self->FindStream(number) == nullptr) {
        return;  // cancelled before the handshake was done
      }
      frame.sentAt = Microseconds(SteadyClock().Now().time_since_epoch());
      self->channel->Send(frame, [self, number] {
        if (Stream* stream = self->FindStream(number)) {
          stream->sent = true;
        }
      });
    });
  });
  return number;
}

uint64_t PeerClient::Query(const Id128& aAttempt, Duration aAge,
                           std::string aIncarnation,
                           PeerStreamHandlers aHandlers) {
  const uint64_t number = this->nextStream++;
  AttemptQueryFrame frame{.stream = number,
                          .attempt = aAttempt.ToString(),
                          .age = Microseconds(aAge)};
  asio::post(this->strand, [self = this->shared_from_this(), number,
                            frame = std::move(frame),
                            incarnation = std::move(aIncarnation),
                            handlers = std::move(aHandlers)]() mutable {
    self->streams[number] =
        std::make_unique<Stream>(Stream{.handlers = std::move(handlers)});
    self->SendWhenReady(
        number, [self = self.get(), number, frame = std::move(frame),
                 incarnation = std::move(incarnation)] {
          if (self->remoteIncarnation != incarnation) {
            if (const auto stream = self->ExtractStream(number)) {
              stream->handlers.onAttemptReply(AttemptReplyFrame{
                  .stream = number,
                  .outcome = static_cast<uint8_t>(Outcome::Unknown)});
            }
            return;
          }
          self->channel->Send(frame);
        });
  });
  return number;
}

void PeerClient::Credit(uint64_t aStream, uint64_t aBytes) {
  asio::post(this->strand, [self = this->shared_from_this(), aStream, aBytes] {
    if (self->ready && !self->closed) {
      self->channel->Send(CreditFrame{.stream = aStream, .bytes = aBytes});
    }
  });
}

void PeerClient::Cancel(uint64_t aStream) {
  asio::post(this->strand, [self = this->shared_from_this(), aStream] {
    const auto stream = self->ExtractStream(aStream);
    // The opening frame may still be queued; the Cancel frame follows it.
    // Before the handshake the opening frame has not been queued, and without
    // its stream it never will be.
    if (stream && self->ready && !self->closed) {
      self->channel->Send(CancelFrame{.stream = aStream});
    }
  });
}

void PeerClient::Close(const std::string& aReason) {
  asio::post(this->strand, [self = this->shared_from_this(), aReason] {
    if (self->channel) {
      self->channel->Close(aReason);
    } else {
      asio::error_code ignored;
      self->socket.close(ignored);
      self->OnChannelClosed(aReason);
    }
  });
}

void PeerClient::CloseWhenIdle(const std::string& aReason) {
  asio::post(this->strand, [self = this->shared_from_this(), aReason] {
    self->idleCloseReason = aReason;
    self->CloseIfIdle();
  });
}

void PeerClient::CloseIfIdle() {
  if (this->idleCloseReason && (!this->ready || this->streams.empty())) {
    this->Close(*this->idleCloseReason);
  }
}

std::unique_ptr<PeerClient::Stream> PeerClient::ExtractStream(
    uint64_t aStream) {
  auto node = this->streams.extract(aStream);
  // Has no effect before the events of the extracted stream: Close is posted.
  this->CloseIfIdle();
  return node.empty() ? nullptr : std::move(node.mapped());
}

PeerClient::Stream* PeerClient::FindStream(uint64_t aStream) {
  const auto found = this->streams.find(aStream);
  return found == this->streams.end() ? nullptr : found->second.get();
}

}  // namespace fescueline
