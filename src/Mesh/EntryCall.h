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

/// One request at its entry node, from its arrival to the last byte of the
/// response. Runs on the loop.
class EntryCall : public std::enable_shared_from_this<EntryCall> {
 public:
  EntryCall(EntryService& aService, HttpExchangePtr aExchange);
  EntryCall(const EntryCall&) = delete;
  EntryCall& operator=(const EntryCall&) = delete;
  ~EntryCall();

  void Start();

 private:
  /// One attempt at one target.
  struct Attempt {
    MeshFleet::Choice choice;
    CallTicket ticket;
    uint64_t stream = 0;
    /// Retries that were passed on.
    uint32_t granted = 0;
    /// Those of them that came back unspent.
    uint32_t unspent = 0;
  };

  /// Finds the retries that the request may use; false if its parent ended.
  bool BeginBudget();
  void AdmitByRate();
  void TryNext();
  void Send(MeshFleet::Choice aChoice);
  void OnHead(const ResponseHeadFrame& aFrame);
  void OnData(std::string aData);
  void OnEnd(const ResponseEndFrame& aFrame);
  void OnRefusal(const RefusalFrame& aFrame);
  void OnLost(bool aSent);
  /// The peer sent what fits no response: gives the attempt up.
  void OnUnfit(std::string_view aWhat);
  /// An attempt ended without a usable response.
  void OnFailed(Outcome aOutcome, Cause aCause, Duration aRetryAfter);
  /// Whether to run an idempotent request again that the target failed.
  bool MayRepeatFailure();
  bool MayRepeat(Outcome aOutcome, Cause aCause);
  void EndAttempt(CallResult aResult, uint32_t aUnspentRetries = 0);
  void LearnThresholds(const std::vector<ThresholdWire>& aThresholds);
  /// Ends a response of which the caller has a part: it can be neither repeated
  /// nor replaced.
  void BreakOff(std::string_view aEvent, Cause aCause);
  void OnTimeout();
  void OnCallerGone();
  void Refuse(Outcome aOutcome, Cause aCause, Duration aRetryAfter = {});
  void DeliverBuffered();
  void Finish();

  EntryService& service;
  MeshContext& context;
  HttpExchangePtr exchange;
  /// Passes the response of the present attempt on.
  ResponseRelay response;
  EntryRequest request;
  RequestReporter reporter;
  /// Request of the local target that makes this call; null for a caller's.
  RunningAttemptPtr parent;
  /// Number of the call at its parent.
  uint64_t callNumber = 0;
  /// Holder of the retries of the whole chain.
  RunningAttemptPtr budget;
  asio::steady_timer timer;
  /// Whether a token of the organisation's rate was spent.
  bool charged = false;
  std::optional<Attempt> attempt;
  /// Number of the attempt; events of earlier ones are ignored.
  uint32_t attemptNumber = 0;
  std::vector<TargetRef> tried;
  /// Attempts that reached a target.
  uint32_t arrivals = 0;
  /// Whether an attempt may have run.
  bool mayHaveRun = false;
  /// Failure that the target answered before the request was repeated.
  std::optional<HttpResponse> failure;
  bool finished = false;
};

}  // namespace fescueline
