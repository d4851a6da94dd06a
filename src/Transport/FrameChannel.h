#pragma once

#include <asio.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Core/Time.h"
#include "Transport/FrameCodec.h"

namespace fescueline {

/// Strand on the worker pool.
using Strand = asio::strand<asio::io_context::executor_type>;

/// One TCP connection that carries frames. All callbacks and all methods
/// except Post run on the connection's strand. Closes itself when nothing has
/// arrived for the idle timeout, since a middlebox may drop a connection
/// without notifying either end.
class FrameChannel : public std::enable_shared_from_this<FrameChannel> {
 public:
  struct Settings {
    /// Connected socket whose executor is `strand`.
    asio::ip::tcp::socket socket;
    Strand strand;
    /// Address of the remote side, for error messages.
    std::string peer;
    /// Whether this side sends pings (the dialling side does).
    bool sendsPings = false;
    /// Time between pings.
    Duration pingPeriod = std::chrono::milliseconds(500);
    /// Time between pings while only liveness checks use the connection. Not
    /// shorter than pingPeriod.
    Duration quietPingPeriod = std::chrono::milliseconds(500);
    /// The connection is closed when no bytes arrive for this long; longer by
    /// the additional time between pings.
    Duration idleTimeout = std::chrono::milliseconds(1500);
    /// Maximum time from the first to the last byte of a frame. The largest
    /// frame takes half of it at 4 Mbit/s.
    Duration frameTimeout = std::chrono::seconds(5);
    /// Largest frame that is accepted, in bytes.
    size_t maxFrameBytes = kMaxFrameBytes;
  };

  /// Events of the connection.
  struct Handlers {
    /// A frame arrived. An exception closes the connection.
    std::function<void(const DecodedFrame&)> onFrame;
    /// The connection ended; gets the reason. Called once.
    std::function<void(const std::string&)> onClosed;
  };

  explicit FrameChannel(Settings aSettings);

  /// Starts reading and the liveness timer.
  void Start(Handlers aHandlers);

  /// Queues a frame. `aOnWriting` is called just before its bytes are passed
  /// to the socket.
  template <typename T>
  void Send(const T& aFrame, const std::function<void()>& aOnWriting = {}) {
    if (IsUse(T::kType)) {
      this->lastUse = SteadyClock().Now();
    }
    this->SendBytes(EncodeFrame(aFrame), aOnWriting);
  }

  /// Closes the connection and reports the reason to onClosed.
  void Close(const std::string& aReason);

  /// Runs a function on the strand. Thread-safe.
  template <typename F>
  void Post(F aFunction) {
    asio::post(this->strand, std::move(aFunction));
  }

  void SetMaxFrameBytes(size_t aBytes) { this->maxFrameBytes = aBytes; }
  bool IsOpen() const { return this->open; }
  /// Whether frames wait to be written to the socket. Only on the strand.
  bool HasUnsentFrames() const { return this->open && !this->writes.empty(); }
  /// Send time of the ping with that sequence number; nothing unless it is the
  /// latest one.
  std::optional<TimePoint> PingSentAt(uint64_t aSequence) const {
    return aSequence == this->pingSequence ? std::optional(this->pingSentAt)
                                           : std::nullopt;
  }
  const Strand& GetStrand() const { return this->strand; }
  const std::string& Peer() const { return this->peer; }

  /// Transit delay of a message beyond the fastest transit seen on this
  /// connection. Takes the send time from the sender's clock; only differences
  /// count, so the clocks need not agree.
  Duration TransitDelay(int64_t aSentMicroseconds);

 private:
  struct PendingWrite {
    std::string bytes;
    std::function<void()> onWriting;
  };

  /// Whether a frame is more than a liveness check.
  static constexpr bool IsUse(FrameType aType) {
    return aType != FrameType::Ping && aType != FrameType::Pong &&
           aType != FrameType::StateUpdate;
  }
  void SendBytes(std::string aBytes, const std::function<void()>& aOnWriting);
  void WriteNext();
  void Read();
  /// Handles the complete frames received so far.
  void OnBytes(std::string_view aBytes);
  /// Handles the complete frames at the front and removes them.
  void ConsumeFrames(std::string_view& aBytes);
  void OnFrameBody(std::string_view aBody);
  void ScheduleLiveness();
  void CheckLiveness();
  /// Whether the socket holds bytes that a busy process has not read yet.
  bool HasUnreadBytes() const;

  asio::ip::tcp::socket socket;
  /// Serialises everything on this connection.
  Strand strand;
  std::string peer;
  bool sendsPings;
  /// Time between pings and liveness checks.
  Duration pingPeriod;
  Duration quietPingPeriod;
  Duration idleTimeout;
  Duration frameTimeout;
  size_t maxFrameBytes;
  /// Event handlers; cleared on close to break reference cycles.
  Handlers handlers;
  asio::steady_timer livenessTimer;
  /// Expiry time of the liveness timer, to detect that it fires late.
  TimePoint livenessExpiry;
  TimePoint lastReceived;
  /// When a frame other than a liveness check was last sent or received.
  TimePoint lastUse{};
  /// Additional time until the next ping, as sent or as announced by the remote
  /// side.
  Duration extraPeriod{};
  /// Sequence number of the latest ping.
  uint64_t pingSequence = 0;
  TimePoint pingSentAt{};
  /// Queued frames; the first `writing` of them are being written.
  std::deque<PendingWrite> writes;
  /// Number of frames in the write in progress.
  size_t writing = 0;
  /// Received part of an incomplete frame.
  std::string inbox;
  /// When the first bytes of the frame in `inbox` arrived.
  TimePoint frameStart{};
  bool open = false;
  /// Smallest difference between receive and send time so far, microseconds.
  /// Includes the offset between the two clocks.
  int64_t fastestTransit = INT64_MAX;
};

}  // namespace fescueline
