#include "Transport/FrameChannel.h"

#include <algorithm>

#include "Transport/SocketRead.h"

namespace fescueline {

namespace {
/// A liveness timer that fires this late indicates that the process was paused.
constexpr Duration kPauseThreshold = std::chrono::seconds(1);
/// Time after the last use for which a connection is checked as often as one
/// in use.
constexpr Duration kQuietAfter = std::chrono::seconds(5);
/// Longest additional time between pings that a remote side may announce.
constexpr Duration kMaxExtraPeriod = std::chrono::seconds(10);
/// Maximum number of frames combined into one write.
constexpr size_t kMaxFramesPerWrite = 16;
}  // namespace

FrameChannel::FrameChannel(Settings aSettings)
    : socket(std::move(aSettings.socket)),
      strand(aSettings.strand),
      peer(std::move(aSettings.peer)),
      sendsPings(aSettings.sendsPings),
      pingPeriod(aSettings.pingPeriod),
      quietPingPeriod(aSettings.quietPingPeriod),
      idleTimeout(aSettings.idleTimeout),
      frameTimeout(aSettings.frameTimeout),
      maxFrameBytes(aSettings.maxFrameBytes),
      livenessTimer(aSettings.strand) {}

void FrameChannel::Start(Handlers aHandlers) {
  this->handlers = std::move(aHandlers);
  this->open = true;
  asio::error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  this->lastReceived = SteadyClock().Now();
  this->lastUse = this->lastReceived;
  this->socket.non_blocking(true, ignored);
  this->Read();
  this->ScheduleLiveness();
}

void FrameChannel::Close(const std::string& aReason) {
  if (!this->open) {
    return;
  }
  this->open = false;
  asio::error_code ignored;
  this->socket.close(ignored);
  this->livenessTimer.cancel();
  Handlers closing = std::move(this->handlers);
  this->handlers = Handlers{};
  if (closing.onClosed) {
    closing.onClosed(aReason);
  }
}

Duration FrameChannel::TransitDelay(int64_t aSentMicroseconds) {
  const int64_t now = std::chrono::duration_cast<std::chrono::microseconds>(
                          SteadyClock().Now().time_since_epoch())
                          .count();
  const int64_t transit = now - aSentMicroseconds;
  this->fastestTransit = std::min(this->fastestTransit, transit);
  return std::chrono::microseconds(transit - this->fastestTransit);
}

void FrameChannel::SendBytes(std::string aBytes,
                             const std::function<void()>& aOnWriting) {
  if (!this->open) {
    return;
  }
  this->writes.push_back({std::move(aBytes), aOnWriting});
  if (this->writing == 0) {
    this->WriteNext();
  }
}

void FrameChannel::WriteNext() {
  std::vector<asio::const_buffer> buffers;
  this->writing = std::min(this->writes.size(), kMaxFramesPerWrite);
  for (size_t i = 0; i < this->writing; ++i) {
    PendingWrite& write = this->writes[i];
    if (write.onWriting) {
      write.onWriting();
    }
    buffers.emplace_back(asio::buffer(write.bytes));
  }
  asio::async_write(
      this->socket, buffers,
      [self = this->shared_from_this()](const asio::error_code& aError,
                                        size_t) {
        if (aError) {
          self->Close("write: " + aError.message());
          return;
        }
        self->writes.erase(
            self->writes.begin(),
            self->writes.begin() + static_cast<std::ptrdiff_t>(self->writing));
        self->writing = 0;
        if (!self->writes.empty() && self->open) {
          self->WriteNext();
        }
      });
}

void FrameChannel::Read() {
  AsyncReadShared(this->socket,
                  [self = this->shared_from_this()](
                      const asio::error_code& aError, std::string_view aBytes) {
                    if (aError) {
                      self->Close("read: " + aError.message());
                      return;
                    }
                    self->lastReceived = SteadyClock().Now();
                    self->OnBytes(aBytes);
                    if (self->open) {
                      self->Read();
                    }
                  });
}

void FrameChannel::OnBytes(std::string_view aBytes) {
  const bool continuesFrame = !this->inbox.empty();
  if (continuesFrame) {
    this->inbox += aBytes;
  }
  std::string_view remaining =
      continuesFrame ? std::string_view(this->inbox) : aBytes;
  const size_t unparsedBytes = remaining.size();
  try {
    this->ConsumeFrames(remaining);
  } catch (const Error& failure) {
    this->Close(failure.what());
  }
  // The bytes of a long frame that arrives in many parts are appended to the
  // inbox and not copied again for each part.
  const bool atFrameStart = !continuesFrame || remaining.size() < unparsedBytes;
  if (this->open && atFrameStart) {
    this->inbox = std::string(remaining);
    this->frameStart = this->lastReceived;
  }
}

void FrameChannel::ConsumeFrames(std::string_view& aBytes) {
  while (this->open && aBytes.size() >= kFramePrefixBytes) {
    const size_t length =
        DecodeFrameLength(aBytes.substr(0, kFramePrefixBytes));
    if (length > this->maxFrameBytes) {
      throw Error("frame.length", this->peer, "frame too long");
    }
    if (aBytes.size() < kFramePrefixBytes + length) {
      return;
    }
    this->OnFrameBody(aBytes.substr(kFramePrefixBytes, length));
    aBytes.remove_prefix(kFramePrefixBytes + length);
  }
}

void FrameChannel::OnFrameBody(std::string_view aBody) {
  try {
    const DecodedFrame frame = DecodeFrame(aBody);
    if (IsUse(frame.type)) {
      this->lastUse = this->lastReceived;
    } else if (frame.type == FrameType::Ping) {
      this->extraPeriod = std::min<Duration>(
          kMaxExtraPeriod,
          std::chrono::milliseconds(frame.As<PingFrame>().extraPeriod));
    }
    if (this->handlers.onFrame) {
      // Closing the connection clears the handlers; the copy keeps this one
      // alive while it runs.
      const auto onFrame = this->handlers.onFrame;
      onFrame(frame);
    }
  } catch (const std::exception& failure) {
    this->Close(failure.what());
  }
}

void FrameChannel::ScheduleLiveness() {
  const Duration extra = this->sendsPings ? this->extraPeriod : Duration(0);
  this->livenessExpiry = SteadyClock().Now() + this->pingPeriod + extra;
  this->livenessTimer.expires_at(this->livenessExpiry);
  this->livenessTimer.async_wait(
      [self = this->shared_from_this()](const asio::error_code& aError) {
        if (!aError && self->open) {
          self->CheckLiveness();
        }
      });
}

bool FrameChannel::HasUnreadBytes() const {
  asio::error_code error;
  return this->socket.available(error) > 0 && !error;
}

void FrameChannel::CheckLiveness() {
  const TimePoint now = SteadyClock().Now();
  if (now - this->livenessExpiry > kPauseThreshold) {
    // The process was paused; unread bytes may be waiting in the socket.
    this->lastReceived = now;
    this->frameStart = now;
  }
  if (!this->inbox.empty() && now - this->frameStart > this->frameTimeout) {
    this->Close("frame without end");
    return;
  }
  if (now - this->lastReceived > this->idleTimeout + this->extraPeriod &&
      !this->HasUnreadBytes()) {
    this->Close("silent");
    return;
  }
  if (this->sendsPings) {
    const bool quiet = now - this->lastUse > kQuietAfter;
    this->extraPeriod =
        quiet ? this->quietPingPeriod - this->pingPeriod : Duration(0);
    this->pingSentAt = now;
    this->Send(
        PingFrame{.sequence = ++this->pingSequence,
                  .extraPeriod = static_cast<uint32_t>(
                      std::chrono::duration_cast<std::chrono::milliseconds>(
                          this->extraPeriod)
                          .count())});
  }
  this->ScheduleLiveness();
}

}  // namespace fescueline
