#include "Mesh/EntryCall.h"

#include <algorithm>
#include <utility>

#include "Mesh/EntryRetryPolicy.h"
#include "Node/ThresholdMessages.h"

namespace fescueline {

namespace {
/// Time that a request waits for a token of its organisation's rate when no
/// issuer answers: an eighth of the usual latency objective, and about the
/// time until a restarting fleet has an issuer.
constexpr Duration kRateWait = std::chrono::milliseconds(250);
constexpr Duration kStaleRetryAfter = std::chrono::milliseconds(500);
/// About the time that a restarted node takes to become ready.
constexpr Duration kStopRetryAfter = std::chrono::seconds(1);
constexpr Duration kRateRetryAfter = std::chrono::milliseconds(1000);
constexpr Duration kOverloadRetryAfter = std::chrono::milliseconds(300);
constexpr int kFirstServerError = 500;
/// Retry budget of a caller's request over its call chain, and of a
/// downstream call whose parent is unknown.
constexpr uint32_t kChainRetries = 4;
constexpr uint32_t kOrphanRetries = 1;
}  // namespace

EntryCall::EntryCall(EntryService& aService, HttpExchangePtr aExchange)
    : service(aService),
      context(aService.dependencies.context),
      exchange(std::move(aExchange)),
      response(this->exchange, this->exchange->Request().method == "HEAD"),
      request(this->context, this->exchange->Request()),
      reporter(this->context, this->request),
      timer(this->context.io) {
  ++this->service.open;
}

EntryCall::~EntryCall() { --this->service.open; }

void EntryCall::Start() {
  if (const Cause cause = this->request.Classify(); cause != Cause::None) {
    this->Refuse(
        Outcome::NotRun, cause,
        cause == Cause::StaleKnowledge ? kStaleRetryAfter : Duration::zero());
    return;
  }
  this->parent = this->context.running.ParentOf(this->request.Id());
  if (this->parent) {
    this->request.Inherit(*this->parent);
  }
  const bool isCall = this->parent || this->request.IsDownstreamCall();
  if (isCall ? this->service.refusesCalls : this->service.refusesNew) {
    this->Refuse(Outcome::NotRun, Cause::Draining, kStopRetryAfter);
    return;
  }
  this->exchange->OnAbort([weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnCallerGone();
    }
  });
  this->timer.expires_at(this->request.Deadline());
  this->timer.async_wait(
      [self = this->shared_from_this()](const asio::error_code& aError) {
        if (!aError) {
          self->OnTimeout();
        }
      });
  if (!this->BeginBudget()) {
    this->Refuse(Outcome::NotRun, Cause::Cancelled);
    return;
  }
  const bool refusedDownstream =
      !this->parent &&
      this->context.thresholds.ShouldRefuse(
          this->request.Route()->name, this->request.RootOrganisation(),
          this->request.GetImportance(), RootHash(this->request.RootId()),
          this->request.StartedAt());
  if (refusedDownstream) {
    this->Refuse(Outcome::NotRun, Cause::Overloaded, kOverloadRetryAfter);
    return;
  }
  this->AdmitByRate();
}

bool EntryCall::BeginBudget() {
  const TimePoint startedAt = this->request.StartedAt();
  if (!this->parent) {
    this->budget = std::make_shared<RunningAttempt>(
        RequestContext{},
        RunningAttempt::Times{.rootStart = startedAt,
                              .deadline = this->request.Deadline()},
        this->request.IsDownstreamCall() ? kOrphanRetries : kChainRetries);
    return true;
  }
  this->budget = this->parent;
  this->callNumber = this->parent->BeginCall(
      [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->OnCallerGone();
        }
      },
      startedAt);
  return this->callNumber != 0;
}

