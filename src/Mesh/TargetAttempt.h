#pragma once

#include <asio.hpp>
#include <memory>
#include <optional>
#include <string>

#include "Admission/AdmissionRequest.h"
#include "Core/ByteBudget.h"
#include "Http1/ConnectionPool.h"
#include "Mesh/TargetService.h"
#include "Node/RunningAttempt.h"
#include "Transport/PeerServer.h"
#include "Transport/RepeatedHeadScanner.h"
#include "Transport/RequestContext.h"

namespace fescueline {

/// An attempt at the local target, from its arrival from a peer to the end of
/// the response. Runs on the event loop.
class TargetAttempt : public std::enable_shared_from_this<TargetAttempt> {
 public:
  TargetAttempt(TargetService& aService, PeerServer::SessionPtr aSession,
                RequestFrame aFrame, RequestContext aContext,
                TimePoint aDeadline);

  const RequestContext& Context() const { return this->context; }
  const PeerServer::SessionPtr& Session() const { return this->session; }
  uint64_t Stream() const { return this->frame.stream; }
  /// Bytes of the request.
  size_t HeldSize() const { return this->held.Size(); }

  void SetQueued(AdmissionHandle aHandle) { this->handle = aHandle; }
  /// Sends the admitted request to the target.
  void Run(AdmissionHandle aHandle);
  /// Ends the attempt without running it.
  void Refuse(Cause aCause, Duration aRetryAfter);
  void AddCredit(uint64_t aBytes);
  /// Handles a cancellation by the sender, or the loss of its connection.
  void Abandon(const std::string& aReason);

 private:
  enum class State : uint8_t { Queued, Connecting, Running, Done };

  void SendTo(ConnectionPool::ConnectionPtr aConnection);
  std::string RequestHead(TimePoint aNow) const;
  ResponseVerdict OnHead(HttpHead aHead);
  void OnBody(std::string_view aPart);
  void SendBody(std::string_view aPart);
  /// Whether the caller has room for more of the body.
  bool MayReadBody() const;
  /// Counts a discarded part of the body; closes the connection if there are
  /// too many bytes.
  void DiscardBody(std::string_view aPart);
  /// Closes the connection after the current event has been handled.
  void PostClose(const std::string& aReason);
  /// How long to wait for bytes that show whether the end of a complete body
  /// belongs to a repeated response; zero if there is no doubt.
  Duration TimeToConfirmEnd(std::string_view aTrailing) const;
  void OnDone(const ClientExchangeResult& aResult);
  /// Whether another response to the same request has been found within the
  /// response so far.
  bool IsRepeated() const {
    return this->cutByHead || (this->scanner && this->scanner->HasFound());
  }

  /// Scans the trailing bytes after the response.
  void ScanTrailing(RepeatedHeadScanner& aScanner,
                    std::string_view aTrailing) const;
  /// Counts and logs a fault of the accepted response.
  void ReportFault(ResponseFault aFault);
  /// Fault of a response that claims "not run" without justification; None if
  /// the claim is accepted or there is none.
  ResponseFault FaultOfNotRun() const;
  /// Counts whether the request failed at the target itself. aComplete: the
  /// response is complete.
  void CountResult(bool aComplete);

  /// Ends the attempt with a refusal of the given outcome.
  void Fail(Outcome aOutcome, Cause aCause, Duration aRetryAfter,
            const std::string& aDetail);
  void Finish(bool aComplete);

  TargetService& service;
  PeerServer::SessionPtr session;
  RequestFrame frame;
  RequestContext context;
  TimePoint deadline;
  std::string requestId;
  RunningAttemptPtr running;
  State state = State::Queued;
  AdmissionHandle handle;
  /// Whether the handle is that of an admitted request.
  bool admitted = false;
  ConnectionPool::ConnectionPtr connection;
  asio::steady_timer timer;
  /// Bytes of the request, until the target responds.
  HeldBytes held;
  /// Whether the target declared that it did not run the request.
  bool declaredNotRun = false;
  /// Whether only the status implies "not run", for a non-idempotent request.
  bool undeclaredNotRun = false;
  bool headSent = false;
  /// Whether the request made downstream calls, which may have caused its
  /// failure.
  bool hasChildCalls = false;
  int status = 0;
  /// Scans the body for another response; not set if the request has no
  /// identifier.
  std::optional<RepeatedHeadScanner> scanner;
  /// Whether the body ends with the connection.
  bool endsAtClose = false;
  /// Whether such a body has ended within what looks like another head.
  bool cutByHead = false;
  /// Body bytes still to arrive, if the response has a length.
  std::optional<uint64_t> bodyLeft;
  /// Last part of a body with a length. It is held back until the exchange has
  /// ended and the response is known to be valid.
  std::string lastPart;
  /// Remaining flow-control credit, in body bytes.
  int64_t credit = kInitialCredit;
  /// Number of body parts sent for which no credit has returned.
  size_t partsInFlight = 0;
  /// Whether the sender no longer waits for the response.
  bool abandoned = false;
  /// Number of discarded body bytes.
  uint64_t discardedBytes = 0;
};

}  // namespace fescueline
