#include "Node/EntryHandler.h"

#include "Core/Digest.h"
#include "Core/RandomSource.h"
#include "Node/Headers.h"
#include "Node/KeyScan.h"

namespace fescueline {

namespace {
constexpr Duration kRetryAfterRate = std::chrono::milliseconds(1000);
constexpr Duration kRetryAfterOverload = std::chrono::milliseconds(500);
constexpr Duration kRetryAfterStale = std::chrono::milliseconds(1000);
constexpr size_t kMaxIdempotencyKey = 256;
}  // namespace

/// A request that has not been forwarded yet.
struct EntryHandler::Pending {
  HttpExchangePtr exchange;
  /// Attempt at the local target that makes the call; null if there is none.
  RunningAttemptPtr parent;
  Origin origin = Origin::Caller;
  std::shared_ptr<const ConfigSnapshot> snapshot;
  RequestContext context;
  RequestPolicy policy;
  HttpHeaders headers;
  TimePoint startedAt;
  TimePoint deadline;
  /// Idempotency-Key that is claimed; empty if none.
  std::string idempotencyKey;
  /// Key sent with the request; cleared after it has been checked.
  std::string key;
};

EntryHandler::EntryHandler(Dependencies aDependencies)
    : dependencies(std::move(aDependencies)) {}

void EntryHandler::OnCaller(HttpExchangePtr aExchange) {
  this->Begin(std::move(aExchange), nullptr, Origin::Caller);
}

void EntryHandler::OnLocalTarget(HttpExchangePtr aExchange) {
  const auto token = FindHeader(aExchange->Request().headers, kContextHeader);
  if (!token) {
    this->Begin(std::move(aExchange), nullptr, Origin::Target);
    return;
  }
  const auto context = VerifyContext(*token, this->dependencies.fleetSecret);
  if (!context) {
    aExchange->Respond(ToResponse(
        {.cause = Cause::BadContext, .detail = std::string(kContextHeader)}));
    return;
  }
  const auto parent = this->dependencies.attempts.Find(context->attemptId);
  if (!parent) {
    aExchange->Respond(ToResponse(
        {.cause = Cause::Cancelled, .detail = "the attempt has ended"}));
    return;
  }
  this->Begin(std::move(aExchange), parent, Origin::Target);
}

void EntryHandler::Begin(HttpExchangePtr aExchange, RunningAttemptPtr aParent,
                         Origin aOrigin) {
  this->open++;
  const auto pending = std::make_shared<Pending>();
  pending->exchange = std::move(aExchange);
  pending->parent = std::move(aParent);
  pending->origin = aOrigin;
  pending->snapshot = this->dependencies.config.Snapshot();
  pending->startedAt = SteadyClock().Now();
  if (!this->accepting && !pending->parent) {
    this->Refuse(*pending, {.cause = Cause::Draining,
                            .retryAfter = WithJitter(kRetryAfterOverload)});
    return;
  }
  this->Route(pending);
}

void EntryHandler::Route(const PendingPtr& aPending) {
  Pending& pending = *aPending;
  HttpRequest& request = pending.exchange->Request();
  const auto* route =
      pending.snapshot->FindRoute(request.method, PathOf(request.target));
  if (route == nullptr) {
    this->Refuse(pending, {.cause = Cause::NoRoute});
    return;
  }
  pending.context.route = route->name;
  pending.context.service = route->record.service;
  pending.context.configVersion = pending.snapshot->Version();
  const bool ok = pending.parent ? this->InheritContext(pending)
                                 : this->Authenticate(pending);
  if (!ok) {
    return;
  }
  pending.policy = pending.snapshot->ResolvePolicy(
      {.route = route,
       .method = request.method,
       .organisation = pending.context.organisation});
  pending.context.idempotent = pending.policy.idempotent;
  pending.context.open = pending.policy.open;
  if (!pending.parent) {
    pending.context.importance = pending.policy.importance;
    if (pending.origin == Origin::Target) {
      pending.policy.retries = 0;
    }
    pending.deadline = pending.startedAt + pending.policy.deadline;
  }
  if (!pending.policy.open) {
    if (pending.context.organisation.empty()) {
      this->Refuse(pending, {.cause = pending.key.empty() ? Cause::NoKey
                                                          : Cause::UnknownKey});
      return;
    }
    if (!this->dependencies.freshness.IsFresh(pending.startedAt)) {
      this->Refuse(pending, {.cause = Cause::StaleKnowledge,
                             .retryAfter = WithJitter(kRetryAfterStale)});
      return;
    }
  }
  pending.headers = request.headers;
  StripForTarget(pending.headers);
  const KeyScan scan(pending.key);
  if (const auto field = scan.FindIn(request)) {
    this->Refuse(pending, {.cause = Cause::BadRequest,
                           .detail = *field + ": contains a key"});
    return;
  }
  scan.RemoveFrom(pending.headers);
  pending.key.clear();
  if (pending.parent) {
    this->Forward(aPending);
    return;
  }
  if (this->dependencies.fleet.ShouldRefuse(pending.context,
                                            pending.startedAt)) {
    this->Refuse(pending, {.cause = Cause::Overloaded,
                           .retryAfter = WithJitter(kRetryAfterOverload)});
    return;
  }
  this->AdmitByRate(aPending);
}

bool EntryHandler::Authenticate(Pending& aPending) {
  const HttpHeaders& headers = aPending.exchange->Request().headers;
  const PresentedKey presented = FindPresentedKey(headers);
  if (!presented.error.empty()) {
    this->Refuse(aPending,
                 {.cause = Cause::BadRequest, .detail = presented.error});
    return false;
  }
  aPending.key = presented.key;
  aPending.context.rootId = Id128::Generate();
  // A call of the target without a context starts a new root request without an
  // organisation.
  if (!presented.key.empty() && aPending.origin == Origin::Caller) {
    const Digest256 hash = Sha256(presented.key);
    const KeyRecord* record = aPending.snapshot->FindKey(hash);
    // Granting a key while its organisation is being deleted can leave a key
    // without an organisation.
    if (record != nullptr && record->state == KeyState::Active &&
        aPending.snapshot->FindOrganisation(record->organisation) != nullptr) {
      aPending.context.organisation = record->organisation;
      aPending.context.keyHash = AsBytes(hash);
    }
  }
  return true;
}

bool EntryHandler::InheritContext(Pending& aPending) {
  const RequestContext& parent = aPending.parent->Context();
  aPending.context.organisation = parent.organisation;
  aPending.context.keyHash = parent.keyHash;
  aPending.context.rootId = parent.rootId;
  aPending.context.importance = parent.importance;
  aPending.context.allocationVersion = parent.allocationVersion;
  aPending.context.depth = parent.depth + 1;
  aPending.deadline = aPending.parent->Deadline();
  return true;
}

void EntryHandler::AdmitByRate(const PendingPtr& aPending) {
  if (aPending->context.organisation.empty()) {
    this->Forward(aPending);
    return;
  }
  const TimePoint now = SteadyClock().Now();
  this->dependencies.shares.Admit(
      aPending->context.organisation, now,
      std::min(now + this->dependencies.shareWait, aPending->deadline),
      [this, aPending](std::optional<uint64_t> aVersion) {
        if (!aVersion) {
          this->Refuse(*aPending, {.cause = Cause::RateExceeded,
                                   .retryAfter = WithJitter(kRetryAfterRate)});
          return;
        }
        aPending->context.allocationVersion = *aVersion;
        this->Claim(aPending);
      });
}

void EntryHandler::Claim(const PendingPtr& aPending) {
  const auto key =
      FindHeader(aPending->exchange->Request().headers, kIdempotencyHeader);
  if (!key || key->empty() || aPending->context.idempotent) {
    this->Forward(aPending);
    return;
  }
  if (key->size() > kMaxIdempotencyKey) {
    this->Refuse(*aPending, {.cause = Cause::BadRequest,
                             .detail = "idempotency-key: too long"});
    return;
  }
  aPending->idempotencyKey = *key;
  this->dependencies.claims.Claim(
      aPending->context.organisation, aPending->idempotencyKey,
      aPending->context.rootId,
      [this, aPending](IdempotencyClaims::Result aResult) {
        using Result = IdempotencyClaims::Result;
        if (aResult == Result::Claimed) {
          this->Forward(aPending);
          return;
        }
        // The first request with the key may have run; this one has not.
        const bool duplicate = aResult == Result::Duplicate;
        this->Refuse(
            *aPending,
            {.outcome = duplicate ? Outcome::Unknown : Outcome::NotRun,
             .cause = duplicate ? Cause::Duplicate : Cause::StoreUnavailable,
             .retryAfter =
                 duplicate ? Duration(0) : WithJitter(kRetryAfterStale)});
      });
}

void EntryHandler::Forward(const PendingPtr& aPending) {
  Pending& pending = *aPending;
  const RunningAttemptPtr budget =
      pending.parent ? pending.parent
                     : std::make_shared<RunningAttempt>(
                           pending.context,
                           RunningAttempt::Times{.rootStart = pending.startedAt,
                                                 .deadline = pending.deadline},
                           pending.policy.retries);
  const auto callNumber = std::make_shared<uint64_t>(0);
  const auto call = std::make_shared<ForwardCall>(ForwardCall::Settings{
      .io = this->dependencies.io,
      .fleet = this->dependencies.fleet,
      .peers = this->dependencies.peers,
      .metrics = this->dependencies.metrics,
      .fleetSecret = this->dependencies.fleetSecret,
      .exchange = pending.exchange,
      .context = pending.context,
      // Thresholds of a call are recorded for the route of the request that
      // made it.
      .pathRoute = pending.parent ? pending.parent->Context().route
                                  : pending.context.route,
      .headers = std::move(pending.headers),
      .deadline = pending.deadline,
      .budget = budget,
      .onEnd =
          [this, aPending, budget,
           callNumber](const ForwardCall::Result& aResult) {
            budget->EndCall(*callNumber, SteadyClock().Now());
            const bool notRun = aResult.status == 0 &&
                                aResult.refusal.outcome == Outcome::NotRun;
            if (notRun && !aPending->idempotencyKey.empty()) {
              this->dependencies.claims.Release(aPending->context.organisation,
                                                aPending->idempotencyKey,
                                                aPending->context.rootId);
            }
          },
      .onSent = [this] { this->open--; }});
  *callNumber = budget->BeginCall(
      [weak = std::weak_ptr(call)] {
        if (const auto running = weak.lock()) {
          running->Abort();
        }
      },
      SteadyClock().Now());
  if (*callNumber == 0) {
    this->Refuse(pending, {.cause = Cause::Cancelled,
                           .detail = "the attempt has ended"});
    return;
  }
  call->Start();
}

void EntryHandler::Refuse(Pending& aPending, const Refusal& aRefusal) {
  this->dependencies.metrics.CountRefusal(aPending.context.organisation,
                                          aPending.context.importance,
                                          aRefusal.cause);
  aPending.exchange->Respond(ToResponse(aRefusal), [this] { this->open--; });
}

}  // namespace fescueline