void EntryCall::AdmitByRate() {
  if (this->request.Organisation() == nullptr) {
    this->TryNext();
    return;
  }
  const TimePoint startedAt = this->request.StartedAt();
  this->service.dependencies.grants.Admit(
      this->request.OrganisationName(), startedAt,
      std::min(startedAt + kRateWait, this->request.Deadline()),
      [self = this->shared_from_this()](bool aAdmitted) {
        if (self->finished) {
          return;
        }
        if (!aAdmitted) {
          self->Refuse(Outcome::NotRun, Cause::RateExceeded, kRateRetryAfter);
          return;
        }
        self->charged = true;
        self->TryNext();
      });
}

void EntryCall::TryNext() {
  const TimePoint now = SteadyClock().Now();
  if (this->attemptNumber == 0) {
    this->request.SetService(this->service.ServiceFor(*this->request.Route()));
    RetryRatio& retries = this->service.RetriesOf(this->request.Service());
    retries.OnFirstAttempt(now);
    if (this->request.IsPartOfRetry()) {
      retries.OnRetry(now);
    }
  }
  auto choice = this->service.dependencies.fleet.Pick(this->request.Service(),
                                                      this->tried, now);
  if (!choice) {
    this->Refuse(this->mayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                 this->tried.empty() ? Cause::NoTarget : Cause::Overloaded,
                 kOverloadRetryAfter);
    return;
  }
  this->Send(std::move(*choice));
}

void EntryCall::Send(MeshFleet::Choice aChoice) {
  const TimePoint now = SteadyClock().Now();
  const uint32_t number = ++this->attemptNumber;
  this->response.Begin();
  this->tried.push_back(aChoice.target);
  this->attempt = Attempt{.choice = std::move(aChoice),
                          .ticket = this->service.dependencies.fleet.OnStart(
                              this->tried.back(), now),
                          .stream = 0};
  this->context.metrics.CountAttempt(number > 1);
  this->attempt->grantedRetries = this->budget->GrantForCall();
  RequestFrame frame = this->request.Frame(
      {.isRetry = this->reachedTargets > 0,
       .retries = this->attempt->grantedRetries,
       .fleetSecret = this->service.dependencies.fleetSecret},
      now);
  // Events of an abandoned attempt are ignored.
  const auto guard = [weak = this->weak_from_this(), number](auto aFunction) {
    const auto self = weak.lock();
    if (self && !self->finished && self->attemptNumber == number &&
        self->attempt) {
      aFunction(*self);
    }
  };
  this->attempt->stream = this->attempt->choice.client->Request(
      std::move(frame),
      {.onHead =
           [guard](const ResponseHeadFrame& aFrame) {
             guard([&](EntryCall& aCall) { aCall.OnHead(aFrame); });
           },
       .onData =
           [guard](std::string aData) {
             guard([&](EntryCall& aCall) { aCall.OnData(std::move(aData)); });
           },
       .onEnd =
           [guard](const ResponseEndFrame& aFrame) {
             guard([&](EntryCall& aCall) { aCall.OnEnd(aFrame); });
           },
       .onRefusal =
           [guard](const RefusalFrame& aFrame) {
             guard([&](EntryCall& aCall) { aCall.OnRefusal(aFrame); });
           },
       .onAttemptReply = [](const AttemptReplyFrame&) {},
       .onConnectionLost =
           [guard, self = this->shared_from_this()](bool aSent) {
             guard([&](EntryCall& aCall) { aCall.OnLost(aSent); });
           }});
}

void EntryCall::OnHead(const ResponseHeadFrame& aFrame) {
  if (!this->response.OnHead(aFrame)) {
    this->OnProtocolError("head");
  }
}

void EntryCall::OnData(std::string aData) {
  const size_t size = aData.size();
  const bool fits = this->response.OnData(
      std::move(aData),
      [client = this->attempt->choice.client, stream = this->attempt->stream,
       size] { client->Credit(stream, size); });
  if (!fits) {
    this->OnProtocolError("body");
  }
}

void EntryCall::OnProtocolError(std::string_view aWhat) {
  this->reporter.ProtocolError(this->attempt->choice.node, aWhat,
                               this->response.Status());
  this->attempt->choice.client->Cancel(this->attempt->stream);
  this->OnFailed(Outcome::Unknown, Cause::ConnectionLost, {});
}

