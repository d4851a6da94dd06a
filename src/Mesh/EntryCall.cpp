#include "Mesh/EntryCall.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "Log/Log.h"
#include "Mesh/CallerRequest.h"
#include "Mesh/CallerResponse.h"
#include "Mesh/RepeatPolicy.h"
#include "Node/ThresholdMessages.h"

namespace fescueline {

namespace {
/// Time that a request waits for a token of its organisation's rate while no
/// issuer answers: an eighth of the usual latency objective, and as long as a
/// fleet that restarts takes to have an issuer again.
constexpr Duration kRateWait = std::chrono::milliseconds(250);
/// Taken off the deadline that targets get, for the way back.
/// Longer than the period of the target's queue, so that the refusal of a
/// request that expires there, which has not run, still arrives in time.
constexpr Duration kReturnTime = std::chrono::milliseconds(15);
/// Timeout of requests that state none.
constexpr Duration kDefaultTimeout = std::chrono::seconds(10);
constexpr Duration kStaleRetryAfter = std::chrono::milliseconds(500);
constexpr Duration kRateRetryAfter = std::chrono::milliseconds(1000);
constexpr Duration kOverloadRetryAfter = std::chrono::milliseconds(300);
constexpr int kFirstServerError = 500;
/// Retries of a caller's request over its whole chain of calls, and of a call
/// whose parent is not known.
constexpr uint32_t kChainRetries = 4;
constexpr uint32_t kOrphanRetries = 1;

std::string Milliseconds(Duration aDuration) {
  return fmt::format("{:.1f}", ToSeconds(aDuration) * 1000);
}
}  // namespace

EntryCall::EntryCall(EntryService& aService, HttpExchangePtr aExchange)
    : service(aService),
      context(aService.dependencies.context),
      exchange(std::move(aExchange)),
      response(this->exchange, this->exchange->Request().method == "HEAD"),
      config(this->context.config.Current()),
      startedAt(SteadyClock().Now()),
      timer(this->context.io) {
  ++this->service.open;
}

EntryCall::~EntryCall() { --this->service.open; }

void EntryCall::Start() {
  const HttpRequest& request = this->exchange->Request();
  const HeaderVocabulary& names = this->context.headers;
  this->requestId = FindHeader(request.headers, names.requestId).value_or("");
  this->target = request.target;
  if (!this->config) {
    this->Refuse(Outcome::NotRun, Cause::StaleKnowledge, kStaleRetryAfter);
    return;
  }
  this->deadline = this->startedAt + kDefaultTimeout;
  if (const auto timeout = TimeoutOf(request.headers, names)) {
    this->deadline = this->startedAt + *timeout;
  }
  if (!this->Route() || !this->Authenticate()) {
    return;
  }
  this->importance =
      this->config->ImportanceOf(*this->route, this->organisation);
  this->rootId = Id128::Generate();
  if (this->organisation != nullptr) {
    this->shareOf = this->organisation->name;
  }
  if (const auto running = this->context.running.ParentOf(this->requestId)) {
    this->Inherit(running);
  }
  this->headers =
      TargetHeaders(std::move(this->exchange->Request().headers), names,
                    this->context.settings.service, this->OrganisationName());
  this->exchange->OnAbort([weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnCallerGone();
    }
  });
  this->timer.expires_at(this->deadline);
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
  const bool refusedFurtherDown =
      !this->parent && this->context.thresholds.ShouldRefuse(
                           this->route->name, this->shareOf, this->importance,
                           RootHash(this->rootId), this->startedAt);
  if (refusedFurtherDown) {
    this->Refuse(Outcome::NotRun, Cause::Overloaded, kOverloadRetryAfter);
    return;
  }
  this->AdmitByRate();
}

std::string EntryCall::OrganisationName() const {
  return this->organisation == nullptr ? "" : this->organisation->name;
}

void EntryCall::Inherit(const RunningAttemptPtr& aParent) {
  const RequestContext& root = aParent->Context();
  this->parent = aParent;
  this->rootId = root.rootId;
  this->shareOf = root.organisation;
  this->importance = root.importance;
  this->depth = root.depth + 1;
  this->ofRepeat = root.repeated;
  this->deadline = std::min(this->deadline, aParent->Deadline());
}

