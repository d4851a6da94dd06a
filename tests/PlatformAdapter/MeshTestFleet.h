#pragma once

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <concepts>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Core/RandomSource.h"
#include "FaultyLink.h"
#include "Http1/HttpWriter.h"
#include "Http1/RawPeer.h"
#include "Log/Log.h"
#include "MakeBindings.h"
#include "Mesh/MeshNode.h"
#include "PlatformTarget.h"
#include "StoreStandIn.h"

namespace fescueline::test {

/// Response to a caller.
struct MeshAnswer {
  int status = 0;
  HttpHeaders headers;
  std::string body;
  bool complete = false;

  std::string Header(std::string_view aName) const {
    return std::string(FindHeader(this->headers, aName).value_or(""));
  }
};

/// Type of node in a MeshTestFleetOf; its constructor starts it.
template <typename T>
concept TestFleetNode =
    std::constructible_from<T, asio::io_context&, const MeshSettings&> &&
    requires(const T& aNode, size_t aTargets) {
  { aNode.Serves(aTargets) } -> std::same_as<bool>;
};

/// A node on the event loop of its fleet.
class LoopNode : public MeshNode {
 public:
  LoopNode(asio::io_context& aIo, const MeshSettings& aSettings)
      : MeshNode(aIo, aSettings, platform::MakeBindings(aIo, aSettings)) {
    this->Start();
  }
  /// Whether the node is ready and has found at least aTargets targets.
  bool Serves(size_t aTargets) const {
    return this->IsReady() && this->KnownTargets() >= aTargets;
  }
};

/// A fleet of mesh nodes with targets and a store. The services are `front`,
/// whose requests call `deep`, and `deep`. Targets and store run on one event
/// loop.
template <TestFleetNode TNode>
class MeshTestFleetOf {
 public:
  struct Settings {
    size_t fronts = 2;
    size_t deeps = 2;
    uint32_t deepSlots = 10;
    Duration deepWork = std::chrono::milliseconds(10);
    bool frontCalls = true;
    /// Whether targets report to their nodes.
    bool targetsReport = true;
    /// Whether each target is behind a FaultyLink.
    bool faultyLinks = false;
    /// Seed of the faulty links.
    uint64_t seed = 1;
    /// Time limit of planned stops.
    Duration stopLimit = std::chrono::seconds(4);
    /// Memory limit of the nodes, bytes.
    uint64_t memoryLimit = MeshSettings().memoryLimit;
  };

  explicit MeshTestFleetOf(const Settings& aSettings)
      : store(this->io),
        targetsReport(aSettings.targetsReport),
        faultyLinks(aSettings.faultyLinks),
        seed(aSettings.seed),
        stopLimit(aSettings.stopLimit),
        memoryLimit(aSettings.memoryLimit) {
    DisableLog();
    this->PutConfig(1);
    for (size_t i = 0; i < aSettings.fronts; ++i) {
      this->Add("front", 50, std::chrono::milliseconds(5),
                aSettings.frontCalls ? "/deep/" : "");
    }
    for (size_t i = 0; i < aSettings.deeps; ++i) {
      this->Add("deep", aSettings.deepSlots, aSettings.deepWork, "");
    }
    REQUIRE(RunUntil(
        this->io, [this] { return this->AllServe(); },
        std::chrono::seconds(20)));
  }

  /// Stores the operator's configuration. aKeys and aRate are those of the
  /// organisation `acme`.
  void PutConfig(uint64_t aVersion,
                 const std::vector<std::string>& aKeys = {"acme-key"},
                 double aRate = 100'000) {
    nlohmann::json resources = nlohmann::json::array();
    const auto route = [&resources](const std::string& aName, bool aSafe,
                                    int aRank, const std::string& aService,
                                    bool aOpen) {
      resources.push_back({{"resource-type", "routes"},
                           {"metadata", {{"name", aName}}},
                           {"spec",
                            {{"host", "h"},
                             {"prefix", "/" + aName + "/"},
                             {"route-type", aSafe ? "safe" : "unsafe"},
                             {"timeout-ms", 2000},
                             {"priority", aRank},
                             {"service", aService},
                             {"max-attempts", 2},
                             {"public", aOpen}}}});
    };
    route("lookup", true, 2, "front", false);
    route("filing", false, 0, "front", false);
    route("direct", true, 2, "deep", false);
    route("deep", true, 1, "deep", true);
    for (const char* service : {"front", "deep"}) {
      resources.push_back({{"resource-type", "services"},
                           {"metadata", {{"name", service}}},
                           {"spec", {{"health-path", "/healthz"}}}});
    }
    resources.push_back({{"resource-type", "tenants"},
                         {"metadata", {{"name", "acme"}}},
                         {"spec",
                          {{"api-keys", aKeys},
                           {"priority", 1},
                           {"rate-per-s", aRate},
                           {"burst", aRate}}}});
    this->store.Put(
        "op", "config",
        nlohmann::json{{"version", aVersion}, {"resources", resources}}.dump());
  }