void EntryCall::OnEnd(const ResponseEndFrame& aFrame) {
  this->LearnThresholds(aFrame.thresholds);
  if (!aFrame.complete) {
    this->attempt->unspentRetries = aFrame.unspentRetries;
    this->OnFailed(Outcome::Unknown, Cause::TargetFailed, {});
    return;
  }
  if (!this->response.IsComplete()) {
    this->OnProtocolError("end");
    return;
  }
  if (this->response.IsStreamed()) {
    this->EndAttempt(CallResult::Answered, aFrame.unspentRetries);
    this->response.EndStream(true);
    this->reporter.Served(this->response.Status());
    this->Finish();
    return;
  }
  const bool failed = this->response.Status() >= kFirstServerError;
  this->EndAttempt(failed ? CallResult::Failed : CallResult::Answered,
                   aFrame.unspentRetries);
  ++this->reachedTargets;
  if (failed && this->MayRetryFailure()) {
    this->reporter.Retried(Outcome::Ran, Cause::TargetFailed,
                           this->attemptNumber);
    this->errorResponse = this->response.Take();
    this->mayHaveRun = true;
    this->TryNext();
    return;
  }
  this->DeliverBuffered();
}

void EntryCall::DeliverBuffered() {
  this->reporter.Served(this->response.Status());
  this->response.Deliver();
  this->Finish();
}

void EntryCall::LearnThresholds(const std::vector<ThresholdWire>& aThresholds) {
  // The thresholds of a downstream call belong to the path of its parent.
  const std::string& path = this->parent ? this->parent->Context().route
                                         : this->request.Route()->name;
  for (const ThresholdWire& wire : aThresholds) {
    if (wire.service != this->request.Service()) {
      this->service.routesWithCalls.insert(this->request.Route()->name);
    }
  }
  this->context.thresholds.ApplyReports(this->attempt->choice.node, path,
                                        FromWire(aThresholds),
                                        SteadyClock().Now());
}

void EntryCall::OnRefusal(const RefusalFrame& aFrame) {
  this->LearnThresholds(aFrame.thresholds);
  this->attempt->unspentRetries = aFrame.unspentRetries;
  // A target that has begun its response has run the request.
  const bool notRun = static_cast<Outcome>(aFrame.outcome) == Outcome::NotRun &&
                      !this->response.HasHead();
  this->OnFailed(notRun ? Outcome::NotRun : Outcome::Unknown,
                 static_cast<Cause>(aFrame.cause),
                 std::chrono::milliseconds(aFrame.retryAfter));
}

void EntryCall::OnLost(bool aSent) {
  this->OnFailed(aSent ? Outcome::Unknown : Outcome::NotRun,
                 aSent ? Cause::ConnectionLost : Cause::ConnectFailed, {});
}

void EntryCall::OnFailed(Outcome aOutcome, Cause aCause, Duration aRetryAfter) {
  const bool reached =
      aOutcome != Outcome::NotRun || aCause == Cause::TargetShed;
  this->reachedTargets += reached ? 1 : 0;
  this->mayHaveRun = this->mayHaveRun || aOutcome != Outcome::NotRun;
  CallResult result = CallResult::Refused;
  if (aCause == Cause::ConnectFailed) {
    result = CallResult::ConnectFailed;
  } else if (aOutcome != Outcome::NotRun) {
    result = CallResult::Failed;
  }
  this->EndAttempt(result, this->attempt->unspentRetries);
  if (this->response.IsStreamed()) {
    this->AbortResponse("response broken off", aCause);
    return;
  }
  if (this->MayRetry(aOutcome, aCause)) {
    this->reporter.Retried(aOutcome, aCause, this->attemptNumber);
    this->TryNext();
    return;
  }
  this->Refuse(this->mayHaveRun ? Outcome::Unknown : Outcome::NotRun, aCause,
               aRetryAfter);
}

