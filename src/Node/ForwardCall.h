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

/// One request on its way from this node to a target: chooses targets, sends
/// attempts, retries within the budget, resolves lost attempts and passes the
/// response on. Runs on a strand of its own.
class ForwardCall : public std::enable_shared_from_this<ForwardCall> {
 public:
  /// How the call ended, for metrics and claims.
  struct Result {
    /// Status of the target's response; 0 if there was none.
    int status = 0;
    /// Refusal if there was no response.
    Refusal refusal;
  };

  /// Construction parameters.
  struct Settings {
    asio::io_context& io;
    FleetView& fleet;
    PeerPool& peers;
    Metrics& metrics;
    std::string fleetSecret;
    /// Where the response goes.
    HttpExchangePtr exchange;
    /// Context of the call; the attempt id is set for each attempt.
    RequestContext context;
    /// Route whose path the thresholds on the response belong to.
    std::string pathRoute;
    /// Headers for the target, without those of this project.
    HttpHeaders headers;
    /// When the call expires.
    TimePoint deadline;
    /// Holder of the retry budget.
    RunningAttemptPtr budget;
    /// Runs once, at the end, before a refusal is sent.
    std::function<void(const Result&)> onEnd;
    /// Runs once, when the last byte of the response has left.
    std::function<void()> onSent;
  };

  explicit ForwardCall(Settings aSettings);

  /// Starts the call. Any thread.
  void Start();
  /// Gives up: the caller left or the parent attempt ended. Any thread.
  void Abort();

 private:
  /// What is known of the attempt in progress.
  struct Attempt {
    /// Chosen target.
    ChosenTarget target;
    /// Connection that carries it.
    PeerPool::ClientPtr client;
    /// Stream on the connection.
    uint64_t stream = 0;
    /// Identifier.
    Id128 id;
    /// When it was sent.
    TimePoint startedAt;
    /// Retries passed on with it.
    uint32_t granted = 0;
    /// Incarnation of the node that it was sent to, once lost.
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
  /// The peer sent what fits no response: gives the attempt up.
  void OnUnfit(std::string_view aPart);
  void Query();
  /// The attempt failed; retries, refuses or ends what the caller has a part
  /// of.
  void OnFailed(Outcome aOutcome, Cause aCause, Duration aRetryAfter);
  bool MayRetry(Outcome aOutcome, Cause aCause) const;
  void EndAttempt(CallResult aResult, uint32_t aUnspentRetries);
  void OnDeadline();
  void Refuse(const Refusal& aRefusal);
  /// Delivers a response that was held back, or ends one that was streamed.
  void Finish(bool aWhole);

  Settings settings;
  ResponseRelay response;
  /// Serialises the call.
  Strand strand;
  /// Fires at the deadline.
  asio::steady_timer timer;
  /// Delays queries after a lost connection.
  asio::steady_timer queryTimer;
  /// Start of the call.
  TimePoint startedAt;
  /// Attempt in progress.
  std::optional<Attempt> attempt;
  /// When the connection of the attempt was lost.
  TimePoint lostAt{};
  /// Number of the attempt, to recognise events of earlier ones.
  uint64_t attemptNumber = 0;
  /// Targets that have been tried.
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