bool EntryCall::BeginBudget() {
  if (!this->parent) {
    const bool isCall =
        this->requestId.find('.') != std::string::npos && this->route->open;
    this->budget = std::make_shared<RunningAttempt>(
        RequestContext{},
        RunningAttempt::Times{.rootStart = this->startedAt,
                              .deadline = this->deadline},
        isCall ? kOrphanRetries : kChainRetries);
    return true;
  }
  this->budget = this->parent;
  this->callNumber = this->parent->BeginCall(
      [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->OnCallerGone();
        }
      },
      this->startedAt);
  return this->callNumber != 0;
}

bool EntryCall::Route() {
  const HttpRequest& request = this->exchange->Request();
  this->route =
      this->config->FindRoute(HostOf(request.headers), PathOf(request.target));
  if (this->route != nullptr) {
    this->deadline =
        std::min(this->deadline, this->startedAt + this->route->timeout);
    return true;
  }
  // A node that lags behind may not know the route yet.
  if (this->context.IsFresh()) {
    this->Refuse(Outcome::NotRun, Cause::NoRoute);
  } else {
    this->Refuse(Outcome::NotRun, Cause::StaleKnowledge, kStaleRetryAfter);
  }
  return false;
}

bool EntryCall::Authenticate() {
  if (this->route->open || !this->config->HasOrganisations()) {
    return true;
  }
  const auto key =
      FindHeader(this->exchange->Request().headers, this->context.headers.key);
  if (!this->context.IsFresh()) {
    this->Refuse(Outcome::NotRun, Cause::StaleKnowledge, kStaleRetryAfter);
    return false;
  }
  if (!key || key->empty()) {
    this->Refuse(Outcome::NotRun, Cause::NoKey);
    return false;
  }
  this->organisation = this->config->FindByKey(std::string(*key));
  if (this->organisation == nullptr) {
    this->Refuse(Outcome::NotRun, Cause::UnknownKey);
    return false;
  }
  this->keyHash = AsBytes(Sha256(*key));
  return true;
}

void EntryCall::AdmitByRate() {
  if (this->organisation == nullptr) {
    this->TryNext();
    return;
  }
  this->service.dependencies.grants.Admit(
      this->organisation->name, this->startedAt,
      std::min(this->startedAt + kRateWait, this->deadline),
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
    const std::string& chosen = this->service.ServiceFor(*this->route);
    RetryRatio& retries = this->service.RetriesOf(chosen);
    retries.OnFirst(now);
    if (this->ofRepeat) {
      retries.OnRepeat(now);
    }
    this->chosenService = chosen;
  }
  auto choice = this->service.dependencies.fleet.Pick(this->chosenService,
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
  RequestContext sent;
  sent.organisation = this->shareOf;
  sent.keyHash = this->keyHash;
  sent.rootId = this->rootId;
  sent.depth = this->depth;
  sent.repeated = this->ofRepeat || this->arrivals > 0;
  sent.attemptId = Id128::Generate();
  sent.route = this->route->name;
  sent.service = this->chosenService;
  sent.importance = this->importance;
  sent.idempotent = this->route->idempotent;
  sent.open = this->organisation == nullptr;
  sent.remaining =
      std::max(Duration::zero(), this->Remaining(now) - kReturnTime);
  sent.age = now - this->startedAt;
  sent.configVersion = this->config->Version();
  const HttpRequest& request = this->exchange->Request();
  this->attempt->granted = this->budget->GrantForCall();
  RequestFrame frame{
      .context = SignContext(sent, this->service.dependencies.fleetSecret),
      .retries = this->attempt->granted,
      .method = request.method,
      .target = this->target,
      .headers = this->headers,
      .body = request.body};
  // Events of an attempt that has been given up are ignored.
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
       .onLost =
           [guard, self = this->shared_from_this()](bool aSent) {
             guard([&](EntryCall& aCall) { aCall.OnLost(aSent); });
           }});
}

void EntryCall::OnHead(const ResponseHeadFrame& aFrame) {
  if (!this->response.OnHead(aFrame)) {
    this->OnUnfit("head");
  }
}

