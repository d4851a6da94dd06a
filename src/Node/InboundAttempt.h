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
/// the end of its response. Runs on the strand of that connection. A
/// non-idempotent attempt outlives the connection.
class InboundAttempt : public std::enable_shared_from_this<InboundAttempt> {
 public:
  InboundAttempt(TargetHandler& aHandler, PeerServer::SessionPtr aSession,
                 RequestFrame aFrame, RunningAttemptPtr aRunning);

  const RequestContext& Context() const { return this->running->Context(); }
  const RunningAttemptPtr& Running() const { return this->running; }
  const PeerServer::SessionPtr& Session() const { return this->session; }
  uint64_t Stream() const { return this->frame.stream; }

  /// Sets the handle under which the attempt waits in the queue.
  void SetQueued(AdmissionHandle aHandle) { this->handle = aHandle; }
  /// Sends the admitted request to the target.
  void Run(AdmissionHandle aHandle, const std::string& aTargetUrl);
  /// Ends the attempt without running it.
  void Refuse(Cause aCause, Duration aRetryAfter);
  /// Adds the sender's flow-control credit for body bytes.
  void AddCredit(uint64_t aBytes);
  /// Handles a cancellation by the sender.
  void Cancel();
  /// Handles the loss of the connection to the sender.
  void OnSessionClosed();

 private:
  enum class State : uint8_t { Queued, Running, Done };

  HttpHeaders TargetHeaders() const;
  void OnHead(int aStatus, HttpHeaders aHeaders, int64_t aLength);
  void OnData(const std::string& aData);
  void OnDone(const HttpTransferResult& aResult);
  /// Stops relaying the body, because it is no longer wanted; reads a bounded
  /// part of the rest.
  void DiscardBody();
  /// Whether the target declared that it did not start this attempt.
  bool IsDeclaredShed(int aStatus, const HttpHeaders& aHeaders) const;
  void FinishAnswered(bool aComplete);
  void FinishFailed(Outcome aOutcome, Cause aCause, Duration aRetryAfter);
  void Finish(AttemptResult aResult);
  void StoreBody(const std::string& aData);

  /// Owner; outlives its attempts.
  TargetHandler& handler;
  /// Connection of the sender.
  PeerServer::SessionPtr session;
  RequestFrame frame;
  /// Retry budget and calls of the attempt.
  RunningAttemptPtr running;
  State state = State::Queued;
  /// Handle in the admission controller.
  AdmissionHandle handle;
  /// HTTP transfer to the target while running.
  uint64_t transfer = 0;
  /// Body bytes sent for which no credit has been returned.
  uint64_t uncredited = 0;
  /// Whether the body is read but not relayed.
  bool discardsBody = false;
  /// Body bytes that were discarded.
  uint64_t discarded = 0;
  /// Whether the target's status line has arrived.
  bool headReceived = false;
  int status = 0;
  /// Whether the target declared that it did not start the attempt.
  bool declaredShed = false;
  /// Response to store for queries; only for non-idempotent attempts.
  std::shared_ptr<StoredResponse> stored;
};

using InboundAttemptPtr = std::shared_ptr<InboundAttempt>;

}  // namespace fescueline
