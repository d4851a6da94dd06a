#include "Mesh/TargetAttempt.h"

#include <fmt/format.h>

#include <algorithm>

#include "Http1/HttpWriter.h"
#include "Log/Log.h"
#include "Node/Refusal.h"

namespace fescueline {

namespace {
/// Maximum idle time of a connection that is reused for a non-idempotent
/// request. The target, or a proxy in front of it, may have dropped one that
/// was idle for longer.
constexpr Duration kNonIdempotentMaxIdle = std::chrono::milliseconds(250);
constexpr Duration kIdempotentMaxIdle = std::chrono::seconds(3);
/// Retry-After suggested when the target has shed a request.
constexpr Duration kShedRetryAfter = std::chrono::milliseconds(300);
/// Subtracted from the timeout that the target gets, so that it expires before
/// the deadline of this node.
constexpr Duration kTimeoutMargin = std::chrono::milliseconds(2);
/// Bytes of a discarded body that are read so that the connection can be
/// reused. Reading more costs more than a new connection, and an endless body
/// would take processor time from other requests until the deadline.
constexpr uint64_t kMaxDiscardedBody = uint64_t{1} << 20;
/// Maximum number of body parts on their way to the caller. A target that sends
/// a few bytes at a time is not read faster than the caller takes them, since
/// each part costs both nodes more memory than its bytes.
constexpr size_t kMaxPartsInFlight = 128;
/// Maximum delay of a complete response whose last bytes may begin the head of
/// a repeated one.
constexpr Duration kMaxConfirmTime = std::chrono::milliseconds(400);
/// Time before the deadline that is left to deliver such a response.
constexpr Duration kDeliveryTime = std::chrono::milliseconds(20);
/// Approximate memory of an attempt without the request, bytes.
constexpr size_t kAttemptCost = size_t{2} * 1024;
constexpr std::string_view kRepeatedReason = "begun again within its body";
constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;
constexpr int kUnavailable = 503;

/// Whether callers conclude from the status that the request has not run and
/// will not run.
bool ImpliesNotRun(int aStatus) {
  return aStatus == kRequestTimeout || aStatus == kMisdirected ||
         aStatus == kTooManyRequests || aStatus == kUnavailable;
}
}  // namespace

TargetAttempt::TargetAttempt(TargetService& aService,
                             PeerServer::SessionPtr aSession,
                             RequestFrame aFrame, RequestContext aContext,
                             TimePoint aDeadline)
    : service(aService),
      session(std::move(aSession)),
      frame(std::move(aFrame)),
      context(std::move(aContext)),
      deadline(aDeadline),
      running(std::make_shared<RunningAttempt>(
          this->context,
          RunningAttempt::Times{
              .rootStart = SteadyClock().Now() - this->context.age,
              .deadline = aDeadline},
          this->frame.retries)),
      timer(aService.dependencies.context.io),
      held(aService.budget) {
  size_t fields = 0;
  for (const HeaderWire& header : this->frame.headers) {
    fields += sizeof(header) + header.name.size() + header.value.size();
  }
  this->held.Set(kAttemptCost + this->frame.body.size() + fields);
  const std::string& name =
      this->service.dependencies.context.headers.requestId;
  // The first such header counts, as at the entry node.
  for (const HeaderWire& header : this->frame.headers) {
    if (EqualHeaderName(header.name, name)) {
      this->requestId = header.value;
      break;
    }
  }
}

void TargetAttempt::Run(AdmissionHandle aHandle) {
  this->handle = aHandle;
  this->admitted = true;
  this->state = State::Connecting;
  this->timer.expires_at(this->deadline);
  this->timer.async_wait(
      [self = this->shared_from_this()](const asio::error_code& aError) {
        if (!aError && self->state == State::Running) {
          self->connection->Close("deadline");
        }
      });
  const auto onConnection = [self = this->shared_from_this()](
                                ConnectionPool::ConnectionPtr aConnection,
                                const std::string& aError) {
    if (self->state != State::Connecting) {
      if (aConnection) {
        self->service.pool->Release(std::move(aConnection));
      }
      return;
    }
    if (!aConnection) {
      self->Fail(Outcome::NotRun, Cause::ConnectFailed, kShedRetryAfter,
                 aError);
      return;
    }
    self->SendTo(std::move(aConnection));
  };
  if (this->requestId.empty()) {
    // Without an identifier, only a new connection links the response to the
    // request.
    this->service.pool->AcquireNew(onConnection);
  } else {
    this->service.pool->AcquireFor(
        this->requestId,
        this->context.idempotent ? kIdempotentMaxIdle : kNonIdempotentMaxIdle,
        onConnection);
  }
}

void TargetAttempt::SendTo(ConnectionPool::ConnectionPtr aConnection) {
  const TimePoint now = SteadyClock().Now();
  Cause cause = this->service.Check(this->context, now);
  if (cause == Cause::None && this->deadline <= now) {
    cause = Cause::DeadlineExpired;
  }
  if (cause != Cause::None) {
    this->service.pool->Release(std::move(aConnection));
    this->Fail(Outcome::NotRun, cause, kShedRetryAfter, "before the send");
    return;
  }
  this->state = State::Running;
  this->connection = std::move(aConnection);
  this->running->SetCallObserver([this](bool aBegins) {
    auto& core = this->service.controller.Core();
    this->hasChildCalls = true;
    if (aBegins) {
      core.ChildStarted(this->handle);
      this->service.SchedulePumpNow();
    } else {
      core.ChildEnded(this->handle);
    }
  });
  if (!this->requestId.empty()) {
    this->service.dependencies.context.running.Add(this->requestId,
                                                   this->running);
  }
  const auto self = this->shared_from_this();
  std::string head = this->RequestHead(now);
  this->connection->Send(
      std::move(head), this->frame.method == "HEAD",
      {.onHead =
           [self](HttpHead aHead) { return self->OnHead(std::move(aHead)); },
       .onBody = [self](std::string_view aPart) { self->OnBody(aPart); },
       .onComplete =
           [self](std::string_view aTrailing) {
             return self->TimeToConfirmEnd(aTrailing);
           },
       .onDone =
           [self](const ClientExchangeResult& aResult) {
             self->OnDone(aResult);
           }},
      std::move(this->frame.body));
}

std::string TargetAttempt::RequestHead(TimePoint aNow) const {
  const HeaderNames& names = this->service.dependencies.context.headers;
  HttpHeaders headers;
  headers.reserve(this->frame.headers.size() + 2);
  for (const HeaderWire& header : this->frame.headers) {
    headers.push_back({header.name, header.value});
  }
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(Duration(std::chrono::milliseconds(1)),
               this->deadline - aNow - kTimeoutMargin));
  headers.push_back({names.timeout, std::to_string(left.count())});
  headers.push_back(
      {names.expectedTarget, this->service.dependencies.target.Id()});
  HttpFraming framing;
  const bool mayLackLength =
      this->frame.method == "GET" || this->frame.method == "HEAD";
  if (!this->frame.body.empty() || !mayLackLength) {
    framing.length = this->frame.body.size();
  }
  return WriteRequestHead(this->frame.method, this->frame.target, headers,
                          framing);
}