  /// Sends a request; the response appears in `answers` under aId. The request
  /// carries the identifier unless aNamed is false.
  void Send(size_t aNode, const std::string& aId, const std::string& aMethod,
            const std::string& aPath, const std::string& aKey = "acme-key",
            bool aNamed = true) {
    const auto connection = std::make_shared<HttpClientConnection>(this->io);
    const auto answer = std::make_shared<MeshAnswer>();
    connection->Connect(
        {asio::ip::make_address("127.0.0.1"),
         this->members[aNode].settings.listenCallers.port},
        std::chrono::seconds(1),
        [this, connection, answer, aId, aMethod, aPath, aKey,
         aNamed](const std::string& aError) {
          if (!aError.empty()) {
            this->answers[aId] = *answer;
            return;
          }
          HttpHeaders headers = {{"Host", "h"}};
          if (aNamed) {
            headers.push_back({"X-Request-Id", aId});
          }
          if (!aKey.empty()) {
            headers.push_back({"Api-Key", aKey});
          }
          connection->Send(
              WriteRequestHead(aMethod, aPath, headers, {.length = 0}), false,
              {.onHead =
                   [answer](HttpHead aHead) {
                     answer->status = aHead.status;
                     answer->headers = std::move(aHead.headers);
                     return ResponseVerdict::Accept;
                   },
               .onBody =
                   [answer](std::string_view aPart) { answer->body += aPart; },
               .onDone =
                   [this, connection, answer,
                    aId](const ClientExchangeResult& aResult) {
                     answer->complete = aResult.complete;
                     this->answers[aId] = *answer;
                   }});
        });
  }
  /// Sends a request and waits for its response.
  MeshAnswer Call(size_t aNode, const std::string& aMethod,
                  const std::string& aPath,
                  const std::string& aKey = "acme-key") {
    const std::string id = fmt::format("r{}", ++this->lastId);
    this->Send(aNode, id, aMethod, aPath, aKey);
    RunUntil(this->io, [&] { return this->answers.contains(id); });
    return this->answers[id];
  }
  bool WaitAnswers(size_t aCount) {
    return RunUntil(
        this->io, [&] { return this->answers.size() >= aCount; },
        std::chrono::seconds(20));
  }
  /// Fetches the metrics page of a node.
  std::string MetricsPage(size_t aNode) {
    const auto connection = std::make_shared<HttpClientConnection>(this->io);
    const auto page = std::make_shared<std::string>();
    const auto done = std::make_shared<bool>(false);
    connection->Connect(
        {asio::ip::make_address("127.0.0.1"),
         this->members[aNode].settings.listenReady.port},
        std::chrono::seconds(1), [connection, page, done](const std::string&) {
          connection->Send(
              WriteRequestHead("GET", "/metrics", {{"Host", "h"}}, {}), false,
              {.onHead =
                   [](const HttpHead&) { return ResponseVerdict::Accept; },
               .onBody = [page](std::string_view aPart) { *page += aPart; },
               .onDone =
                   [done](const ClientExchangeResult&) { *done = true; }});
        });
    RunUntil(this->io, [done] { return *done; });
    return *page;
  }
  /// Runs the event loop for aTime.
  void Pass(std::chrono::milliseconds aTime) {
    RunUntil(
        this->io, [] { return false; }, aTime);
  }
  PlatformTarget& Target(size_t aNode) { return *this->members[aNode].target; }
  /// Link to a target; only with faultyLinks.
  FaultyLink& Link(size_t aNode) { return *this->members[aNode].link; }
  TNode& Node(size_t aNode) { return *this->members[aNode].node; }
  const MeshSettings& SettingsOf(size_t aNode) const {
    return this->members[aNode].settings;
  }
  uint16_t CallerPort(size_t aNode) const {
    return this->members[aNode].settings.listenCallers.port;
  }
  size_t Size() const { return this->members.size(); }
  /// Number of runs of a request at all targets.
  size_t RunsOf(const std::string& aId) const {
    size_t count = 0;
    for (const PlatformTarget::Run& run : this->runs) {
      count += run.requestId == aId ? 1 : 0;
    }
    return count;
  }

