#include "Node/TargetHandler.h"

#include <mutex>

#include "Core/Digest.h"

namespace fescueline {

namespace {
constexpr Duration kOverloadRetryAfter = std::chrono::milliseconds(200);

Digest256 ToDigest(std::string_view aBytes) {
  Digest256 digest{};
  std::copy_n(aBytes.begin(), std::min(aBytes.size(), digest.size()),
              digest.begin());
  return digest;
}
}  // namespace

TargetHandler::TargetHandler(Dependencies aDependencies)
    : dependencies(std::move(aDependencies)) {}

PeerServer::Handlers TargetHandler::PeerHandlers() {
  return {.onRequest =
              [this](const PeerServer::SessionPtr& aSession,
                     RequestFrame aFrame, Duration aTransitDelay) {
                this->OnRequest(aSession, std::move(aFrame), aTransitDelay);
              },
          .onCredit =
              [this](const PeerServer::SessionPtr& aSession,
                     const CreditFrame& aFrame) {
                if (const auto attempt = this->Find(aSession, aFrame.stream)) {
                  attempt->AddCredit(aFrame.bytes);
                }
              },
          .onCancel =
              [this](const PeerServer::SessionPtr& aSession, uint64_t aStream) {
                if (const auto attempt = this->Find(aSession, aStream)) {
                  attempt->Cancel();
                }
              },
          .onQuery =
              [this](const PeerServer::SessionPtr& aSession,
                     const AttemptQueryFrame& aFrame) {
                this->OnQuery(aSession, aFrame);
              },
          .onClosed =
              [this](const PeerServer::SessionPtr& aSession) {
                this->OnClosed(aSession);
              },
          .state =
              [this] {
                return this->dependencies.target.ToWire(SteadyClock().Now());
              }};
}

void TargetHandler::OnRequest(const PeerServer::SessionPtr& aSession,
                              RequestFrame aFrame, Duration aTransitDelay) {
  const TimePoint now = SteadyClock().Now();
  const auto context =
      VerifyContext(aFrame.context, this->dependencies.fleetSecret);
  if (!context) {
    this->dependencies.metrics.CountRefusal("", Importance::Normal,
                                            Cause::BadContext);
    SendRefusal(aSession, aFrame, Cause::BadContext);
    return;
  }
  const Cause cause = context->remaining <= aTransitDelay
                          ? Cause::DeadlineExpired
                          : this->Check(*context, now);
  if (cause != Cause::None) {
    SendRefusal(aSession, aFrame, cause);
    return;
  }
  const auto running = std::make_shared<RunningAttempt>(
      *context,
      RunningAttempt::Times{
          .rootStart = now - context->age - aTransitDelay,
          .deadline = now + context->remaining - aTransitDelay},
      aFrame.retries);
  switch (this->dependencies.attempts.Begin(running, now)) {
    case BeginResult::Started:
      break;
    case BeginResult::Duplicate:
      // The other copy may be running or may have run.
      SendRefusal(aSession, aFrame, Cause::Duplicate, Outcome::Unknown);
      return;
    case BeginResult::Tombstoned:
      SendRefusal(aSession, aFrame, Cause::Cancelled);
      return;
    case BeginResult::Full:
      SendRefusal(aSession, aFrame, Cause::Overloaded);
      return;
  }
  const uint64_t stream = aFrame.stream;
  const auto attempt = std::make_shared<InboundAttempt>(
      *this, aSession, std::move(aFrame), running);
  {
    const std::lock_guard lock(this->mutex);
    this->streams[aSession->Number()][stream] = attempt;
  }
  this->open++;
  this->Admit(attempt, now);
}

Cause TargetHandler::Check(const RequestContext& aContext, TimePoint aNow) {
  LocalTarget& target = this->dependencies.target;
  if (aContext.service != target.Service()) {
    return Cause::NoTarget;
  }
  switch (target.State(aNow)) {
    case TargetState::Ready:
      break;
    case TargetState::Draining:
      return Cause::Draining;
    default:
      return Cause::NoTarget;
  }
  return this->CheckAuthority(aContext, aNow);
}

Cause TargetHandler::CheckAuthority(const RequestContext& aContext,
                                    TimePoint aNow) {
  if (aContext.open) {
    return Cause::None;
  }
  if (!this->dependencies.freshness.IsFresh(aNow)) {
    return Cause::StaleKnowledge;
  }
  const auto snapshot = this->dependencies.config.Snapshot();
  const KeyRecord* key = snapshot->FindKey(ToDigest(aContext.keyHash));
  if (key == nullptr) {
    // An unknown key is a newly granted one that has not reached this node yet,
    // unless this node's configuration is at least as recent as that of the
    // entry node.
    return snapshot->Version() >= aContext.configVersion
               ? Cause::UnknownKey
               : Cause::StaleKnowledge;
  }
  if (key->state != KeyState::Active ||
      key->organisation != aContext.organisation) {
    return Cause::UnknownKey;
  }
  const bool shareSuperseded =
      aContext.depth == 0 &&
      this->dependencies.shares.IsSuperseded(aContext.organisation,
                                             aContext.allocationVersion, aNow);
  return shareSuperseded ? Cause::StaleKnowledge : Cause::None;
}

void TargetHandler::Admit(const InboundAttemptPtr& aAttempt, TimePoint aNow) {
  const RequestContext& context = aAttempt->Context();
  const OfferResult result = this->dependencies.target.Offer(
      {.organisation = context.organisation,
       .importance = context.importance,
       .rootId = context.rootId,
       .depth = context.depth,
       .rootStart = aAttempt->Running()->RootStart(),
       .deadline = aAttempt->Running()->Deadline()},
      aAttempt, aNow);
  if (result.enqueued) {
    aAttempt->SetQueued(result.handle);
  } else {
    this->dependencies.metrics.CountRefusal(
        context.organisation, context.importance, result.refusal.cause);
    aAttempt->Refuse(result.refusal.cause, result.refusal.retryAfter);
  }
  this->Pump();
}

void TargetHandler::Pump() {
  LocalTarget::Controller::Batch batch;
  this->dependencies.target.Dispatch(SteadyClock().Now(), batch);
  const std::string url = this->dependencies.target.Url();
  for (auto& started : batch.started) {
    const InboundAttemptPtr attempt = std::move(started.ticket);
    const AdmissionHandle handle = started.handle;
    attempt->Running()->SetCallObserver([this, handle](bool aBegins) {
      if (aBegins) {
        this->dependencies.target.CallStarted(handle);
        this->Pump();
      } else {
        this->dependencies.target.CallEnded(handle);
      }
    });
    attempt->Session()->Post(
        [attempt, handle, url] { attempt->Run(handle, url); });
  }
  for (auto& dropped : batch.dropped) {
    const InboundAttemptPtr attempt = std::move(dropped.ticket);
    const AdmissionRefusal refusal = dropped.refusal;
    this->dependencies.metrics.CountRefusal(attempt->Context().organisation,
                                            attempt->Context().importance,
                                            refusal.cause);
    attempt->Session()->Post([attempt, refusal] {
      attempt->Refuse(refusal.cause, refusal.retryAfter);
    });
  }
}

void TargetHandler::Release(AdmissionHandle aHandle,
                            const AdmissionCompletion& aCompletion) {
  this->dependencies.target.Finished(aHandle, aCompletion, SteadyClock().Now());
  this->Pump();
}

void TargetHandler::CancelQueued(AdmissionHandle aHandle) {
  this->dependencies.target.Cancel(aHandle);
}

std::vector<ThresholdWire> TargetHandler::Thresholds(
    const RequestContext& aContext) {
  return this->dependencies.fleet.Thresholds(
      aContext, this->dependencies.target.ThresholdFor(aContext.organisation),
      SteadyClock().Now());
}

void TargetHandler::OnFinished(InboundAttempt& aAttempt,
                               AttemptResult aResult) {
  const auto waiters = this->dependencies.attempts.Finish(
      aAttempt.Running(), std::move(aResult), SteadyClock().Now());
  std::vector<PeerServer::SessionPtr> sessions;
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->streams.find(aAttempt.Session()->Number());
    if (found != this->streams.end()) {
      found->second.erase(aAttempt.Stream());
      if (found->second.empty()) {
        this->streams.erase(found);
      }
    }
    for (const AttemptWaiter& waiter : waiters) {
      const auto session = this->waitingSessions.find(waiter.connection);
      sessions.push_back(session == this->waitingSessions.end()
                             ? nullptr
                             : session->second.lock());
    }
  }
  const AttemptReply reply =
      this->dependencies.attempts.ReplyOf(aAttempt.Context().attemptId);
  for (size_t i = 0; i < waiters.size(); ++i) {
    if (sessions[i]) {
      sessions[i]->Post([this, session = sessions[i],
                         stream = waiters[i].stream,
                         reply] { this->Reply(session, stream, reply); });
    }
  }
  this->open--;
}

