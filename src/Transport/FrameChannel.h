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
/// arrived for the silence limit, since a middlebox may drop a connection
/// without either end hearing of it.
class FrameChannel : public std::enable_shared_from_this<FrameChannel> {
 public:
  /// Construction parameters.
  struct Settings {
    /// Connected socket whose executor is `strand`.
    asio::ip::tcp::socket socket;
    /// Strand of the connection.
    Strand strand;
    /// Address of the other side, for errors.
    std::string peer;
    /// Whether this side sends pings (the dialling side does).
    bool sendsPings = false;
    /// Time between pings.
    Duration pingPeriod = std::chrono::milliseconds(500);
    /// A connection with no bytes for this long is closed.
    Duration silenceLimit = std::chrono::milliseconds(1500);
    /// Longest time from the first to the last byte of a frame. The longest
    /// frame takes half of it at 4 Mbit/s.
    Duration frameLimit = std::chrono::seconds(5);
    /// Longest frame that is accepted, bytes.
    size_t maxFrameBytes = kMaxFrameBytes;
  };

  /// Events of the connection.
  struct Handlers {
    /// A frame arrived. An exception closes the connection.
    std::function<void(const DecodedFrame&)> onFrame;
    /// The connection ended, with the reason. Called once.
    std::function<void(const std::string&)> onClosed;
  };

  explicit FrameChannel(Settings aSettings);

  /// Starts reading and the liveness timer.
  void Start(Handlers aHandlers);

  /// Queues a frame. `aOnWriting` is called just before its bytes are handed
  /// to the socket.
  template <typename T>
  void Send(const T& aFrame, const std::function<void()>& aOnWriting = {}) {
    this->SendBytes(EncodeFrame(aFrame), aOnWriting);
  }

  /// Closes the connection and reports the reason to onClosed.
  void Close(const std::string& aReason);

  /// Runs a function on the strand. Any thread.
  template <typename F>
  void Post(F aFunction) {
    asio::post(this->strand, std::move(aFunction));
  }

  /// Changes the longest frame that is accepted.
  void SetMaxFrameBytes(size_t aBytes) { this->maxFrameBytes = aBytes; }
  bool IsOpen() const { return this->open; }
  /// When the ping with that number left; nothing unless it is the last one.
  std::optional<TimePoint> PingSentAt(uint64_t aSequence) const {
    return aSequence == this->pingSequence ? std::optional(this->pingSentAt)
                                           : std::nullopt;
  }
  const Strand& GetStrand() const { return this->strand; }
  const std::string& Peer() const { return this->peer; }

  /// Delay of a message with the given send time, beyond the fastest transit
  /// seen on this connection.
  Duration TransitDelay(int64_t aSentMicroseconds);

 private:
  struct PendingWrite {
    /// Encoded frame.
    std::string bytes;
    /// Called before the bytes go to the socket.
    std::function<void()> onWriting;
  };

  void SendBytes(std::string aBytes, const std::function<void()>& aOnWriting);
  void WriteNext();
  void Read();
  /// Handles the whole frames that have arrived.
  void OnBytes(std::string_view aBytes);
  /// Handles the whole frames at the front and removes them.
  void TakeFrames(std::string_view& aBytes);
  void OnBody(std::string_view aBody);
  void ScheduleLiveness();
  void CheckLiveness();
  /// Whether bytes have arrived that a busy process has not read yet.
  bool HasUnreadBytes() const;

  /// The connection.
  asio::ip::tcp::socket socket;
  /// Serialises everything on this connection.
  Strand strand;
  /// Address of the other side.
  std::string peer;
  /// Whether this side sends pings.
  bool sendsPings;
  /// Time between pings and liveness checks.
  Duration pingPeriod;
  /// Longest time without received bytes.
  Duration silenceLimit;
  /// Longest time that one frame may take to arrive.
  Duration frameLimit;
  /// Longest frame that is accepted.
  size_t maxFrameBytes;
  /// Event handlers; cleared on close to break reference cycles.
  Handlers handlers;
  /// Fires every ping period.
  asio::steady_timer livenessTimer;
  /// When the liveness timer was due.
  TimePoint livenessDue;
  /// When bytes last arrived.
  TimePoint lastReceived;
  /// Number of the last ping.
  uint64_t pingSequence = 0;
  /// When it was sent.
  TimePoint pingSentAt{};
  /// Frames waiting to be written; the front ones are being written.
  std::deque<PendingWrite> writes;
  /// Number of queued frames that the running write covers.
  size_t writing = 0;
  /// Part of a frame that has arrived.
  std::string inbox;
  /// When the first bytes of that frame arrived.
  TimePoint frameSince{};
  /// Whether the connection is usable.
  bool open = false;
  /// Smallest difference of receive and send time seen, microseconds.
  int64_t fastestTransit = INT64_MAX;
};

}  // namespace fescueline
