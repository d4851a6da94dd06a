#include "Mesh/MeshNode.h"

#include "Log/Log.h"
#include "Mesh/ConfigLog.h"
#include "Mesh/ResourceBounds.h"

namespace fescueline {

namespace {
constexpr Duration kFleetPeriod = std::chrono::milliseconds(500);
constexpr Duration kMaintenancePeriod = std::chrono::milliseconds(300);
constexpr Duration kStopPeriod = std::chrono::milliseconds(50);
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

TargetTableSettings TableSettings(const MeshSettings& aSettings) {
  TargetTableSettings table;
  table.dataCentre = aSettings.dataCentre;
  table.region = aSettings.region;
  table.rampTime = std::chrono::seconds(4);
  return table;
}
}  // namespace

MeshNode::MeshNode(asio::io_context& aIo, MeshSettings aSettings,
                   PlatformBindings aBindings)
    : io(aIo),
      settings(std::move(aSettings)),
      bindings(std::move(aBindings)),
      self({.nodeId = this->settings.node,
            .incarnation = Id128::Generate(),
            .fleetSecret = this->settings.fleetSecret}),
      config(this->bindings.decodeConfig),
      thresholds({}, ThreadRandom().Next()),
      context{.io = this->io,
              .settings = this->settings,
              .headers = this->bindings.headers,
              .config = this->config,
              .metrics = this->metrics,
              .thresholds = this->thresholds,
              .running = this->running},
      target({.service = this->settings.service,
              .reportTimeout = this->settings.reportInterval * 4,
              .drainLimit = this->settings.drainLimit}),
      fleet({.io = this->io,
             .self = this->self,
             .table = TableSettings(this->settings),
             .picker = {},
             .onState =
                 [this](const std::string& aNode, const StateWire& aState) {
                   this->tokens.OnPeerState(aNode, aState.isIssuer);
                   this->replica.OnPeerState(aNode, aState);
                 },
             .onPong =
                 [this](const std::string&, const StateWire& aState,
                        TimePoint aPingSentAt) {
                   this->replica.OnPong(aState, aPingSentAt);
                 },
             .onMessage =
                 [this](const std::string& aNode, const DecodedFrame& aFrame) {
                   this->OnPeerMessage(aNode, aFrame);
                 }}),
      replica(
          {.io = this->io,
           .store = *this->bindings.store,
           .config = this->config,
           .fleet = this->fleet,
           .node = this->self.nodeId,
           .configTable = this->bindings.configTable,
           .configKey = this->bindings.configKey,
           .connectedNodes =
               [this] { return this->peerServer->ConnectedNodes(); },
           .send =
               [this](const std::string& aNode, const PeerSyncFrame& aFrame) {
                 return this->SendToPeer(aNode, aFrame);
               },
           .isPublished = [this] { return this->publisher.IsPublished(); },
           .onConfig =
               [this](const std::string& aStored, std::string_view aSource) {
                 this->ApplyConfig(aStored, aSource);
               },
           .onMembers =
               [this](const std::vector<StoredRow>& aRows, bool aSnapshot) {
                 this->OnFleetRows(aRows, aSnapshot);
               }}),
      tokens({.io = this->io,
              .config = this->config,
              .fleet = this->fleet,
              .target = this->target,
              .store = *this->bindings.store,
              .node = this->self.nodeId,
              .incarnation = this->self.incarnation,
              .connectedNodes =
                  [this] { return this->peerServer->ConnectedNodes(); },
              .onIssuing = [this] { this->peerServer->PushState(); }}),
      targetService(
          {.context = this->context,
           .target = this->target,
           .fleetSecret = this->self.fleetSecret,
           .maxHeldBytes = ResourceBounds(this->settings).TargetBytes()}),
      probe({.io = this->io,
             .target = {asio::ip::make_address(this->settings.target.host),
                        this->settings.target.port},
             .headers = this->bindings.headers,
             .host = this->settings.target.ToString(),
             .onReady =
                 [this](const ProbeResult& aAnswer) {
                   if (this->target.OnProbe(aAnswer.id, aAnswer.slots,
                                            aAnswer.coldFor,
                                            SteadyClock().Now())) {
                     Log(LogLevel::Info, "target ready by a probe",
                         {{"target", aAnswer.id},
                          {"slots", std::to_string(this->target.Slots())}});
                     this->targetService.OnTargetChanged();
                     this->peerServer->PushState();
                   }
                 }}),
      entryService({.context = this->context,
                    .fleet = this->fleet,
                    .grants = this->tokens.Grants(),
                    .fleetSecret = this->self.fleetSecret}),
      publisher({.io = this->io,
                 .store = *this->bindings.store,
                 .table = std::string(kFleetTable),
                 .record = {.node = this->settings.node,
                            .incarnation = this->self.incarnation,
                            .dataCentre = this->settings.dataCentre,
                            .region = this->settings.region,
                            .service = this->settings.service,
                            .peers = this->settings.listenPeers}}),
      stop({.limit = [this] { return this->settings.stopLimit; },
            .isIdle = [this] { return !this->OwesResponses(); },
            .leave =
                [this](std::function<void()> aDone) {
                  this->publisher.Leave(std::move(aDone));
                },
            .refuse = [this] { this->entryService.RefuseNew(); },
            .refuseCalls = [this] { this->entryService.RefuseCalls(); },
            .end = [this] { this->End(); }}) {
  this->Listen();
}

void MeshNode::Listen() {
  const ResourceBounds bounds(this->settings);
  this->peerServer = std::make_unique<PeerServer>(
      PeerServer::Settings{.io = this->io,
                           .self = this->self,
                           .host = this->settings.listenPeers.host,
                           .port = this->settings.listenPeers.port,
                           .sendsStateOnConnect = true,
                           .maxHandshakes = bounds.PeerHandshakes(),
                           .handlers = this->PeerHandlers()});
  this->callers = std::make_unique<LoopHttpServer>(LoopHttpServer::Settings{
      .io = this->io,
      .host = this->settings.listenCallers.host,
      .port = this->settings.listenCallers.port,
      .maxHeldBytes = bounds.CallerBytes(),
      .maxConnections = bounds.CallerConnections(),
      .name = "callers",
      .onRequest =
          [this](HttpExchangePtr aExchange) {
            this->entryService.OnRequest(std::move(aExchange));
          },
      .onShed =
          [this](ShedReason aReason) { this->CountShed("callers", aReason); }});
  const auto listen = [this, &bounds](
                          const SocketAddress& aAddress, const char* aName,
                          std::function<void(HttpExchangePtr)> aHandler) {
    return std::make_unique<LoopHttpServer>(
        LoopHttpServer::Settings{.io = this->io,
                                 .host = aAddress.host,
                                 .port = aAddress.port,
                                 .limits = ResourceBounds::ControlLimits(),
                                 .maxHeldBytes = ResourceBounds::kControlBytes,
                                 .maxConnections = bounds.ControlConnections(),
                                 .name = aName,
                                 .onRequest = std::move(aHandler),
                                 .onShed = [this, aName](ShedReason aReason) {
                                   this->CountShed(aName, aReason);
                                 }});
  };
  this->ready = listen(this->settings.listenReady, "ready",
                       [this](const HttpExchangePtr& aExchange) {
                         this->OnReadyRequest(aExchange);
                       });
  this->reports = listen(
      this->settings.listenReports, "reports",
      [this](const HttpExchangePtr& aExchange) { this->OnReport(aExchange); });
}

void MeshNode::CountShed(std::string_view aListener, ShedReason aReason) {
  this->metrics.CountShed(aListener, ToName(aReason));
}

PeerServer::Handlers MeshNode::PeerHandlers() {
  using Session = PeerServer::SessionPtr;
  return {.onRequest =
              [this](const Session& aSession, RequestFrame aFrame,
                     Duration aTransitDelay) {
                this->targetService.OnRequest(aSession, std::move(aFrame),
                                              aTransitDelay);
              },
          .onCredit =
              [this](const Session& aSession, const CreditFrame& aFrame) {
                this->targetService.OnCredit(aSession, aFrame);
              },
          .onCancel =
              [this](const Session& aSession, uint64_t aStream) {
                this->targetService.OnCancel(aSession, aStream);
              },
          .onQuery =
              [](const Session& aSession, const AttemptQueryFrame& aFrame) {
                aSession->Send(AttemptReplyFrame{
                    .stream = aFrame.stream,
                    .outcome = static_cast<uint8_t>(Outcome::Unknown)});
              },
          .onClosed =
              [this](const Session& aSession) {
                this->targetService.OnClosed(aSession);
              },
          .onReady =
              [this](const Session& aSession) {
                this->fleet.OnPeerUp(aSession->RemoteNode());
                this->replica.OnPeerConnected(aSession->RemoteNode());
              },
          .onMessage =
              [this](const Session& aSession, const DecodedFrame& aFrame) {
                this->OnSessionMessage(aSession, aFrame);
              },
          .state =
              [this] {
                StateWire state = this->targetService.State();
                state.isIssuer = this->tokens.IsIssuing();
                return state;
              },
          .describe =
              [this](const std::string& aNode, StateWire& aState) {
                this->replica.Describe(aNode, aState);
              }};
}

void MeshNode::Start() {
  Log(LogLevel::Info, "node started",
      {{"node", this->self.nodeId},
       {"incarnation", this->self.incarnation.ToString()},
       {"service", this->settings.service}});
  this->peerServer->Start();
  this->callers->Start();
  this->ready->Start();
  this->reports->Start();
  this->replica.Start();
  this->RunEvery(kFleetPeriod, [this] {
    const TimePoint now = SteadyClock().Now();
    this->fleet.Tick(now);
    if (this->target.Expire(now)) {
      Log(LogLevel::Warning, "target silent", {{"target", this->target.Id()}});
      this->targetService.OnTargetChanged();
      this->peerServer->PushState();
    }
  });
  this->RunEvery(kMaintenancePeriod, [this] { this->Maintain(); });
}

void MeshNode::RunEvery(Duration aPeriod, std::function<void()> aFunction) {
  const auto timer = std::make_shared<asio::steady_timer>(this->io, aPeriod);
  timer->async_wait([this, timer, aPeriod, function = std::move(aFunction)](
                        const asio::error_code& aError) {
    if (aError) {
      return;
    }
    // Scheduled first, so that a failure of one run does not end the others.
    this->RunEvery(aPeriod, function);
    function();
  });
}

bool MeshNode::IsReady() const {
  return !this->stop.HasBegun() && this->config.Current() && this->wasFresh;
}

void MeshNode::OnReadyRequest(const HttpExchangePtr& aExchange) {
  const HttpRequest& request = aExchange->Request();
  const std::string_view path = PathOf(request.target);
  if (path == this->bindings.readyPath) {
    const bool isReady = this->IsReady();
    if (isReady != this->lastReady) {
      this->lastReady = isReady;
      Log(LogLevel::Info, isReady ? "node ready" : "node not ready",
          {{"config", std::to_string(this->config.Version())}});
    }
    aExchange->Respond({.status = isReady ? kOk : kUnavailable});
  } else if (path == "/metrics") {
    aExchange->Respond({.status = kOk,
                        .headers = {{"Content-Type", "text/plain"}},
                        .body = this->metrics.Page()});
  } else {
    aExchange->Respond({.status = kNotFound});
  }
}

void MeshNode::OnReport(const HttpExchangePtr& aExchange) {
  const ReportCall call = this->bindings.decodeReport(aExchange->Request());
  const TimePoint now = SteadyClock().Now();
  ReportResult result = ReportResult::Outdated;
  switch (call.kind) {
    case ReportKind::Report:
      result = this->target.OnReport(call.report, now);
      break;
    case ReportKind::Leave:
      result = this->target.OnLeave(call.report.id, call.startedAt, now);
      break;
    case ReportKind::Malformed:
      Log(LogLevel::Warning, "malformed report ignored",
          {{"call", aExchange->Request().target}, {"error", call.problem}});
      aExchange->Respond({.status = kBadRequest});
      return;
    case ReportKind::Unknown:
      aExchange->Respond({.status = kNotFound});
      return;
  }
  if (result == ReportResult::Changed) {
    Log(LogLevel::Info, "target changed",
        {{"target", this->target.Id()},
         {"state", std::string(ToName(this->target.State()))},
         {"slots", std::to_string(this->target.Slots())},
         {"sequence", std::to_string(call.report.sequence)}});
    this->targetService.OnTargetChanged();
    this->peerServer->PushState();
  } else if (result == ReportResult::Unconfirmed) {
    Log(LogLevel::Info, "report not confirmed",
        {{"target", call.report.id},
         {"sequence", std::to_string(call.report.sequence)}});
    this->probe.Renew();
    this->ProbeTarget();
  } else if (result == ReportResult::Outdated) {
    Log(LogLevel::Info, "outdated report ignored",
        {{"target", call.report.id},
         {"sequence", std::to_string(call.report.sequence)}});
  }
  aExchange->Respond(this->bindings.reportAcknowledgement);
}

void MeshNode::ApplyConfig(const std::string& aStored,
                           std::string_view aSource) {
  const MeshConfigPtr before = this->config.Current();
  if (!this->config.Apply(aStored)) {
    return;
  }
  const MeshConfig& now = *this->config.Current();
  LogConfigInForce(before.get(), now, aSource);
  this->callers->SetLimits(now.All().limits);
  this->tokens.ApplyLimits();
  this->targetService.OnConfigChanged();
  this->AnnounceChange();
  this->ProbeTarget();
}

void MeshNode::OnFleetRows(const std::vector<StoredRow>& aRows,
                           bool aSnapshot) {
  bool ownSeen = false;
  for (const StoredRow& row : aRows) {
    if (row.key == this->publisher.Key()) {
      ownSeen = true;
      this->publisher.OnRow(row);
    }
  }
  if (aSnapshot) {
    if (!ownSeen) {
      this->publisher.OnAbsent();
    }
    this->fleet.OnSnapshot(aRows);
  } else {
    this->fleet.OnChanges(aRows);
  }
  this->tokens.OnMembers();
  this->AnnounceChange();
  this->Maintain();
}

void MeshNode::AnnounceChange() {
  this->peerServer->PushStateTo([this](const std::string& aNode) {
    return this->replica.Announces(aNode);
  });
}

bool MeshNode::SendToPeer(const std::string& aNode,
                          const PeerSyncFrame& aFrame) {
  const auto client = this->fleet.ClientOf(aNode);
  if (client && client->IsReady()) {
    client->SendMessage(aFrame);
    return true;
  }
  const auto session = this->peerServer->SessionOf(aNode);
  if (session) {
    session->Send(aFrame);
  }
  return session != nullptr;
}

void MeshNode::OnPeerMessage(const std::string& aNode,
                             const DecodedFrame& aFrame) {
  if (aFrame.type == FrameType::TokenGrant) {
    this->tokens.OnGrant(aFrame.As<TokenGrantFrame>());
  } else if (aFrame.type == FrameType::PeerSync) {
    this->replica.OnFrame(aNode, aFrame.As<PeerSyncFrame>());
  }
}

void MeshNode::OnSessionMessage(const PeerServer::SessionPtr& aSession,
                                const DecodedFrame& aFrame) {
  if (aFrame.type == FrameType::TokenRequest) {
    aSession->Send(this->tokens.Grant(aFrame.As<TokenRequestFrame>()));
  } else if (aFrame.type == FrameType::PeerSync) {
    this->replica.OnFrame(aSession->RemoteNode(), aFrame.As<PeerSyncFrame>());
  }
}

void MeshNode::ProbeTarget() {
  const MeshConfigPtr& now = this->config.Current();
  if (!now || this->stop.HasBegun() || !this->target.NeedsProbe()) {
    return;
  }
  if (const MeshService* service = now->FindService(this->settings.service)) {
    this->probe.Start(service->healthPath);
  }
}

void MeshNode::Maintain() {
  this->ProbeTarget();
  this->replica.Maintain();
  this->wasFresh = this->wasFresh || this->context.IsFresh();
  this->publisher.Tick();
  this->tokens.Maintain();
  this->RemoveUnreachable();
  this->metrics.SetGauge("caller_held_bytes",
                         static_cast<double>(this->callers->Budget().Held()));
  this->metrics.SetGauge("caller_connections",
                         static_cast<double>(this->callers->Connections()));
  this->metrics.SetGauge(
      "target_held_bytes",
      static_cast<double>(this->targetService.Budget().Held()));
  FlushLog();
}

void MeshNode::RemoveUnreachable() {
  if (this->stop.HasBegun()) {
    return;
  }
  for (const StoredRow& row : this->replica.RowsToRemove()) {
    if (row.key == this->publisher.Key()) {
      continue;
    }
    Log(LogLevel::Info, "row of an unreachable node removed",
        {{"key", row.key}, {"row_version", std::to_string(row.version)}});
    this->bindings.store->Write({.table = std::string(kFleetTable),
                                 .key = row.key,
                                 .expected = row.version,
                                 .value = std::nullopt},
                                [](const StoreReply&) {
                                  // On a conflict, another node has changed the
                                  // row; the change arrives with the table.
                                });
  }
}

void MeshNode::Reload(const MeshSettings& aSettings) {
  this->settings.freshnessLimit = aSettings.freshnessLimit;
  this->settings.drainLimit = aSettings.drainLimit;
  this->settings.stopLimit = aSettings.stopLimit;
  Log(LogLevel::Info, "settings reloaded", {{"node", this->settings.node}});
}

void MeshNode::Stop() {
  if (!this->stop.Begin(SteadyClock().Now())) {
    return;
  }
  Log(LogLevel::Info, "node stopping", {{"node", this->self.nodeId}});
  this->targetService.Stop();
  this->peerServer->PushState();
  this->callers->CloseAfterResponses();
  this->tokens.Release();
  this->RunEvery(kStopPeriod, [this] { this->stop.Tick(SteadyClock().Now()); });
}

bool MeshNode::OwesResponses() const {
  return this->entryService.Open() > 0 || this->targetService.Open() > 0 ||
         this->callers->HasUnsentBytes() || this->peerServer->HasUnsentFrames();
}

void MeshNode::End() {
  Log(LogLevel::Info, "node stopped",
      {{"entry_open", std::to_string(this->entryService.Open())},
       {"target_open", std::to_string(this->targetService.Open())}});
  FlushLog();
  this->io.stop();
}

}  // namespace fescueline