void EntryCall::OnData(std::string aData) {
  const size_t size = aData.size();
  const bool fits = this->response.OnData(
      std::move(aData),
      [client = this->attempt->choice.client, stream = this->attempt->stream,
       size] { client->Credit(stream, size); });
  if (!fits) {
    this->OnUnfit("body");
  }
}

void EntryCall::OnUnfit(std::string_view aWhat) {
  Log(LogLevel::Error, "peer sent what fits no response",
      {{"request", this->requestId},
       {"peer", this->attempt->choice.node},
       {"part", std::string(aWhat)},
       {"status", std::to_string(this->response.Status())}});
  this->attempt->choice.client->Cancel(this->attempt->stream);
  this->OnFailed(Outcome::Unknown, Cause::ConnectionLost, {});
}

void EntryCall::OnEnd(const ResponseEndFrame& aFrame) {
  this->LearnThresholds(aFrame.thresholds);
  if (!aFrame.whole) {
    this->attempt->unspent = aFrame.unspentRetries;
    this->OnFailed(Outcome::Unknown, Cause::TargetFailed, {});
    return;
  }
  if (!this->response.IsWhole()) {
    this->OnUnfit("end");
    return;
  }
  if (this->response.IsStreamed()) {
    this->EndAttempt(CallResult::Answered, aFrame.unspentRetries);
    this->response.EndStream(true);
    this->CountServed();
    this->Finish();
    return;
  }
  const bool failed = this->response.Status() >= kFirstServerError;
  this->EndAttempt(failed ? CallResult::Failed : CallResult::Answered,
                   aFrame.unspentRetries);
  ++this->arrivals;
  if (failed && this->MayRepeatFailure()) {
    this->LogRepeat(Outcome::Ran, Cause::TargetFailed);
    this->failure = this->response.Take();
    this->mayHaveRun = true;
    this->TryNext();
    return;
  }
  this->DeliverBuffered();
}

void EntryCall::CountServed() {
  this->context.metrics.CountServed(this->OrganisationName(), this->importance,
                                    this->response.Status(),
                                    SteadyClock().Now() - this->startedAt);
}

void EntryCall::DeliverBuffered() {
  this->CountServed();
  this->response.Deliver();
  this->Finish();
}

void EntryCall::LearnThresholds(const std::vector<ThresholdWire>& aThresholds) {
  // Thresholds of a call belong to the path of the request that makes it.
  const std::string& path =
      this->parent ? this->parent->Context().route : this->route->name;
  for (const ThresholdWire& wire : aThresholds) {
    if (wire.service != this->chosenService) {
      this->service.routesWithCalls.insert(this->route->name);
    }
  }
  this->context.thresholds.Learn(this->attempt->choice.node, path,
                                 FromWire(aThresholds), SteadyClock().Now());
}

void EntryCall::OnRefusal(const RefusalFrame& aFrame) {
  this->LearnThresholds(aFrame.thresholds);
  this->attempt->unspent = aFrame.unspentRetries;
  // A target that has begun to answer has run the request.
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
  this->arrivals += reached ? 1 : 0;
  this->mayHaveRun = this->mayHaveRun || aOutcome != Outcome::NotRun;
  CallResult result = CallResult::Refused;
  if (aCause == Cause::ConnectFailed) {
    result = CallResult::ConnectFailed;
  } else if (aOutcome != Outcome::NotRun) {
    result = CallResult::Failed;
  }
  this->EndAttempt(result, this->attempt->unspent);
  if (this->response.IsStreamed()) {
    this->BreakOff("response broken off", aCause);
    return;
  }
  if (this->MayRepeat(aOutcome, aCause)) {
    this->LogRepeat(aOutcome, aCause);
    this->TryNext();
    return;
  }
  this->Refuse(this->mayHaveRun ? Outcome::Unknown : Outcome::NotRun, aCause,
               aRetryAfter);
}

void EntryCall::LogRepeat(Outcome aOutcome, Cause aCause) const {
  Log(LogLevel::Info, "request repeated",
      {{"request", this->requestId},
       {"service", this->chosenService},
       {"outcome", std::string(ToName(aOutcome))},
       {"cause", std::string(ToName(aCause))},
       {"attempt", std::to_string(this->attemptNumber)}});
}

