#include "Mesh/TargetService.h"

#include <fmt/format.h>

#include <cmath>
#include <utility>

#include "Core/RandomSource.h"
#include "Log/Log.h"
#include "Mesh/TargetAttempt.h"
#include "Node/ThresholdMessages.h"

namespace fescueline {

namespace {
/// Interval at which the queue is checked when no other event does so.
constexpr Duration kPumpPeriod = std::chrono::milliseconds(10);
constexpr Duration kDrainingRetryAfter = std::chrono::milliseconds(100);
/// Part of the target's slots that is used. Targets slow down when nearly full,
/// and a new connection may occupy a slot briefly.
constexpr double kSlotShare = 0.95;
/// Maximum number of characters of a response's identifier that are logged. The
/// target may send a longer one than any caller.
constexpr size_t kMaxLoggedId = 64;

AdmissionSettings Settings() {
  AdmissionSettings settings;
  // Targets report their slots, so the limit is not derived from latency: the
  // latency of a request includes that of its downstream calls, which this node
  // cannot separate.
  settings.limit.tolerance = 1e9;
  settings.limit.maximum = 100'000;
  settings.limit.initial = 64;
  // A seventh of the shortest observed timeout of downstream calls, so that a
  // queued call still has time to run.
  settings.callQueueTime = std::chrono::milliseconds(100);
  return settings;
}
}  // namespace

TargetService::TargetService(Dependencies aDependencies)
    : dependencies(std::move(aDependencies)),
      budget(std::make_shared<ByteBudget>(this->dependencies.maxHeldBytes)),
      controller(Settings(), ThreadRandom().Next()),
      pool(std::make_unique<ConnectionPool>(ConnectionPool::Settings{
          .io = this->dependencies.context.io,
          .peer = {asio::ip::make_address(
                       this->dependencies.context.settings.target.host),
                   this->dependencies.context.settings.target.port},
          .onUnsolicited =
              [this] {
                this->ReportFault(
                    {.fault = ResponseFault::Unsolicited, .usedBefore = true});
              }})),
      pumpTimer(this->dependencies.context.io) {}

void TargetService::OnTargetChanged() {
  const std::string& id = this->dependencies.target.Id();
  if (id != this->poolTarget) {
    this->pool->Clear();
    this->poolTarget = id;
    this->failures = {};
  }
  this->ApplyBounds();
}

void TargetService::ReportFault(const FaultReport& aReport) {
  const std::string_view fault = ToName(aReport.fault);
  this->dependencies.context.metrics.CountResponseFault(fault);
  Log(LogLevel::Warning, "response does not match",
      {{"fault", std::string(fault)},
       {"request", std::string(aReport.request)},
       {"answered", std::string(aReport.answered.substr(0, kMaxLoggedId))},
       {"status",
        aReport.status == 0 ? std::string() : std::to_string(aReport.status)},
       {"target", this->dependencies.target.Id()},
       {"used_before", aReport.usedBefore ? "yes" : "no"}});
}

void TargetService::ApplyBounds() {
  const LocalTargetState& target = this->dependencies.target;
  const MeshService* service = this->Service();
  std::optional<uint32_t> connections;
  if (service != nullptr && service->maxConnections > 0) {
    connections = service->maxConnections;
  }
  if (target.Slots() > 0) {
    this->controller.Core().SetDeclaredLimits(
        std::max(1U, static_cast<uint32_t>(target.Slots() * kSlotShare)),
        connections);
  }
  this->Pump();
}

const MeshService* TargetService::Service() const {
  const MeshConfigPtr& config = this->dependencies.context.config.Current();
  return config ? config->FindService(this->dependencies.target.Service())
                : nullptr;
}

void TargetService::ApplyColdRate(TimePoint aNow) {
  const bool cold = this->dependencies.target.IsCold(aNow);
  if (!cold && this->coldRate == 0) {
    return;
  }
  const MeshService* service = cold ? this->Service() : nullptr;
  const double rate = service != nullptr ? service->coldRate : 0;
  if (rate == this->coldRate) {
    return;
  }
  this->coldRate = rate;
  this->controller.Core().SetStartRate(rate, aNow);
  Log(LogLevel::Info, rate > 0 ? "target cold" : "target warm",
      {{"target", this->dependencies.target.Id()},
       {"starts_per_second", fmt::format("{:.1f}", rate)}});
}

void TargetService::Stop() { this->stopping = true; }

StateWire TargetService::State() const {
  const LocalTargetState& target = this->dependencies.target;
  const TargetState state =
      this->stopping && target.State() == TargetState::Ready
          ? TargetState::Draining
          : target.State();
  const auto& core = this->controller.Core();
  const MeshContext& context = this->dependencies.context;
  const Duration age = context.config.Age(BootClock::now());
  return {.service = target.Service(),
          .state = static_cast<uint8_t>(state),
          .load = static_cast<uint32_t>(core.Queued()) + core.InFlight(),
          .limit = core.UsableSlots(),
          .thresholds = {},
          .configVersion = context.config.Version(),
          .configAge =
              age == Duration::max()
                  ? -1
                  : std::chrono::duration_cast<std::chrono::microseconds>(age)
                        .count(),
          .failureRate = static_cast<uint32_t>(std::lround(
              this->failures.Value() * StateWire::kFailureRateUnits))};
}

Cause TargetService::Check(const RequestContext& aContext,
                           TimePoint aNow) const {
  const MeshContext& context = this->dependencies.context;
  if (aContext.service != this->dependencies.target.Service()) {
    return Cause::NoTarget;
  }
  if (!this->dependencies.target.AcceptsRequests(aNow)) {
    return Cause::Draining;
  }
  if (aContext.open) {
    return Cause::None;
  }
  if (!context.IsFresh()) {
    return Cause::StaleKnowledge;
  }
  const MeshConfigPtr& config = context.config.Current();
  const MeshOrganisation* organisation =
      config->FindByKeyHash(aContext.keyHash);
  if (organisation == nullptr) {
    // If the configuration of this node is older than that of the entry node,
    // it may not contain the key yet.
    return config->Version() >= aContext.configVersion ? Cause::UnknownKey
                                                       : Cause::StaleKnowledge;
  }
  return organisation->name == aContext.organisation ? Cause::None
                                                     : Cause::UnknownKey;
}

void TargetService::OnRequest(const PeerServer::SessionPtr& aSession,
                              RequestFrame aFrame, Duration aTransitDelay) {
  const TimePoint now = SteadyClock().Now();
  auto context = VerifyContext(aFrame.context, this->dependencies.fleetSecret);
  if (!context) {
    throw Error("peer.request", aSession->RemoteNode(),
                "request without a valid context");
  }
  if (this->Find(aSession, aFrame.stream)) {
    throw Error("peer.request", aSession->RemoteNode(),
                "stream number already in use");
  }
  const TimePoint deadline = now + context->remaining - aTransitDelay;
  const auto attempt = std::make_shared<TargetAttempt>(
      *this, aSession, std::move(aFrame), std::move(*context), deadline);
  this->attempts[aSession->Number()][attempt->Stream()] = attempt;
  ++this->open;
  Cause cause = this->Check(attempt->Context(), now);
  if (cause == Cause::None &&
      (this->stopping ||
       this->dependencies.target.State() != TargetState::Ready)) {
    cause = Cause::Draining;
  }
  // Small requests may use all of the budget, so that bodies that the target is
  // slow to read do not block them.
  const bool isLarge = ByteBudget::IsLarge(attempt->HeldSize());
  if (cause == Cause::None && (isLarge ? this->budget->IsExceededForLarge()
                                       : this->budget->IsExceeded())) {
    cause = Cause::Overloaded;
  }
  if (cause != Cause::None) {
    attempt->Refuse(cause, kDrainingRetryAfter);
    return;
  }
  const RequestContext& known = attempt->Context();
  const OfferResult result =
      this->controller.Offer({.organisation = known.organisation,
                              .importance = known.importance,
                              .rootId = known.rootId,
                              .depth = known.depth,
                              .rootStart = now - known.age,
                              .deadline = deadline},
                             AttemptPtr(attempt), now);
  if (!result.enqueued) {
    attempt->Refuse(result.refusal.cause, result.refusal.retryAfter);
    this->Pump();
    return;
  }
  attempt->SetQueued(result.handle);
  this->Pump();
}

void TargetService::Pump() {
  if (this->pumping) {
    this->pumpAgain = true;
    return;
  }
  this->pumping = true;
  do {
    this->pumpAgain = false;
    const TimePoint now = SteadyClock().Now();
    this->ApplyColdRate(now);
    Controller::Batch batch;
    this->controller.Dispatch(now, batch);
    for (auto& started : batch.started) {
      started.ticket->Run(started.handle);
    }
    for (auto& dropped : batch.dropped) {
      dropped.ticket->Refuse(dropped.refusal.cause, dropped.refusal.retryAfter);
    }
  } while (this->pumpAgain);
  this->pumping = false;
  this->SchedulePump();
}

void TargetService::SchedulePump() {
  if (this->pumpScheduled || this->controller.Core().Queued() == 0) {
    return;
  }
  this->pumpScheduled = true;
  this->pumpTimer.expires_after(kPumpPeriod);
  this->pumpTimer.async_wait([this](const asio::error_code& aError) {
    this->pumpScheduled = false;
    if (!aError) {
      this->Pump();
    }
  });
}

void TargetService::SchedulePumpNow() {
  if (this->controller.Core().Queued() > 0) {
    asio::post(this->dependencies.context.io, [this] { this->Pump(); });
  }
}

std::vector<ThresholdWire> TargetService::Thresholds(
    const RequestContext& aContext) {
  return ReportThresholds(
      this->dependencies.context.thresholds,
      {.service = aContext.service,
       .organisation = aContext.organisation,
       .threshold = this->controller.Core().ThresholdFor(aContext.organisation),
       .age = Duration(0)},
      aContext.route, SteadyClock().Now());
}

TargetService::AttemptPtr TargetService::Find(
    const PeerServer::SessionPtr& aSession, uint64_t aStream) {
  const auto session = this->attempts.find(aSession->Number());
  if (session == this->attempts.end()) {
    return nullptr;
  }
  const auto found = session->second.find(aStream);
  return found == session->second.end() ? nullptr : found->second;
}

void TargetService::Remove(const TargetAttempt& aAttempt) {
  const auto session = this->attempts.find(aAttempt.Session()->Number());
  if (session != this->attempts.end()) {
    session->second.erase(aAttempt.Stream());
    if (session->second.empty()) {
      this->attempts.erase(session);
    }
  }
  --this->open;
}

void TargetService::OnCredit(const PeerServer::SessionPtr& aSession,
                             const CreditFrame& aFrame) {
  if (const AttemptPtr attempt = this->Find(aSession, aFrame.stream)) {
    attempt->AddCredit(aFrame.bytes);
  }
}

void TargetService::OnCancel(const PeerServer::SessionPtr& aSession,
                             uint64_t aStream) {
  if (const AttemptPtr attempt = this->Find(aSession, aStream)) {
    attempt->Abandon("cancelled by the entry node");
  }
}

void TargetService::OnClosed(const PeerServer::SessionPtr& aSession) {
  const auto session = this->attempts.find(aSession->Number());
  if (session == this->attempts.end()) {
    return;
  }
  const auto open = session->second;
  for (const auto& [stream, attempt] : open) {
    attempt->Abandon("connection to the entry node lost");
  }
}

}  // namespace fescueline
