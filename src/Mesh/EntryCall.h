#pragma once

#include <asio.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Mesh/EntryRequest.h"
#include "Mesh/EntryService.h"
#include "Mesh/RequestReporter.h"
#include "Node/ResponseRelay.h"
#include "Node/RunningAttempt.h"

namespace fescueline {

/// A request at its entry node, from its arrival to the last byte of the
/// response. Runs on the event loop.
class EntryCall : public std::enable_shared_from_this<EntryCall> {
 public:
  EntryCall(EntryService& aService, HttpExchangePtr aExchange);
  EntryCall(const EntryCall&) = delete;
  EntryCall& operator=(const EntryCall&) = delete;
  ~EntryCall();

  void Start();

 private:
  struct Attempt {
    MeshFleet::Choice choice;
    CallTicket ticket;
    uint64_t stream = 0;
    /// Retries that were granted to the attempt.
    uint32_t grantedRetries = 0;
    /// Granted retries that the attempt returned unused.
    uint32_t unspentRetries = 0;
  };

  /// Selects the retry budget of the request; false if its parent has ended.
  bool BeginBudget();
  void AdmitByRate();
  void TryNext();
  void Send(MeshFleet::Choice aChoice);
  void OnHead(const ResponseHeadFrame& aFrame);
  void OnData(std::string aData);
  void OnEnd(const ResponseEndFrame& aFrame);
  void OnRefusal(const RefusalFrame& aFrame);
  void OnLost(bool aSent);
  /// Abandons the attempt after a protocol error of the peer. aWhat: invalid
  /// part of the response, for the log.
  void OnProtocolError(std::string_view aWhat);
  /// Ends an attempt that got no usable response; retries or refuses the
  /// request.
  void OnFailed(Outcome aOutcome, Cause aCause, Duration aRetryAfter);
  /// Whether to retry an idempotent request after an error response of the
  /// target.
  bool MayRetryFailure();
  bool MayRetry(Outcome aOutcome, Cause aCause);
  void EndAttempt(CallResult aResult, uint32_t aUnspentRetries = 0);
  void LearnThresholds(const std::vector<ThresholdWire>& aThresholds);
  /// Aborts a response that has been sent to the caller in part, so that the
  /// request can be neither retried nor answered otherwise.
  void AbortResponse(std::string_view aEvent, Cause aCause);
  void OnTimeout();
  void OnCallerGone();
  void Refuse(Outcome aOutcome, Cause aCause, Duration aRetryAfter = {});
  void DeliverBuffered();
  void Finish();

  EntryService& service;
  MeshContext& context;
  HttpExchangePtr exchange;
  /// Forwards the response of the current attempt.
  ResponseRelay response;
  EntryRequest request;
  RequestReporter reporter;
  /// Request at the local target that made this call; null for a request of a
  /// caller.
  RunningAttemptPtr parent;
  /// Number of the call at its parent.
  uint64_t callNumber = 0;
  /// Retry budget of the call chain.
  RunningAttemptPtr budget;
  asio::steady_timer timer;
  /// Whether the request has consumed a token of its organisation's rate.
  bool charged = false;
  std::optional<Attempt> attempt;
  /// Number of the current attempt; events of earlier ones are ignored.
  uint32_t attemptNumber = 0;
  std::vector<TargetRef> tried;
  /// Number of attempts that reached a target.
  uint32_t reachedTargets = 0;
  /// Whether a target may have run the request.
  bool mayHaveRun = false;
  /// Error response of a target after which the request was retried.
  std::optional<HttpResponse> errorResponse;
  bool finished = false;
};

}  // namespace fescueline