bool EntryCall::MayRetryFailure() {
  const TimePoint now = SteadyClock().Now();
  const bool pathOpen = this->context.thresholds
                            .Lowest(this->request.Route()->name,
                                    this->request.RootOrganisation(), now)
                            .AdmitsAll();
  return EntryRetryPolicy::IsWorthwhile(
             {.status = this->response.Status(),
              .age = now - this->request.StartedAt(),
              .remaining = this->request.Remaining(now),
              .overloaded = !pathOpen}) &&
         this->MayRetry(Outcome::Ran, Cause::TargetFailed);
}

bool EntryCall::MayRetry(Outcome aOutcome, Cause aCause) {
  const TimePoint now = SteadyClock().Now();
  const RetryDecision decision = EntryRetryPolicy::Decide(
      {.outcome = aOutcome,
       .cause = aCause,
       .remaining = this->request.Remaining(now),
       .nodesTried = this->tried.size(),
       .reachedTargets = this->reachedTargets,
       .maxTargets = this->request.Route()->maxTargets,
       .idempotent = this->request.Route()->idempotent,
       .makesCalls = this->service.routesWithCalls.contains(
           this->request.Route()->name)});
  if (!decision.allowed || !decision.share) {
    return decision.allowed;
  }
  RetryRatio& retries = this->service.RetriesOf(this->request.Service());
  return retries.TryRetry(now, *decision.share) && this->budget->SpendRetry();
}

void EntryCall::EndAttempt(CallResult aResult, uint32_t aUnspentRetries) {
  if (this->attempt) {
    this->budget->ReturnGrant(this->attempt->grantedRetries, aUnspentRetries);
    this->service.dependencies.fleet.OnFinish(this->attempt->ticket, aResult,
                                              SteadyClock().Now());
    this->attempt.reset();
  }
}

void EntryCall::AbortResponse(std::string_view aEvent, Cause aCause) {
  this->response.EndStream(false);
  this->reporter.Failed(aEvent, Outcome::Ran, aCause, this->attemptNumber);
  this->Finish();
}

void EntryCall::OnTimeout() {
  if (this->finished) {
    return;
  }
  const bool sent = this->attempt.has_value();
  if (sent) {
    this->attempt->choice.client->Cancel(this->attempt->stream);
    this->EndAttempt(CallResult::Failed);
  }
  if (this->response.IsStreamed()) {
    this->AbortResponse("response cut", Cause::DeadlineExpired);
    return;
  }
  // An attempt that is queued at a target's node may still start.
  this->Refuse(sent || this->mayHaveRun ? Outcome::Unknown : Outcome::NotRun,
               Cause::DeadlineExpired);
}

void EntryCall::OnCallerGone() {
  if (this->finished) {
    return;
  }
  if (this->attempt) {
    this->attempt->choice.client->Cancel(this->attempt->stream);
    this->EndAttempt(CallResult::Cancelled);
  }
  this->reporter.CallerGone(this->attemptNumber);
  this->Finish();
}

void EntryCall::Refuse(Outcome aOutcome, Cause aCause, Duration aRetryAfter) {
  if (this->finished) {
    return;
  }
  if (this->charged && aOutcome == Outcome::NotRun &&
      this->reachedTargets == 0) {
    this->service.dependencies.grants.Return(this->request.OrganisationName(),
                                             SteadyClock().Now());
  }
  this->reporter.Failed("request refused", aOutcome, aCause,
                        this->attemptNumber);
  // The error response of a target tells the caller more than a refusal of this
  // node.
  this->exchange->Respond(
      this->errorResponse
          ? std::move(*this->errorResponse)
          : this->reporter.Refusal(aOutcome, aCause, aRetryAfter));
  this->Finish();
}

void EntryCall::Finish() {
  this->finished = true;
  this->timer.cancel();
  if (this->callNumber != 0) {
    this->parent->EndCall(this->callNumber, SteadyClock().Now());
  }
  this->EndAttempt(CallResult::Cancelled);
}

}  // namespace fescueline
