#include "Node/InboundAttempt.h"

#include <algorithm>

#include "Core/RandomSource.h"
#include "Node/Headers.h"
#include "Node/Refusal.h"
#include "Node/TargetHandler.h"

namespace fescueline {

namespace {
constexpr int kServiceUnavailable = 503;
constexpr int kServerError = 500;
/// Suggested wait after a refusal without an estimate.
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(200);
/// Maximum number of bytes read from a discarded body. The body is read to see
/// whether the target completes the request; an endless one would occupy the
/// processor and a slot until the deadline.
constexpr uint64_t kMaxDiscardedBody = uint64_t{1} << 20;
}  // namespace

InboundAttempt::InboundAttempt(TargetHandler& aHandler,
                               PeerServer::SessionPtr aSession,
                               RequestFrame aFrame, RunningAttemptPtr aRunning)
    : handler(aHandler),
      session(std::move(aSession)),
      frame(std::move(aFrame)),
      running(std::move(aRunning)) {
  if (!this->Context().idempotent) {
    this->stored = std::make_shared<StoredResponse>();
  }
}

void InboundAttempt::Run(AdmissionHandle aHandle,
                         const std::string& aTargetUrl) {
  this->handle = aHandle;
  const TimePoint now = SteadyClock().Now();
  const Duration left = this->running->Deadline() - now;
  // The process may have been paused while the attempt was queued.
  const Cause cause = left <= Duration(0)
                          ? Cause::DeadlineExpired
                          : this->handler.CheckAuthority(this->Context(), now);
  if (this->state != State::Queued || cause != Cause::None) {
    this->handler.Release(this->handle, {.complete = false});
    this->Refuse(cause, Duration(0));
    return;
  }
  this->state = State::Running;
  HttpTransferRequest request{
      .url = aTargetUrl + this->frame.target,
      .method = this->frame.method,
      .headers = this->TargetHeaders(),
      .body = std::move(this->frame.body),
      .timeout = left,
      .freshConnection = !this->Context().idempotent,
      .idHeader = HttpHeader{std::string(kAttemptHeader),
                             this->Context().attemptId.ToString()},
      .credit = kInitialCredit};
  const auto self = this->shared_from_this();
  // A process that was paused since the check above must not send.
  request.maySend = [self] {
    return self->handler.CheckAuthority(self->Context(), SteadyClock().Now()) ==
               Cause::None &&
           SteadyClock().Now() < self->running->Deadline();
  };
  this->transfer = this->handler.Client().Start(
      std::move(request),
      {.onHead =
           [self](int aStatus, HttpHeaders aHeaders, int64_t aLength) {
             self->session->Post([self, aStatus, aLength,
                                  headers = std::move(aHeaders)]() mutable {
               self->OnHead(aStatus, std::move(headers), aLength);
             });
           },
       .onData =
           [self](std::string aData) {
             self->session->Post(
                 [self, data = std::move(aData)] { self->OnData(data); });
           },
       .onDone =
           [self](const HttpTransferResult& aResult) {
             self->session->Post([self, aResult] { self->OnDone(aResult); });
           }});
  if (!this->session->IsOpen()) {
    this->OnSessionClosed();
  }
}

HttpHeaders InboundAttempt::TargetHeaders() const {
  HttpHeaders headers = FromWire(this->frame.headers);
  StripForTarget(headers);
  AddAttemptHeaders(headers, *this->running, SteadyClock().Now(),
                    this->handler.FleetSecret());
  return headers;
}

void InboundAttempt::Refuse(Cause aCause, Duration aRetryAfter) {
  if (this->state == State::Queued) {
    this->FinishFailed(Outcome::NotRun, aCause, aRetryAfter);
  }
}

void InboundAttempt::AddCredit(uint64_t aBytes) {
  // A correct sender does not return more credit than it received bytes.
  const uint64_t credit = std::min(aBytes, this->uncredited);
  this->uncredited -= credit;
  if (this->state == State::Running && !this->discardsBody) {
    this->handler.Client().Credit(this->transfer, static_cast<int64_t>(credit));
  }
}

void InboundAttempt::Cancel() {
  if (this->state == State::Queued) {
    this->handler.CancelQueued(this->handle);
    this->FinishFailed(Outcome::NotRun, Cause::Cancelled, Duration(0));
  } else if (this->state == State::Running && this->Context().idempotent) {
    this->handler.Client().Cancel(this->transfer);
  } else if (this->state == State::Running) {
    // A non-idempotent request runs to its end, as its outcome would be unknown
    // otherwise.
    this->DiscardBody();
  }
}

void InboundAttempt::OnSessionClosed() {
  if (this->Context().idempotent || this->state == State::Running) {
    this->Cancel();
  }
}

void InboundAttempt::DiscardBody() {
  if (this->discardsBody) {
    return;
  }
  this->discardsBody = true;
  // Exceeds what is read, so that the transfer never waits for credit: the last
  // read may have used more credit than there was.
  this->handler.Client().Credit(this->transfer,
                                kMaxDiscardedBody + kMaxDataBytes);
}

bool InboundAttempt::IsDeclaredShed(int aStatus,
                                    const HttpHeaders& aHeaders) const {
  // The attempt id prevents a target from relaying the shed header of a service
  // that it called. An attempt that made calls has run in part.
  return aStatus == kServiceUnavailable &&
         FindHeader(aHeaders, kShedHeader) ==
             this->Context().attemptId.ToString() &&
         !this->running->HasCalled();
}

void InboundAttempt::OnHead(int aStatus, HttpHeaders aHeaders,
                            int64_t aLength) {
  if (this->state != State::Running) {
    return;
  }
  this->headReceived = true;
  this->status = aStatus;
  this->declaredShed = this->IsDeclaredShed(aStatus, aHeaders);
  if (this->declaredShed) {
    this->DiscardBody();
    return;
  }
  StripForCaller(aHeaders);
  if (this->stored) {
    this->stored->status = static_cast<uint16_t>(aStatus);
    for (const HttpHeader& header : aHeaders) {
      this->stored->headers.push_back({header.name, header.value});
    }
  }
  this->session->Send(
      ResponseHeadFrame{.stream = this->frame.stream,
                        .status = static_cast<uint16_t>(aStatus),
                        .headers = ToWire(aHeaders),
                        .contentLength = aLength});
}

void InboundAttempt::OnData(const std::string& aData) {
  if (this->state != State::Running) {
    return;
  }
  this->StoreBody(aData);
  if (this->discardsBody) {
    this->discarded += aData.size();
    if (this->discarded > kMaxDiscardedBody) {
      this->handler.Client().Cancel(this->transfer);
    }
    return;
  }
  this->uncredited += aData.size();
  for (size_t at = 0; at < aData.size(); at += kMaxDataBytes) {
    this->session->Send(ResponseDataFrame{
        .stream = this->frame.stream, .data = aData.substr(at, kMaxDataBytes)});
  }
}

void InboundAttempt::StoreBody(const std::string& aData) {
  if (!this->stored) {
    return;
  }
  if (this->stored->body.size() + aData.size() > kMaxStoredBody) {
    this->stored.reset();
    return;
  }
  this->stored->body += aData;
}

void InboundAttempt::OnDone(const HttpTransferResult& aResult) {
  if (this->state != State::Running) {
    return;
  }
  this->handler.Release(
      this->handle,
      {.childTime = this->running->CallTime(SteadyClock().Now()),
       .complete = aResult.complete && this->status < kServerError});
  if (aResult.sendRefused) {
    this->FinishFailed(Outcome::NotRun, Cause::StaleKnowledge,
                       kDefaultRetryAfter);
  } else if (this->declaredShed) {
    this->FinishFailed(Outcome::NotRun, Cause::TargetShed, kDefaultRetryAfter);
  } else if (this->headReceived) {
    this->FinishAnswered(aResult.complete);
  } else if (!aResult.mayHaveBeenSent) {
    this->FinishFailed(Outcome::NotRun, Cause::ConnectFailed, Duration(0));
  } else {
    const Cause cause =
        aResult.timedOut ? Cause::DeadlineExpired : Cause::TargetFailed;
    this->FinishFailed(Outcome::Unknown, cause, Duration(0));
  }
}

void InboundAttempt::FinishAnswered(bool aComplete) {
  this->session->Send(ResponseEndFrame{
      .stream = this->frame.stream,
      .complete = aComplete,
      .unspentRetries = this->running->UnspentRetries(),
      .thresholds = this->handler.Thresholds(this->Context())});
  this->Finish({.outcome = aComplete ? Outcome::Ran : Outcome::Unknown,
                .cause = aComplete ? Cause::None : Cause::TargetFailed,
                .response = aComplete ? this->stored : nullptr});
}

void InboundAttempt::FinishFailed(Outcome aOutcome, Cause aCause,
                                  Duration aRetryAfter) {
  RefusalFrame refusal =
      ToFrame(this->frame.stream, aOutcome, aCause, aRetryAfter);
  refusal.unspentRetries = this->running->UnspentRetries();
  refusal.thresholds = this->handler.Thresholds(this->Context());
  this->session->Send(refusal);
  this->Finish({.outcome = aOutcome, .cause = aCause, .response = nullptr});
}

void InboundAttempt::Finish(AttemptResult aResult) {
  this->state = State::Done;
  this->running->End();
  this->handler.OnFinished(*this, std::move(aResult));
}

}  // namespace fescueline
