#include "Node/ForwardCall.h"

#include <algorithm>

#include "Core/RandomSource.h"
#include "Log/Log.h"
#include "Node/Headers.h"

namespace fescueline {

namespace {
/// Delay before each query for a lost attempt. A new connection takes about a
/// millisecond; a paused node may need longer.
constexpr Duration kQueryPause = std::chrono::milliseconds(100);
/// Time after which queries to an unreachable node are abandoned. Attempts that
/// a shorter process pause or connection failure affects are still resolved.
constexpr Duration kQueryLimit = std::chrono::seconds(3);
/// Suggested wait when no target is available.
constexpr Duration kNoTargetRetryAfter = std::chrono::milliseconds(500);
constexpr int kServerError = 500;
}  // namespace

ForwardCall::ForwardCall(Settings aSettings)
    : settings(std::move(aSettings)),
      response(this->settings.exchange,
               this->settings.exchange->Request().method == "HEAD"),
      strand(asio::make_strand(this->settings.io)),
      timer(this->strand),
      queryTimer(this->strand),
      startedAt(SteadyClock().Now()) {}

void ForwardCall::Start() {
  asio::post(this->strand, [self = this->shared_from_this()] {
    self->timer.expires_at(self->settings.deadline);
    self->timer.async_wait([self](const asio::error_code& aError) {
      if (!aError) {
        self->OnDeadline();
      }
    });
    self->settings.fleet.CountFirstAttempt(SteadyClock().Now());
    self->TryNext();
  });
  this->settings.exchange->OnAbort([weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->Abort();
    }
  });
}

void ForwardCall::Abort() {
  asio::post(this->strand, [self = this->shared_from_this()] {
    if (self->done) {
      return;
    }
    const bool sent = self->attempt.has_value();
    if (sent) {
      self->attempt->client->Cancel(self->attempt->stream);
      self->EndAttempt(CallResult::Cancelled, 0);
    }
    self->Refuse({.outcome = sent || self->mayHaveRun ? Outcome::Unknown
                                                      : Outcome::NotRun,
                  .cause = Cause::Cancelled});
  });
}

void ForwardCall::TryNext() {
  const TimePoint now = SteadyClock().Now();
  if (this->done) {
    return;
  }
  const auto target = this->settings.fleet.Pick(this->settings.context.service,
                                                this->tried, now);
  if (!target) {
    // If every target refused, the last refusal is more specific than "no
    // target".
    this->Refuse(
        {.outcome = this->mayHaveRun ? Outcome::Unknown : Outcome::NotRun,
         .cause = this->lastCause,
         .retryAfter =
             std::max(this->lastRetryAfter, WithJitter(kNoTargetRetryAfter))});
    return;
  }
  this->Send(*target);
}

void ForwardCall::Send(const ChosenTarget& aTarget) {
  this->settings.metrics.CountAttempt(this->attemptNumber > 0);
  this->attemptNumber++;
  this->response.Begin();
  this->tried.push_back(aTarget.ticket.target);
  this->attempt.emplace(
      Attempt{.target = aTarget,
              .client = this->settings.peers.Get(aTarget.address),
              .id = Id128::Generate(),
              .startedAt = SteadyClock().Now(),
              .granted = this->settings.budget->GrantForCall()});
  this->attempt->stream =
      this->attempt->client->Request(this->MakeFrame(), this->StreamHandlers());
}

RequestFrame ForwardCall::MakeFrame() const {
  RequestContext context = this->settings.context;
  context.attemptId = this->attempt->id;
  context.remaining =
      std::max(Duration(0), this->settings.deadline - SteadyClock().Now());
  context.age = SteadyClock().Now() - this->settings.budget->RootStart();
  const HttpRequest& request = this->settings.exchange->Request();
  return {.stream = 0,
          .context = SignContext(context, this->settings.fleetSecret),
          .retries = this->attempt->granted,
          .sentAt = 0,
          .method = request.method,
          .target = request.target,
          .headers = ToWire(this->settings.headers),
          .body = request.body};
}

template <typename F>
void ForwardCall::PostFor(uint64_t aAttempt, F aFunction) {
  asio::post(this->strand, [self = this->shared_from_this(), aAttempt,
                            function = std::move(aFunction)]() mutable {
    if (!self->done && self->attempt && self->attemptNumber == aAttempt) {
      function(*self);
    }
  });
}