ResponseVerdict TargetAttempt::OnHead(HttpHead aHead) {
  const HeaderNames& names = this->service.dependencies.context.headers;
  const ResponseMatch match =
      MatchResponse(aHead, {.idField = names.requestId,
                            .signatureField = names.signature,
                            .requestId = this->requestId,
                            .exclusive = this->connection->IsExclusive()});
  if (match.verdict != ResponseVerdict::Accept) {
    this->service.ReportFault(
        {.fault = match.fault,
         .request = this->requestId,
         .answered = FindHeader(aHead.headers, names.requestId).value_or(""),
         .usedBefore = this->connection->IsReused()});
    return match.verdict;
  }
  // The target has read the request, or will not use the rest of it.
  this->held.Set(kAttemptCost);
  this->status = aHead.status;
  this->bodyLeft = aHead.length;
  this->endsAtClose = aHead.endsAtClose;
  if (!this->requestId.empty()) {
    this->scanner.emplace(names.requestId, this->requestId);
  }
  this->declaredNotRun = FindHeader(aHead.headers, names.notRun).has_value() ||
                         aHead.status == kMisdirected;
  // Callers retry an idempotent request in any case.
  this->undeclaredNotRun = !this->declaredNotRun && !this->context.idempotent &&
                           ImpliesNotRun(aHead.status);
  if (this->declaredNotRun || this->undeclaredNotRun || this->abandoned) {
    return ResponseVerdict::Accept;
  }
  RemoveHopByHopHeaders(aHead.headers);
  ResponseHeadFrame head{
      .stream = this->frame.stream,
      .status = static_cast<uint16_t>(aHead.status),
      .headers = {},
      .contentLength =
          aHead.length ? static_cast<int64_t>(*aHead.length) : int64_t{-1}};
  for (HttpHeader& header : aHead.headers) {
    head.headers.push_back({std::move(header.name), std::move(header.value)});
  }
  this->headSent = true;
  this->session->Send(head);
  return ResponseVerdict::Accept;
}