  asio::io_context io{1};
  StoreStandIn store;
  std::map<std::string, MeshAnswer> answers;
  std::vector<PlatformTarget::Run> runs;

 private:
  struct Member {
    MeshSettings settings;
    std::unique_ptr<TNode> node;
    std::unique_ptr<PlatformTarget> target;
    std::unique_ptr<FaultyLink> link;
  };

  /// Chooses a port below the ephemeral range, so that no outgoing connection
  /// takes it before its listener does.
  /// Chooses a port that no other process can be given until the fleet ends.
  uint16_t FreePort() {
    constexpr uint16_t kFirst = 10'000;
    constexpr uint16_t kCount = 20'000;
    while (true) {
      const auto port =
          static_cast<uint16_t>(kFirst + ThreadRandom().NextBelow(kCount));
      asio::ip::tcp::acceptor reservation(this->io);
      reservation.open(asio::ip::tcp::v4());
      asio::error_code error;
      reservation.bind({asio::ip::make_address("127.0.0.1"), port}, error);
      if (!error) {
        // The node sets this option too, and may therefore listen on the port.
        // A reservation without it cannot be bound there.
        reservation.set_option(asio::socket_base::reuse_address(true));
        this->reservations.push_back(std::move(reservation));
        return port;
      }
    }
  }

  void Add(const std::string& aService, uint32_t aSlots, Duration aWork,
           const std::string& aCallPath) {
    Member member;
    MeshSettings& settings = member.settings;
    settings.node = fmt::format("n{}", this->members.size());
    settings.dataCentre = "d1";
    settings.region = "r1";
    settings.service = aService;
    settings.fleetSecret = "secret";
    settings.store = {"127.0.0.1", this->store.Port()};
    for (SocketAddress* address :
         {&settings.target, &settings.listenCallers, &settings.listenPeers,
          &settings.listenReady, &settings.listenReports}) {
      *address = {"127.0.0.1", this->FreePort()};
    }
    settings.freshnessLimit = std::chrono::seconds(3);
    settings.stopLimit = this->stopLimit;
    settings.memoryLimit = this->memoryLimit;
    member.node = std::make_unique<TNode>(this->io, settings);
    member.target = std::make_unique<PlatformTarget>(PlatformTarget::Settings{
        .io = this->io,
        .port = this->faultyLinks ? this->FreePort() : settings.target.port,
        .service = aService,
        .slots = aSlots,
        .work = aWork,
        .reportPort = settings.listenReports.port,
        .callPort = settings.listenCallers.port,
        .callHost = "h",
        .callPath = aCallPath,
        .reports = this->targetsReport,
        .onRun = [this](const PlatformTarget::Run& aRun) {
          this->runs.push_back(aRun);
        }});
    member.target->SetKeys({"acme-key"});
    if (this->faultyLinks) {
      member.link = std::make_unique<FaultyLink>(
          FaultyLink::Settings{.io = this->io,
                               .port = settings.target.port,
                               .targetPort = member.target->Port(),
                               .seed = this->seed + this->members.size()});
    }
    this->members.push_back(std::move(member));
  }

  /// Whether every node has found every target.
  bool AllServe() {
    for (Member& member : this->members) {
      if (!member.node->Serves(this->members.size())) {
        return false;
      }
    }
    return true;
  }

  bool targetsReport;
  bool faultyLinks;
  uint64_t seed;
  Duration stopLimit;
  uint64_t memoryLimit;
  /// Bound sockets that hold the chosen ports; none of them listens.
  std::vector<asio::ip::tcp::acceptor> reservations;
  std::vector<Member> members;
  uint64_t lastId = 0;
};

using MeshTestFleet = MeshTestFleetOf<LoopNode>;

}  // namespace fescueline::test