PeerStreamHandlers ForwardCall::StreamHandlers() {
  const auto self = this->shared_from_this();
  const uint64_t number = this->attemptNumber;
  const auto client = this->attempt->client;
  return {
      .onHead =
          [self, number](const ResponseHeadFrame& aFrame) {
            self->PostFor(number, [frame = aFrame](ForwardCall& aCall) mutable {
              aCall.OnHead(std::move(frame));
            });
          },
      .onData =
          [self, number](std::string aData) {
            self->PostFor(
                number, [data = std::move(aData)](ForwardCall& aCall) mutable {
                  aCall.OnData(std::move(data));
                });
          },
      .onEnd =
          [self, number](const ResponseEndFrame& aFrame) {
            self->PostFor(
                number, [aFrame](ForwardCall& aCall) { aCall.OnEnd(aFrame); });
          },
      .onRefusal =
          [self, number](const RefusalFrame& aFrame) {
            self->PostFor(number, [aFrame](ForwardCall& aCall) {
              aCall.OnRefusal(aFrame);
            });
          },
      .onAttemptReply =
          [self, number](const AttemptReplyFrame& aFrame) {
            self->PostFor(number, [aFrame](ForwardCall& aCall) {
              aCall.OnAttemptReply(aFrame);
            });
          },
      .onConnectionLost =
          [self, number, client](bool aSent) {
            self->PostFor(
                number,
                [aSent, incarnation = client->RemoteIncarnation()](
                    ForwardCall& aCall) { aCall.OnLost(aSent, incarnation); });
          }};
}

void ForwardCall::OnHead(ResponseHeadFrame aFrame) {
  HttpHeaders headers = FromWire(aFrame.headers);
  StripForCaller(headers);
  headers.push_back({"fescueline-outcome", std::string(ToName(Outcome::Ran))});
  aFrame.headers = ToWire(headers);
  if (!this->response.OnHead(aFrame)) {
    this->OnProtocolError("head");
  }
}

void ForwardCall::OnData(std::string aData) {
  const uint64_t size = aData.size();
  const bool fits = this->response.OnData(
      std::move(aData),
      [client = this->attempt->client, stream = this->attempt->stream, size] {
        client->Credit(stream, size);
      });
  if (!fits) {
    this->OnProtocolError("body");
  }
}

void ForwardCall::OnProtocolError(std::string_view aPart) {
  Log(LogLevel::Error, "peer sent what fits no response",
      {{"attempt", this->attempt->id.ToString()},
       {"peer", this->attempt->target.address.nodeId},
       {"part", std::string(aPart)},
       {"status", std::to_string(this->response.Status())}});
  this->attempt->client->Cancel(this->attempt->stream);
  this->EndAttempt(CallResult::Failed, 0);
  this->OnFailed(Outcome::Unknown, Cause::ConnectionLost, Duration(0));
}

void ForwardCall::OnEnd(const ResponseEndFrame& aFrame) {
  this->settings.fleet.ApplyThresholds(this->attempt->target.address.nodeId,
                                       this->settings.pathRoute,
                                       aFrame.thresholds, SteadyClock().Now());
  if (!aFrame.complete) {
    this->EndAttempt(CallResult::Failed, aFrame.unspentRetries);
    this->OnFailed(Outcome::Unknown, Cause::TargetFailed, Duration(0));
    return;
  }
  if (!this->response.IsComplete()) {
    this->OnProtocolError("end");
    return;
  }
  const bool good = this->response.Status() < kServerError;
  this->EndAttempt(good ? CallResult::Answered : CallResult::Failed,
                   aFrame.unspentRetries);
  this->Finish(true);
}

void ForwardCall::OnRefusal(const RefusalFrame& aFrame) {
  this->settings.fleet.ApplyThresholds(this->attempt->target.address.nodeId,
                                       this->settings.pathRoute,
                                       aFrame.thresholds, SteadyClock().Now());
  // A target that has sent a response head has run the request.
  const bool notRun = aFrame.outcome == static_cast<uint8_t>(Outcome::NotRun) &&
                      !this->response.HasHead();
  const auto outcome = notRun ? Outcome::NotRun : Outcome::Unknown;
  const auto cause = static_cast<Cause>(aFrame.cause);
  const bool targetFailed =
      outcome == Outcome::Unknown || cause == Cause::ConnectFailed;
  this->EndAttempt(targetFailed ? CallResult::Failed : CallResult::Refused,
                   aFrame.unspentRetries);
  this->OnFailed(outcome, cause, std::chrono::milliseconds(aFrame.retryAfter));
}

void ForwardCall::OnLost(bool aSent, std::string aIncarnation) {
  if (!aSent) {
    const uint32_t granted = this->attempt->granted;
    this->EndAttempt(CallResult::ConnectFailed, granted);
    this->OnFailed(Outcome::NotRun, Cause::ConnectFailed, kNoTargetRetryAfter);
    return;
  }
  if (this->settings.context.idempotent || this->response.IsStreamed()) {
    this->EndAttempt(CallResult::Failed, 0);
    this->OnFailed(Outcome::Unknown, Cause::ConnectionLost, Duration(0));
    return;
  }
  if (this->attempt->incarnation.empty()) {
    this->attempt->incarnation = std::move(aIncarnation);
  }
  this->lostAt = SteadyClock().Now();
  this->Query();
}