void TargetHandler::OnQuery(const PeerServer::SessionPtr& aSession,
                            const AttemptQueryFrame& aFrame) {
  const auto attempt = Id128::Parse(aFrame.attempt);
  if (!attempt || aFrame.age < 0) {
    throw Error("peer.query", aSession->RemoteNode(),
                "malformed attempt query");
  }
  {
    const std::lock_guard lock(this->mutex);
    this->waitingSessions[aSession->Number()] = aSession;
  }
  const AttemptReply reply = this->dependencies.attempts.Query(
      *attempt, std::chrono::microseconds(aFrame.age), SteadyClock().Now(),
      {.connection = aSession->Number(), .stream = aFrame.stream});
  if (reply.state != AttemptState::Running) {
    this->Reply(aSession, aFrame.stream, reply);
  }
}

void TargetHandler::Reply(const PeerServer::SessionPtr& aSession,
                          uint64_t aStream, const AttemptReply& aReply) {
  if (aReply.state != AttemptState::Finished || !aReply.response) {
    const Outcome outcome =
        aReply.state == AttemptState::NotRun ? Outcome::NotRun : aReply.outcome;
    aSession->Send(AttemptReplyFrame{.stream = aStream,
                                     .outcome = static_cast<uint8_t>(outcome)});
    return;
  }
  const StoredResponse& response = *aReply.response;
  ResponseHeadFrame head{
      .stream = aStream,
      .status = response.status,
      .headers = {},
      .contentLength = static_cast<int64_t>(response.body.size())};
  for (const StoredHeader& header : response.headers) {
    head.headers.push_back({header.name, header.value});
  }
  aSession->Send(head);
  if (!response.body.empty()) {
    aSession->Send(ResponseDataFrame{.stream = aStream, .data = response.body});
  }
  aSession->Send(ResponseEndFrame{.stream = aStream,
                                  .complete = true,
                                  .unspentRetries = 0,
                                  .thresholds = {}});
}

