#include "Node/Node.h"

#include <algorithm>

#include "Log/Log.h"
#include "Node/NodeOptions.h"
#include "Node/TableReadRule.h"
#include "Node/TargetAnnouncements.h"
#include "Platform/HttpTableStore.h"
#include "Transport/EventLoop.h"

namespace fescueline {

namespace {
constexpr Duration kPumpPeriod = std::chrono::milliseconds(10);
constexpr Duration kAcceptancePeriod = std::chrono::milliseconds(100);
constexpr Duration kGossipPeriod = std::chrono::milliseconds(250);
constexpr Duration kFleetPeriod = std::chrono::milliseconds(500);
constexpr Duration kMaintenancePeriod = std::chrono::milliseconds(500);
constexpr Duration kExpiryPeriod = std::chrono::milliseconds(500);
/// Allows six pulls within the 30 s after which an unresponsive member is
/// removed.
constexpr Duration kWatchPeriod = std::chrono::seconds(5);
constexpr Duration kIdlePoll = std::chrono::milliseconds(20);
/// Time to send the last responses and returned shares before the shutdown.
constexpr Duration kFinalSendTime = std::chrono::milliseconds(200);
/// Time limit for handlers that remain after the workers have ended.
constexpr Duration kFinalHandlerTime = std::chrono::milliseconds(500);
constexpr const char* kConfigTable = "config";
constexpr const char* kClaimsTable = "claims";

EmbeddedTables WithDefaults(EmbeddedTables aTables) {
  if (!aTables.config) {
    aTables.config = std::make_shared<MemoryTableStore>();
  }
  if (!aTables.claims) {
    aTables.claims = std::make_shared<MemoryTableStore>();
  }
  return aTables;
}
}  // namespace

Node::Node(NodeSettings aSettings, EmbeddedTables aTables)
    : settings(std::move(aSettings)),
      self(IdentityOf(this->settings)),
      io(static_cast<int>(this->settings.workers)),
      work(asio::make_work_guard(this->io)),
      tables(WithDefaults(std::move(aTables))),
      freshness(this->settings.freshnessLimit, SteadyClock().Now()),
      sync(this->config, this->freshness,
           [this](const std::shared_ptr<const ConfigSnapshot>& aSnapshot,
                  TimePoint aOldUsableUntil) {
             this->OnConfig(aSnapshot, aOldUsableUntil);
           }),
      readTable(this->MakeTable(kConfigTable)),
      writeTable(this->MakeTable(kConfigTable)),
      claims(this->MakeTable(kClaimsTable), this->MakeTable(kClaimsTable)),
      target(AdmissionOf(this->settings), ThreadRandom().Next()),
      attempts(AttemptsOf(this->settings)),
      fleet(FleetOf(this->settings)),
      peers(this->io, this->self,
            {.onState =
                 [this](const std::string& aNode, const std::string&,
                        const StateWire& aState) {
                   this->fleet.OnState(aNode, aState, SteadyClock().Now());
                 },
             .onClosed =
                 [this](const std::string& aNode, const std::string& aReason) {
                   if (this->fleet.OnUnreachable(aNode)) {
                     Log(LogLevel::Warning, "peer lost",
                         {{"node", aNode}, {"reason", aReason}});
                   }
                 }}),
      shares(
          {.node = this->self.nodeId, .incarnation = this->self.incarnation},
          ShareSettings{},
          [this](const ShareMessage& aMessage) { this->SendShare(aMessage); }),
      targetHandler({.fleetSecret = this->self.fleetSecret,
                     .config = this->config,
                     .freshness = this->freshness,
                     .shares = this->shares,
                     .target = this->target,
                     .attempts = this->attempts,
                     .fleet = this->fleet,
                     .client = this->http,
                     .metrics = this->metrics}),
      entryHandler({.io = this->io,
                    .fleetSecret = this->self.fleetSecret,
                    .config = this->config,
                    .freshness = this->freshness,
                    .shares = this->shares,
                    .attempts = this->attempts,
                    .fleet = this->fleet,
                    .peers = this->peers,
                    .metrics = this->metrics,
                    .claims = this->claims,
                    .shareWait = this->settings.shareWait}),
      gossip({.self = this->self,
              .config = this->config,
              .freshness = this->freshness,
              .sync = this->sync,
              .send =
                  [this](const std::string& aUrl, ControlKind aKind,
                         const std::string& aPayload) {
                    return this->SendControl(aUrl, aKind, aPayload);
                  },
              .freshnessLimit = this->settings.freshnessLimit,
              .seeds = ControlUrls(this->settings.seeds)}) {
  this->Listen();
}

Node::~Node() {
  if (!this->stopped) {
    this->Shutdown();
  }
}

TableClient Node::MakeTable(const std::string& aTable) const {
  if (this->settings.IsTableEmbedded()) {
    return TableClient(aTable == kClaimsTable ? this->tables.claims
                                              : this->tables.config);
  }
  return TableClient(std::make_shared<HttpTableStore>(HttpTableStore::Options{
      .http = {.baseUrl = this->settings.table}, .table = aTable}));
}

void Node::Listen() {
  this->peerServer = std::make_unique<PeerServer>(
      PeerServer::Settings{.io = this->io,
                           .self = this->self,
                           .host = this->settings.listenPeers.host,
                           .port = this->settings.listenPeers.port,
                           .handlers = this->targetHandler.PeerHandlers()});
  const SocketAddress peers =
      Advertised(this->settings.advertisePeers, this->peerServer->Port());
  const SocketAddress& controlAddress = this->settings.advertiseControl;
  this->control = std::make_unique<ControlSocket>(ControlSocket::Settings{
      .self = this->self,
      .listenUrl = "tcp://" + this->settings.listenControl.ToString(),
      .advertiseUrl =
          controlAddress.port == 0 ? "" : "tcp://" + controlAddress.ToString(),
      .onMessage = [this](const ControlMessage& aMessage) {
        asio::post(this->io, [this, aMessage] { this->OnControl(aMessage); });
      }});
  constexpr std::string_view kScheme = "tcp://";
  this->maintenance =
      std::make_unique<FleetMaintenance>(FleetMaintenance::Settings{
          .self = this->self,
          .member = {.incarnation = this->self.incarnation,
                     .dataCentre = this->settings.dataCentre,
                     .region = this->settings.region,
                     .service = "",
                     .peerAddress = peers.ToString(),
                     .controlAddress =
                         this->control->Url().substr(kScheme.size())},
          .config = this->config,
          .freshness = this->freshness,
          .gossip = this->gossip,
          .shares = this->shares,
          .table = this->writeTable,
          .refresh = [this] {
            this->sync.ReadTable([this](uint64_t aVersion, size_t aLimit) {
              return this->writeTable.ChangesSince(aVersion, aLimit);
            });
          }});
  this->status = std::make_unique<NodeStatus>(
      NodeStatus::Dependencies{.self = this->self,
                               .config = this->config,
                               .freshness = this->freshness,
                               .maintenance = *this->maintenance,
                               .target = this->target,
                               .fleet = this->fleet,
                               .control = *this->control,
                               .metrics = this->metrics,
                               .stopping = this->stopping});
  this->adminApi = std::make_unique<AdminApi>(AdminApi::Dependencies{
      .credential = this->settings.operatorCredential,
      .config = this->config,
      .gossip = this->gossip,
      .metrics = this->metrics,
      .makeTable = [this] { return this->MakeTable(kConfigTable); },
      .refresh = [this](TableClient& aTable) { this->Refresh(aTable); },
      .isReady = [this] { return this->IsReady(); },
      .notReadyReason = [this] { return this->status->NotReadyReason(); },
      .status = [this] { return this->status->ToJson(); }});
  this->callers = std::make_unique<HttpServer>(
      HttpServer::Settings{.io = this->io,
                           .host = this->settings.listenCallers.host,
                           .port = this->settings.listenCallers.port,
                           .maxBody = this->settings.maxBody,
                           .onRequest = [this](HttpExchangePtr aExchange) {
                             this->entryHandler.OnCaller(std::move(aExchange));
                           }});
  this->localTarget = std::make_unique<HttpServer>(HttpServer::Settings{
      .io = this->io,
      .host = this->settings.listenTarget.host,
      .port = this->settings.listenTarget.port,
      .maxBody = this->settings.maxBody,
      .onRequest = [this](const HttpExchangePtr& aExchange) {
        this->OnLocalRequest(aExchange);
      }});
  this->admin = std::make_unique<HttpServer>(HttpServer::Settings{
      .io = this->io,
      .host = this->settings.listenAdmin.host,
      .port = this->settings.listenAdmin.port,
      .onRequest = [this](const HttpExchangePtr& aExchange) {
        this->adminApi->Handle(aExchange);
      }});
}

void Node::Start() {
  this->peerServer->Start();
  this->RunEvery(kPumpPeriod, [this] {
    if (this->target.Expire(SteadyClock().Now())) {
      Log(LogLevel::Warning, "target gone",
          {{"service", this->target.Service()}});
      this->peerServer->PushState();
    }
    this->targetHandler.Pump();
    this->shares.Tick(SteadyClock().Now());
  });
  this->RunEvery(kAcceptancePeriod,
                 [this] { this->gossip.TickAcceptance(SteadyClock().Now()); });
  this->RunEvery(kGossipPeriod,
                 [this] { this->gossip.Tick(SteadyClock().Now()); });
  this->RunEvery(kFleetPeriod, [this] {
    this->fleet.Tick(SteadyClock().Now());
    this->ConnectPeers();
    this->status->PublishGauges();
    FlushLog();
  });
  this->RunEvery(kWatchPeriod, [this] { this->Watch(); });
  this->RunEvery(kExpiryPeriod,
                 [this] { this->attempts.Expire(SteadyClock().Now()); });
  this->RunEvery(this->settings.refreshInterval, [this] { this->ReadTable(); });
  this->RunEvery(kMaintenancePeriod, [this] { this->Maintain(); });
  for (uint64_t i = 0; i < this->settings.workers; ++i) {
    this->workers.emplace_back([this] {
      RunEventLoop(this->io, [this](const std::exception&) {
        this->metrics.CountHandlerFailure();
      });
    });
  }
  Log(LogLevel::Info, "node started",
      {{"node", this->self.nodeId},
       {"incarnation", this->self.incarnation.ToString()}});
}

void Node::RunEvery(Duration aPeriod, std::function<void()> aFunction) {
  const auto timer = std::make_shared<asio::steady_timer>(this->io);
  // The function rearms its own timer, so it needs a reference to itself.
  const auto tick = std::make_shared<std::function<void()>>();
  *tick = [this, timer, aPeriod, function = std::move(aFunction),
           weak = std::weak_ptr(tick)] {
    if (this->stopping) {
      return;
    }
    function();
    timer->expires_after(aPeriod);
    timer->async_wait([next = weak.lock()](const asio::error_code& aError) {
      if (!aError && next) {
        (*next)();
      }
    });
  };
  asio::post(this->io, [tick] { (*tick)(); });
}

void Node::OnConfig(const std::shared_ptr<const ConfigSnapshot>& aSnapshot,
                    TimePoint aOldUsableUntil) {
  const TimePoint now = SteadyClock().Now();
  this->fleet.UpdateMembers(aSnapshot);
  for (const auto& organisation : aSnapshot->Organisations().Items()) {
    this->target.SetWeight(organisation->name, organisation->record.weight);
    if (const auto* allocation =
            aSnapshot->FindAllocation(organisation->name)) {
      this->shares.Install(organisation->name,
                           AllocationOf(*allocation, organisation->record),
                           aOldUsableUntil, now);
    }
  }
  this->shares.Retain(*aSnapshot);
  if (this->lastSnapshot) {
    for (const auto& member : this->lastSnapshot->Members().Items()) {
      const auto* now = aSnapshot->Members().Find(member->name);
      if (now == nullptr ||
          now->record.incarnation != member->record.incarnation) {
        this->shares.OnHolderEnded(member->record.incarnation);
      }
    }
  }
  this->lastSnapshot = aSnapshot;
}

void Node::OnControl(const ControlMessage& aMessage) {
  const TimePoint now = SteadyClock().Now();
  const auto kind = static_cast<ControlKind>(aMessage.kind);
  if (kind < ControlKind::ShareRequest) {
    this->gossip.Receive(aMessage, now);
  } else if (const auto share = DecodeShare(kind, aMessage.payload)) {
    this->shares.Receive(*share, now);
  }
}

void Node::SendShare(const ShareMessage& aMessage) {
  if (aMessage.to == this->self.nodeId) {
    asio::post(this->io, [this, aMessage] {
      this->shares.Receive(aMessage, SteadyClock().Now());
    });
    return;
  }
  const std::string url = ControlUrlOf(*this->config.Snapshot(), aMessage.to);
  if (!url.empty()) {
    this->SendControl(url, KindOf(aMessage), EncodeShare(aMessage));
  }
}

bool Node::SendControl(const std::string& aUrl, ControlKind aKind,
                       const std::string& aPayload) {
  return this->control &&
         this->control->Send(aUrl, static_cast<uint8_t>(aKind), aPayload);
}

void Node::OnLocalRequest(HttpExchangePtr aExchange) {
  const HttpRequest& request = aExchange->Request();
  if (request.target != kAnnouncePath) {
    this->entryHandler.OnLocalTarget(std::move(aExchange));
    return;
  }
  const AnnouncementResult result =
      ParseAnnouncement(request.method, request.body);
  if (!result.announcement) {
    aExchange->Respond(
        {.status = 400, .headers = {}, .body = result.error + "\n"});
    return;
  }
  if (this->target.Announce(*result.announcement, SteadyClock().Now())) {
    Log(LogLevel::Info, "target changed",
        {{"service", result.announcement->service},
         {"state", std::string(ToName(result.announcement->state))}});
    this->maintenance->SetService(result.announcement->service);
    this->peerServer->PushState();
  }
  aExchange->Respond({.status = 204, .headers = {}, .body = {}});
}

void Node::Refresh(TableClient& aTable) {
  this->sync.ReadTable([&aTable](uint64_t aVersion, size_t aLimit) {
    return aTable.ChangesSince(aVersion, aLimit);
  });
}

bool Node::NeedsTableRead() {
  const auto snapshot = this->config.Snapshot();
  const std::vector<std::string>& vouchers = snapshot->Vouchers().nodes;
  return ShouldReadTable(
      {.members = snapshot->Members().Items().size(),
       .isVoucher = std::find(vouchers.begin(), vouchers.end(),
                              this->self.nodeId) != vouchers.end(),
       .age = this->freshness.Age(SteadyClock().Now()),
       .freshnessLimit = this->settings.freshnessLimit});
}

void Node::ReadTable() {
  if (!this->NeedsTableRead() || this->reading.exchange(true)) {
    return;
  }
  const bool posted = this->reader.Post([this] {
    try {
      this->Refresh(this->readTable);
      this->metrics.SetGauge("table_up", 1);
    } catch (const std::exception&) {
      this->metrics.SetGauge("table_up", 0);
    }
    this->reading = false;
  });
  if (!posted) {
    this->reading = false;
  }
}

void Node::Maintain() {
  if (this->maintaining.exchange(true)) {
    return;
  }
  const bool posted = this->writer.Post([this] {
    try {
      this->maintenance->Run();
    } catch (const std::exception&) {
      // The table is down; the next round tries again.
      this->metrics.SetGauge("table_up", 0);
    }
    this->maintaining = false;
  });
  if (!posted) {
    this->maintaining = false;
  }
}

void Node::ConnectPeers() {
  for (const PeerAddress& peer : this->fleet.WantedPeers()) {
    this->peers.Get(peer);
  }
}

void Node::Watch() {
  const auto snapshot = this->config.Snapshot();
  for (const std::string& node : this->maintenance->Watched()) {
    const std::string url = ControlUrlOf(*snapshot, node);
    if (!url.empty()) {
      this->gossip.Watch(url, SteadyClock().Now());
    }
  }
}

bool Node::IsReady() { return this->status->IsReady(); }

bool Node::Stop() {
  Log(LogLevel::Info, "node stopping", {{"node", this->self.nodeId}});
  this->target.SetStopping();
  this->peerServer->PushState();
  this->entryHandler.StopAccepting();
  this->callers->StopAccepting();
  this->shares.ReturnAll(SteadyClock().Now());
  const bool idle = this->WaitUntilIdle();
  this->writer.Post([this] {
    try {
      this->maintenance->Leave();
    } catch (const std::exception&) {
      // A peer removes the record later.
      return;
    }
  });
  std::this_thread::sleep_for(kFinalSendTime);
  this->Shutdown();
  Log(LogLevel::Info, "node stopped",
      {{"node", this->self.nodeId}, {"idle", idle ? "true" : "false"}});
  FlushLog();
  return idle;
}

bool Node::WaitUntilIdle() {
  const TimePoint limit = SteadyClock().Now() + this->settings.drainDeadline;
  while (SteadyClock().Now() < limit) {
    if (this->entryHandler.Open() == 0 && this->targetHandler.Open() == 0) {
      return true;
    }
    std::this_thread::sleep_for(kIdlePoll);
  }
  return false;
}

void Node::Shutdown() {
  this->stopped = true;
  this->stopping = true;
  this->reader.Stop();
  this->writer.Stop();
  this->adminApi->Stop();
  this->callers->StopAccepting();
  this->localTarget->StopAccepting();
  this->admin->StopAccepting();
  this->peerServer->StopAccepting();
  this->peers.CloseAll();
  this->peerServer->CloseSessions("node stops");
  this->work.reset();
  this->io.stop();
  for (std::thread& worker : this->workers) {
    worker.join();
  }
  this->control.reset();
  // Queued and cancelled handlers refer to members of this object, so they run
  // before any of these is destroyed.
  const TimePoint limit = SteadyClock().Now() + kFinalHandlerTime;
  do {
    this->io.restart();
  } while (this->io.poll() > 0 && SteadyClock().Now() < limit);
  // Without this, each listener would wait a second for a worker to close its
  // acceptor.
  this->io.stop();
}

}  // namespace fescueline
