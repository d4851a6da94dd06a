#pragma once

#include <asio.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Node/FleetView.h"
#include "Node/Metrics.h"
#include "Node/PeerPool.h"
#include "Node/Refusal.h"
#include "Node/ResponseRelay.h"
#include "Node/RunningAttempt.h"
#include "Retry/RetryPolicy.h"
#include "Transport/HttpServer.h"

namespace fescueline {

/// Forwards one request from this node to a target: chooses targets, sends
/// attempts, retries within the budget, queries the outcome of lost attempts,
/// and relays the response. Runs on its own strand.
class ForwardCall : public std::enable_shared_from_this<ForwardCall> {
 public:
  /// How the call ended, for metrics and claims.
  struct Result {
    /// Status of the target's response; 0 if there was none.
    int status = 0;
    /// Refusal if there was no response.
    Refusal refusal;
  };

  struct Settings {
    asio::io_context& io;
    FleetView& fleet;
    PeerPool& peers;
    Metrics& metrics;
    std::string fleetSecret;
    /// Receives the response.
    HttpExchangePtr exchange;
    /// Context of the call; the attempt id is set for each attempt.
    RequestContext context;
    /// Route for which the thresholds on the response are recorded.
    std::string pathRoute;
    /// Headers for the target, without fescueline headers.
    HttpHeaders headers;
    TimePoint deadline;
    /// Attempt that holds the retry budget.
    RunningAttemptPtr budget;
    /// Runs once, at the end of the call, before a refusal or a buffered
    /// response is sent.
    std::function<void(const Result&)> onEnd;
    /// Runs once, when the last byte of the response has been sent.
    std::function<void()> onSent;
  };

  explicit ForwardCall(Settings aSettings);

  /// Starts the call. Thread-safe.
  void Start();
  /// Cancels the call, because the caller disconnected or the parent attempt
  /// ended. Thread-safe.
  void Abort();

 private:
  /// State of the attempt in progress.
  struct Attempt {
    ChosenTarget target;
    /// Connection that carries the attempt.
    PeerPool::ClientPtr client;
    /// Stream on the connection.
    uint64_t stream = 0;
    Id128 id;
    TimePoint startedAt;
    /// Retries granted to the target's node.
    uint32_t granted = 0;
    /// Incarnation of the target's node; set when the connection is lost.
    std::string incarnation;
  };

  void TryNext();
  void Send(const ChosenTarget& aTarget);
  RequestFrame MakeFrame() const;
  PeerStreamHandlers StreamHandlers();
  /// Runs a function on the strand if the attempt is still the current one.
  template <typename F>
  void PostFor(uint64_t aAttempt, F aFunction);
  void OnHead(ResponseHeadFrame aFrame);
  void OnData(std::string aData);
  void OnEnd(const ResponseEndFrame& aFrame);
  void OnRefusal(const RefusalFrame& aFrame);
  void OnAttemptReply(const AttemptReplyFrame& aFrame);
  void OnLost(bool aSent, std::string aIncarnation);
  /// Abandons the attempt, because a frame of the peer does not belong to a
  /// valid response.
  void OnProtocolError(std::string_view aPart);
  void Query();
  /// Handles a failed attempt: retries it, refuses the request, or ends a
  /// response that is already streamed.
  void OnFailed(Outcome aOutcome, Cause aCause, Duration aRetryAfter);
  bool MayRetry(Outcome aOutcome, Cause aCause) const;
  void EndAttempt(CallResult aResult, uint32_t aUnspentRetries);
  void OnDeadline();
  void Refuse(const Refusal& aRefusal);
  /// Delivers a buffered response, or ends a streamed one.
  void Finish(bool aComplete);

  Settings settings;
  ResponseRelay response;
  /// Serialises the call.
  Strand strand;
  /// Fires at the deadline.
  asio::steady_timer timer;
  /// Delays queries after a lost connection.
  asio::steady_timer queryTimer;
  TimePoint startedAt;
  std::optional<Attempt> attempt;
  /// When the connection of the attempt was lost.
  TimePoint lostAt{};
  /// Number of the current attempt; events of earlier attempts are ignored.
  uint64_t attemptNumber = 0;
  std::vector<TargetRef> tried;
  /// Whether an earlier attempt may have run.
  bool mayHaveRun = false;
  /// Cause and suggested wait of the last failed attempt.
  Cause lastCause = Cause::NoTarget;
  Duration lastRetryAfter{0};
  /// Whether the call has ended.
  bool done = false;
};

}  // namespace fescueline
