#pragma once

#include <asio.hpp>
#include <memory>
#include <optional>
#include <string>

#include "Admission/AdmissionRequest.h"
#include "Http1/ConnectionPool.h"
#include "Mesh/TargetService.h"
#include "Node/RunningAttempt.h"
#include "Transport/PeerServer.h"
#include "Transport/RepeatedHeadScanner.h"
#include "Transport/RequestContext.h"

namespace fescueline {

/// One attempt at the local target, from its arrival from a peer to the end
/// of its response. Runs on the loop.
class TargetAttempt : public std::enable_shared_from_this<TargetAttempt> {
 public:
  TargetAttempt(TargetService& aService, PeerServer::SessionPtr aSession,
                RequestFrame aFrame, RequestContext aContext,
                TimePoint aDeadline);

  const RequestContext& Context() const { return this->context; }
  const PeerServer::SessionPtr& Session() const { return this->session; }
  uint64_t Stream() const { return this->frame.stream; }

  void SetQueued(AdmissionHandle aHandle) { this->handle = aHandle; }
  /// Admitted: sends the request to the target.
  void Run(AdmissionHandle aHandle);
  /// Ends the attempt without running it.
  void Refuse(Cause aCause, Duration aRetryAfter);
  void AddCredit(uint64_t aBytes);
  /// The sender gave up or is gone.
  void Abandon(const std::string& aReason);

 private:
  enum class State : uint8_t { Queued, Connecting, Running, Done };

  void SendTo(ConnectionPool::ConnectionPtr aConnection);
  std::string RequestBytes(TimePoint aNow) const;
  ResponseVerdict OnHead(HttpHead aHead);
  void OnBody(std::string_view aPart);
  void SendBody(std::string_view aPart);
  /// Counts a part of a body that nobody wants.
  void OnUnwanted(std::string_view aPart);
  /// Closes the connection after its present event.
  void CloseSoon(const std::string& aReason);
  void OnDone(const ClientExchangeResult& aResult);
  /// Whether the response holds another one to the same request, as far as it
  /// is known.
  bool IsRepeated() const { return this->scanner && this->scanner->HasFound(); }

  /// Looks through bytes behind the response.
  void ScanSurplus(std::string_view aSurplus);
  /// Counts and logs a fault of the response that was accepted.
  void ReportFault(ResponseFault aFault);
  /// Why a response that promises "not run" is not believed; None if it is, or
  /// if it promises nothing.
  ResponseFault FaultOfRefusal() const;
  /// Counts whether the target itself failed the request. aWhole: its response
  /// is complete.
  void JudgeTarget(bool aWhole);

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
  /// Whether the handle is that of a running request.
  bool admitted = false;
  ConnectionPool::ConnectionPtr connection;
  asio::steady_timer timer;
  /// Whether the target says that it did not run the request.
  bool declaredNotRun = false;
  /// Whether only the status says so, of a request that may run only once.
  bool undeclaredNotRun = false;
  bool headSent = false;
  /// Whether the run made calls, so that a failure may come from them.
  bool hasChildCalls = false;
  int status = 0;
  /// Looks for another response within the body; none if the request has no
  /// identifier.
  std::optional<RepeatedHeadScanner> scanner;
  /// Body bytes that have not arrived, if the response states its length.
  std::optional<uint64_t> bodyLeft;
  /// Last part of a body with a length, which is sent when it is known that the
  /// body is the target's.
  std::string lastPart;
  /// Body bytes that the sender still takes.
  int64_t credit = kInitialCredit;
  /// Whether nobody waits for the response any more.
  bool abandoned = false;
  /// Body bytes that nobody wanted.
  uint64_t unwanted = 0;
};

}  // namespace fescueline
