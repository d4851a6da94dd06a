#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Admission/AdmissionRequest.h"
#include "Node/RunningAttempt.h"
#include "Outcome/AttemptTable.h"
#include "Transport/HttpClient.h"
#include "Transport/PeerServer.h"

namespace fescueline {

class TargetHandler;

/// One attempt at the local target, from its arrival on a peer connection to
/// the end of its response. Runs on the strand of that connection, which it
/// outlives if the attempt is not idempotent.
class InboundAttempt : public std::enable_shared_from_this<InboundAttempt> {
 public:
  InboundAttempt(TargetHandler& aHandler, PeerServer::SessionPtr aSession,
                 RequestFrame aFrame, RunningAttemptPtr aRunning);

  const RequestContext& Context() const { return this->running->Context(); }
  const RunningAttemptPtr& Running() const { return this->running; }
  const PeerServer::SessionPtr& Session() const { return this->session; }
  uint64_t Stream() const { return this->frame.stream; }

  /// The attempt waits in the queue under this handle.
  void SetQueued(AdmissionHandle aHandle) { this->handle = aHandle; }
  /// Admitted: sends the request to the target.
  void Run(AdmissionHandle aHandle, const std::string& aTargetUrl);
  /// Ends the attempt without running it.
  void Refuse(Cause aCause, Duration aRetryAfter);
  /// The sender allows more body bytes.
  void AddCredit(uint64_t aBytes);
  /// The sender gave up the attempt.
  void Cancel();
  /// The connection to the sender ended.
  void OnSessionClosed();

 private:
  enum class State : uint8_t { Queued, Running, Done };

  HttpHeaders TargetHeaders() const;
  void OnHead(int aStatus, HttpHeaders aHeaders, int64_t aLength);
  void OnData(const std::string& aData);
  void OnDone(const HttpTransferResult& aResult);
  /// Nobody takes the body any more: reads a bounded part of the rest.
  void DiscardBody();
  /// Whether the target declared that it did not start this attempt.
  bool IsDeclaredShed(int aStatus, const HttpHeaders& aHeaders) const;
  void FinishAnswered(bool aWhole);
  void FinishFailed(Outcome aOutcome, Cause aCause, Duration aRetryAfter);
  void Finish(AttemptResult aResult);
  void Keep(const std::string& aData);

  /// Owner; outlives its attempts.
  TargetHandler& handler;
  /// Connection of the sender.
  PeerServer::SessionPtr session;
  /// The request.
  RequestFrame frame;
  /// Retry budget and calls of the attempt.
  RunningAttemptPtr running;
  /// Stage.
  State state = State::Queued;
  /// Place in the admission controller.
  AdmissionHandle handle;
  /// Transfer to the target while running.
  uint64_t transfer = 0;
  /// Body bytes that were passed on and for which no credit came back.
  uint64_t uncredited = 0;
  /// Whether the body is not passed on.
  bool discardsBody = false;
  /// Body bytes that arrived since.
  uint64_t discarded = 0;
  /// Whether the target's status line has arrived.
  bool headSeen = false;
  /// Status of the target's response.
  int status = 0;
  /// Whether the target declared shed.
  bool declaredShed = false;
  /// Response to keep for queries; only for attempts that are not idempotent.
  std::shared_ptr<StoredResponse> stored;
};

using InboundAttemptPtr = std::shared_ptr<InboundAttempt>;

}  // namespace fescueline