void ForwardCall::Query() {
  // Stored responses are too short to be streamed, so a query cannot continue a
  // streamed one.
  if (this->response.IsStreamed() ||
      SteadyClock().Now() - this->lostAt > kQueryLimit) {
    this->EndAttempt(CallResult::Failed, 0);
    this->OnFailed(Outcome::Unknown, Cause::ConnectionLost, Duration(0));
    return;
  }
  this->queryTimer.expires_after(kQueryPause);
  this->queryTimer.async_wait(
      [self = this->shared_from_this()](const asio::error_code& aError) {
        if (aError || self->done || !self->attempt) {
          return;
        }
        Attempt& lost = *self->attempt;
        // The reply contains the complete response or none of it, so the
        // buffered part is dropped.
        self->response.Begin();
        lost.client = self->settings.peers.Get(lost.target.address);
        PeerStreamHandlers handlers = self->StreamHandlers();
        // A lost query is retried whether or not it was sent.
        handlers.onConnectionLost = [self, number = self->attemptNumber](bool) {
          self->PostFor(number, [](ForwardCall& aCall) { aCall.Query(); });
        };
        lost.stream =
            lost.client->Query(lost.id, SteadyClock().Now() - lost.startedAt,
                               lost.incarnation, std::move(handlers));
      });
}

void ForwardCall::OnAttemptReply(const AttemptReplyFrame& aFrame) {
  if (this->attempt->incarnation.empty() || this->response.HasHead()) {
    this->OnProtocolError("reply");
    return;
  }
  const auto outcome = static_cast<Outcome>(aFrame.outcome);
  this->EndAttempt(CallResult::Failed, 0);
  if (outcome == Outcome::Ran) {
    this->Refuse({.outcome = Outcome::Ran,
                  .cause = Cause::ConnectionLost,
                  .retryAfter = Duration(0),
                  .detail = "the response was lost"});
    return;
  }
  this->OnFailed(
      outcome == Outcome::NotRun ? Outcome::NotRun : Outcome::Unknown,
      Cause::ConnectionLost, Duration(0));
}

bool ForwardCall::MayRetry(Outcome aOutcome, Cause aCause) const {
  const TimePoint now = SteadyClock().Now();
  const FailedCall failed{.outcome = aOutcome,
                          .cause = aCause,
                          .idempotent = this->settings.context.idempotent,
                          .onThisHop = true,
                          .remaining = this->settings.deadline - now};
  return RetryPolicy(RetryPolicySettings{}).MayRetry(failed) &&
         this->settings.budget->SpendRetry() &&
         this->settings.fleet.TryRetry(now);
}

void ForwardCall::OnFailed(Outcome aOutcome, Cause aCause,
                           Duration aRetryAfter) {
  if (this->response.IsStreamed()) {
    // The caller has received a part of the response, so the request can be
    // neither retried nor refused.
    this->Finish(false);
    return;
  }
  if (this->MayRetry(aOutcome, aCause)) {
    this->mayHaveRun = this->mayHaveRun || aOutcome != Outcome::NotRun;
    this->lastCause = aCause;
    this->lastRetryAfter = aRetryAfter;
    this->TryNext();
    return;
  }
  this->Refuse({.outcome = this->mayHaveRun ? Outcome::Unknown : aOutcome,
                .cause = aCause,
                .retryAfter = aRetryAfter});
}

void ForwardCall::EndAttempt(CallResult aResult, uint32_t aUnspentRetries) {
  this->settings.budget->ReturnGrant(
      this->attempt->granted,
      std::min(this->attempt->granted, aUnspentRetries));
  this->settings.fleet.Finish(this->attempt->target.ticket, aResult,
                              SteadyClock().Now());
  this->attempt.reset();
}

void ForwardCall::OnDeadline() {
  if (this->done) {
    return;
  }
  const bool sent = this->attempt.has_value();
  if (sent) {
    this->attempt->client->Cancel(this->attempt->stream);
    this->EndAttempt(CallResult::Failed, 0);
  }
  this->Refuse(
      {.outcome = sent || this->mayHaveRun ? Outcome::Unknown : Outcome::NotRun,
       .cause = Cause::DeadlineExpired});
}

void ForwardCall::Refuse(const Refusal& aRefusal) {
  if (this->response.IsStreamed()) {
    this->Finish(false);
    return;
  }
  const RequestContext& context = this->settings.context;
  this->settings.metrics.CountRefusal(context.organisation, context.importance,
                                      aRefusal.cause);
  this->done = true;
  this->timer.cancel();
  this->queryTimer.cancel();
  if (this->settings.onEnd) {
    this->settings.onEnd({.status = 0, .refusal = aRefusal});
  }
  this->settings.exchange->Respond(ToResponse(aRefusal), this->settings.onSent);
}

void ForwardCall::Finish(bool aComplete) {
  const RequestContext& context = this->settings.context;
  this->settings.metrics.CountServed(context.organisation, context.importance,
                                     this->response.Status(),
                                     SteadyClock().Now() - this->startedAt);
  this->done = true;
  this->timer.cancel();
  this->queryTimer.cancel();
  if (this->settings.onEnd) {
    this->settings.onEnd({.status = this->response.Status(), .refusal = {}});
  }
  if (this->response.IsStreamed()) {
    this->response.EndStream(aComplete, this->settings.onSent);
  } else {
    this->response.Deliver(this->settings.onSent);
  }
}

}  // namespace fescueline