void TargetAttempt::OnBody(std::string_view aPart) {
  if (this->abandoned) {
    this->DiscardBody(aPart);
    return;
  }
  if (this->IsRepeated()) {
    return;
  }
  if (this->scanner) {
    this->scanner->Scan(aPart);
    if (this->IsRepeated()) {
      this->PostClose(std::string(kRepeatedReason));
      return;
    }
  }
  if (!this->headSent) {
    this->DiscardBody(aPart);
    return;
  }
  this->credit -= static_cast<int64_t>(aPart.size());
  if (this->bodyLeft) {
    *this->bodyLeft -= std::min<uint64_t>(*this->bodyLeft, aPart.size());
    if (*this->bodyLeft == 0) {
      // Sent by OnDone, which follows in the same event.
      this->lastPart = aPart;
      return;
    }
  }
  this->SendBody(aPart);
  if (!this->MayReadBody()) {
    this->connection->SetPaused(true);
  }
}

void TargetAttempt::SendBody(std::string_view aPart) {
  while (!aPart.empty()) {
    const std::string_view part = aPart.substr(0, kMaxDataBytes);
    this->session->Send(ResponseDataFrame{.stream = this->frame.stream,
                                          .data = std::string(part)});
    aPart.remove_prefix(part.size());
    ++this->partsInFlight;
  }
}

bool TargetAttempt::MayReadBody() const {
  return this->credit > 0 && this->partsInFlight < kMaxPartsInFlight;
}

void TargetAttempt::DiscardBody(std::string_view aPart) {
  this->discardedBytes += aPart.size();
  if (this->discardedBytes > kMaxDiscardedBody) {
    this->PostClose("body that nobody wants");
  }
}

void TargetAttempt::PostClose(const std::string& aReason) {
  this->connection->SetPaused(true);
  // Posted, as the connection must not be closed within its own event.
  asio::post(this->service.dependencies.context.io,
             [self = this->shared_from_this(), aReason] {
               if (self->state == State::Running) {
                 self->connection->Close(aReason);
               }
             });
}

void TargetAttempt::AddCredit(uint64_t aBytes) {
  // A valid peer returns no more credit than it has received bytes; the bound
  // protects against others.
  const auto most = static_cast<uint64_t>(kInitialCredit);
  this->credit =
      std::min(kInitialCredit,
               this->credit + static_cast<int64_t>(std::min(aBytes, most)));
  // A peer returns the credit of each part on its own.
  this->partsInFlight -= std::min<size_t>(this->partsInFlight, 1);
  if (this->credit == kInitialCredit) {
    this->partsInFlight = 0;
  }
  if (this->MayReadBody() && this->state == State::Running) {
    this->connection->SetPaused(false);
  }
}

void TargetAttempt::ScanTrailing(RepeatedHeadScanner& aScanner,
                                 std::string_view aTrailing) const {
  if (this->declaredNotRun) {
    // Any other response to the same request contradicts "not run".
    aScanner.Scan(aTrailing);
  } else {
    aScanner.ScanTrailing(aTrailing);
  }
}

Duration TargetAttempt::TimeToConfirmEnd(std::string_view aTrailing) const {
  // The last chunk ends a chunked body without doubt.
  if (this->abandoned || !this->bodyLeft || !this->scanner ||
      !this->scanner->MayComplete()) {
    return Duration::zero();
  }
  RepeatedHeadScanner withTrailing = *this->scanner;
  this->ScanTrailing(withTrailing, aTrailing);
  if (!withTrailing.MayComplete()) {
    return Duration::zero();
  }
  return std::min(kMaxConfirmTime,
                  this->deadline - SteadyClock().Now() - kDeliveryTime);
}

void TargetAttempt::ReportFault(ResponseFault aFault) {
  if (aFault != ResponseFault::None) {
    this->service.ReportFault({.fault = aFault,
                               .request = this->requestId,
                               .usedBefore = this->connection->IsReused(),
                               .status = this->status});
  }
}

ResponseFault TargetAttempt::FaultOfNotRun() const {
  if (this->undeclaredNotRun) {
    return ResponseFault::Undeclared;
  }
  // A request that made downstream calls has run in part; the target may be
  // forwarding the response to one of these calls.
  const bool hasRun = this->hasChildCalls || this->IsRepeated();
  return this->declaredNotRun && hasRun ? ResponseFault::Contradicted
                                        : ResponseFault::None;
}

void TargetAttempt::CountResult(bool aComplete) {
  const bool endedByNode =
      this->abandoned || SteadyClock().Now() >= this->deadline;
  if (!aComplete) {
    // If this node closed the connection, the target is not at fault.
    if (!endedByNode) {
      this->service.failures.Record(true);
    }
    return;
  }
  const bool ownFailure =
      this->status >= kFirstServerError && !this->hasChildCalls;
  this->service.failures.Record(this->declaredNotRun || ownFailure);
}