void TargetHandler::OnClosed(const PeerServer::SessionPtr& aSession) {
  Streams open;
  {
    const std::lock_guard lock(this->mutex);
    this->waitingSessions.erase(aSession->Number());
    const auto found = this->streams.find(aSession->Number());
    if (found != this->streams.end()) {
      open = found->second;
    }
  }
  for (const auto& [stream, attempt] : open) {
    attempt->OnSessionClosed();
  }
}

InboundAttemptPtr TargetHandler::Find(const PeerServer::SessionPtr& aSession,
                                      uint64_t aStream) {
  const std::lock_guard lock(this->mutex);
  const auto session = this->streams.find(aSession->Number());
  if (session == this->streams.end()) {
    return nullptr;
  }
  const auto found = session->second.find(aStream);
  return found == session->second.end() ? nullptr : found->second;
}

void TargetHandler::SendRefusal(const PeerServer::SessionPtr& aSession,
                                const RequestFrame& aFrame, Cause aCause,
                                Outcome aOutcome) {
  aSession->Send(
      RefusalFrame{.stream = aFrame.stream,
                   .outcome = static_cast<uint8_t>(aOutcome),
                   .cause = static_cast<uint8_t>(aCause),
                   .retryAfter = static_cast<uint32_t>(
                       std::chrono::duration_cast<std::chrono::milliseconds>(
                           kOverloadRetryAfter)
                           .count()),
                   .unspentRetries = aFrame.retries,
                   .thresholds = {}});
}

}  // namespace fescueline