bool EntryCall::MayRepeatFailure() {
  const TimePoint now = SteadyClock().Now();
  const bool calm =
      this->context.thresholds.Lowest(this->route->name, this->shareOf, now)
          .IsOpen();
  return RepeatPolicy::IsWorthwhile({.status = this->response.Status(),
                                     .age = now - this->startedAt,
                                     .remaining = this->Remaining(now),
                                     .overloaded = !calm}) &&
         this->MayRepeat(Outcome::Ran, Cause::TargetFailed);
}

bool EntryCall::MayRepeat(Outcome aOutcome, Cause aCause) {
  const TimePoint now = SteadyClock().Now();
  const RepeatDecision decision = RepeatPolicy::Decide(
      {.outcome = aOutcome,
       .cause = aCause,
       .remaining = this->Remaining(now),
       .offers = this->tried.size(),
       .arrivals = this->arrivals,
       .maxTargets = this->route->maxTargets,
       .idempotent = this->route->idempotent,
       .makesCalls =
           this->service.routesWithCalls.contains(this->route->name)});
  if (!decision.allowed || !decision.share) {
    return decision.allowed;
  }
  RetryRatio& retries = this->service.RetriesOf(this->chosenService);
  return retries.TryRetry(now, *decision.share) && this->budget->SpendRetry();
}

void EntryCall::EndAttempt(CallResult aResult, uint32_t aUnspentRetries) {
  if (this->attempt) {
    this->budget->ReturnGrant(this->attempt->granted, aUnspentRetries);
    this->service.dependencies.fleet.OnFinish(this->attempt->ticket, aResult,
                                              SteadyClock().Now());
    this->attempt.reset();
  }
}

void EntryCall::BreakOff(std::string_view aEvent, Cause aCause) {
  this->response.EndStream(false);
  this->context.metrics.CountRefusal(this->OrganisationName(), this->importance,
                                     aCause);
  this->LogEnd(aEvent, Outcome::Ran, aCause);
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
    this->BreakOff("response cut", Cause::DeadlineExpired);
    return;
  }
  // An attempt that waits at a target's node may still start.
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
  this->LogEnd("caller gone", Outcome::Unknown, Cause::Cancelled);
  this->Finish();
}

void EntryCall::Refuse(Outcome aOutcome, Cause aCause, Duration aRetryAfter) {
  if (this->finished) {
    return;
  }
  const std::string organisationName = this->OrganisationName();
  if (this->charged && aOutcome == Outcome::NotRun && this->arrivals == 0) {
    this->service.dependencies.grants.Return(organisationName,
                                             SteadyClock().Now());
  }
  this->context.metrics.CountRefusal(organisationName, this->importance,
                                     aCause);
  this->LogEnd("request refused", aOutcome, aCause);
  const bool comeBack = aOutcome == Outcome::NotRun && this->route != nullptr &&
                        aRetryAfter > Duration::zero();
  HttpResponse response = CallerRefusal(
      aOutcome, aCause,
      comeBack ? std::optional(ComeBackAfter(
                     aRetryAfter, this->Remaining(SteadyClock().Now()),
                     ThreadRandom().Unit()))
               : std::nullopt);
  if (this->failure) {
    // What the target itself said is worth more than our own words.
    response = std::move(*this->failure);
  } else if (!this->requestId.empty()) {
    response.headers.push_back(
        {this->context.headers.requestId, this->requestId});
  }
  this->exchange->Respond(std::move(response));
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

void EntryCall::LogEnd(std::string_view aEvent, Outcome aOutcome,
                       Cause aCause) const {
  Log(LogLevel::Info, aEvent,
      {{"request", this->requestId},
       {"organisation", this->OrganisationName()},
       {"route", this->route == nullptr ? "" : this->route->name},
       {"service", this->chosenService},
       {"outcome", std::string(ToName(aOutcome))},
       {"cause", std::string(ToName(aCause))},
       {"attempts", std::to_string(this->attemptNumber)},
       {"age_ms", Milliseconds(SteadyClock().Now() - this->startedAt)},
       {"left_ms", Milliseconds(this->deadline - SteadyClock().Now())},
       {"config", std::to_string(this->context.config.Version())},
       {"config_age_ms",
        Milliseconds(this->context.config.Age(BootClock::now()))}});
}

}  // namespace fescueline