void TargetAttempt::OnDone(const ClientExchangeResult& aResult) {
  if (this->state != State::Running) {
    return;
  }
  if (this->scanner) {
    this->ScanTrailing(*this->scanner, aResult.trailing);
    // Only its content shows whether a body without other framing is whole.
    this->cutByHead = aResult.complete && this->endsAtClose &&
                      this->scanner->EndsWithinHead();
  }
  const bool complete = aResult.complete && !this->IsRepeated();
  this->CountResult(complete);
  this->ReportFault(aResult.fault);
  if (this->IsRepeated()) {
    this->ReportFault(ResponseFault::Repeated);
  }
  if (aResult.reusable && complete && !this->requestId.empty()) {
    this->service.pool->Release(this->connection);
  } else {
    this->connection->Close("not kept");
  }
  const ResponseFault fault = this->FaultOfNotRun();
  if (fault != ResponseFault::None) {
    this->ReportFault(fault);
    this->Fail(Outcome::Unknown, Cause::TargetFailed, {},
               fmt::format("status {}", this->status));
    return;
  }
  if (this->declaredNotRun) {
    this->Fail(
        Outcome::NotRun,
        this->status == kMisdirected ? Cause::NoTarget : Cause::TargetShed,
        kShedRetryAfter, fmt::format("status {}", this->status));
    return;
  }
  if (!this->headSent) {
    const bool late = SteadyClock().Now() >= this->deadline;
    this->Fail(Outcome::Unknown,
               late ? Cause::DeadlineExpired : Cause::ConnectionLost, {},
               aResult.error);
    return;
  }
  if (!complete) {
    Log(LogLevel::Warning, "response broken off by the target",
        {{"request", this->requestId},
         {"route", this->context.route},
         {"target", this->service.dependencies.target.Id()},
         {"error",
          this->IsRepeated() ? std::string(kRepeatedReason) : aResult.error}});
  }
  if (!this->abandoned) {
    if (complete) {
      this->SendBody(this->lastPart);
    }
    this->session->Send(ResponseEndFrame{
        .stream = this->frame.stream,
        .complete = complete,
        .unspentRetries = this->running->UnspentRetries(),
        .thresholds = this->service.Thresholds(this->context)});
  }
  this->Finish(complete);
}

void TargetAttempt::Refuse(Cause aCause, Duration aRetryAfter) {
  this->Fail(Outcome::NotRun, aCause, aRetryAfter, "");
}

void TargetAttempt::Fail(Outcome aOutcome, Cause aCause, Duration aRetryAfter,
                         const std::string& aDetail) {
  this->service.dependencies.context.metrics.CountRefusal(
      this->context.organisation, this->context.importance, aCause);
  Log(LogLevel::Info, "attempt failed",
      {{"request", this->requestId},
       {"route", this->context.route},
       {"target", this->service.dependencies.target.Id()},
       {"outcome", std::string(ToName(aOutcome))},
       {"cause", std::string(ToName(aCause))},
       {"detail", aDetail},
       {"queued", std::to_string(this->service.controller.Core().Queued())},
       {"running", std::to_string(this->service.controller.Core().InFlight())},
       {"left_ms",
        fmt::format("{:.1f}",
                    ToSeconds(this->deadline - SteadyClock().Now()) * 1000)}});
  if (!this->abandoned) {
    RefusalFrame refusal =
        ToFrame(this->frame.stream, aOutcome, aCause, aRetryAfter);
    refusal.unspentRetries = this->running->UnspentRetries();
    refusal.thresholds = this->service.Thresholds(this->context);
    this->session->Send(refusal);
  }
  this->Finish(false);
}

void TargetAttempt::Abandon(const std::string& aReason) {
  switch (this->state) {
    case State::Queued:
      this->service.controller.Cancel(this->handle);
      this->abandoned = true;
      this->Finish(false);
      return;
    case State::Connecting:
      this->abandoned = true;
      this->Finish(false);
      return;
    case State::Running:
      this->abandoned = true;
      // A non-idempotent request is left to complete, since its effect would be
      // unknown otherwise.
      if (this->context.idempotent) {
        this->connection->Close(aReason);
      } else {
        this->connection->SetPaused(false);
      }
      return;
    case State::Done:
      return;
  }
}

void TargetAttempt::Finish(bool aComplete) {
  if (this->state == State::Done) {
    return;
  }
  const auto self = this->shared_from_this();
  this->state = State::Done;
  this->held.Set(0);
  this->timer.cancel();
  this->service.dependencies.context.running.Remove(this->requestId,
                                                    this->running);
  const TimePoint now = SteadyClock().Now();
  const Duration childTime = this->running->CallTime(now);
  // The result of a call is of no use after its request has ended.
  this->running->End();
  this->connection = nullptr;
  this->service.Remove(*this);
  if (this->admitted) {
    this->service.controller.Finished(
        this->handle, {.childTime = childTime, .complete = aComplete}, now);
    this->service.Pump();
  }
}

}  // namespace fescueline
