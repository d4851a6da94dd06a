#include <doctest/doctest.h>

#include "Node/FleetMaintenance.h"
#include "Platform/MemoryTableStore.h"

using namespace fescueline;

namespace {
/// In-memory table that counts accesses.
struct CountingStore {
  TransactResult Transact(const TableTransaction& aTransaction) {
    ++this->uses;
    return this->table.Transact(aTransaction);
  }
  TableChanges ChangesSince(uint64_t aVersion, size_t aLimit) {
    ++this->uses;
    return this->table.ChangesSince(aVersion, aLimit);
  }
  std::optional<TableRecord> Get(const std::string& aKey) {
    ++this->uses;
    return this->table.Get(aKey);
  }
  std::vector<TableRecord> List(const std::string& aPrefix) {
    ++this->uses;
    return this->table.List(aPrefix);
  }

  MemoryTableStore table;
  int uses = 0;
};

MemberRecord MemberAt(const std::string& aAddress) {
  return {.incarnation = Id128::Generate(),
          .dataCentre = "dc1",
          .region = "region1",
          .service = "",
          .peerAddress = aAddress,
          .controlAddress = aAddress};
}

/// Maintenance of one node without sockets.
class MaintenanceFixture {
 public:
  explicit MaintenanceFixture(const std::string& aNode, size_t aMaxVouchers)
      : store(std::make_shared<CountingStore>()),
        self{.nodeId = aNode,
             .incarnation = Id128::Generate(),
             .fleetSecret = "fleet-secret-of-a-test-0123456789abcdef"},
        freshness(std::chrono::seconds(4), SteadyClock().Now()),
        sync(this->config, this->freshness, [](const auto&, TimePoint) {}),
        gossip({.self = this->self,
                .config = this->config,
                .freshness = this->freshness,
                .sync = this->sync,
                .send = [](const std::string&, ControlKind,
                           const std::string&) { return true; }}),
        shares({.node = aNode, .incarnation = this->self.incarnation}, {},
               [](const ShareMessage&) {}),
        table(this->store),
        maintenance({.self = this->self,
                     .member = this->Member(),
                     .config = this->config,
                     .freshness = this->freshness,
                     .gossip = this->gossip,
                     .shares = this->shares,
                     .table = this->table,
                     .refresh = [this] { this->Refresh(); },
                     .maxVouchers = aMaxVouchers}) {}

  MemberRecord Member() const {
    MemberRecord member = MemberAt("127.0.0.1:1");
    member.incarnation = this->self.incarnation;
    return member;
  }

  void Refresh() {
    this->sync.ReadTable([this](uint64_t aVersion, size_t aLimit) {
      return this->table.ChangesSince(aVersion, aLimit);
    });
  }

  void Put(const std::string& aKey, const std::string& aValue) {
    this->store->table.Transact({.token = Id128::Generate().ToString(),
                                 .checks = {},
                                 .writes = {{.key = aKey, .value = aValue}}});
  }

  std::shared_ptr<CountingStore> store;
  PeerIdentity self;
  ConfigReplica config;
  ConfigFreshness freshness;
  ConfigSync sync;
  Gossip gossip;
  ShareManager shares;
  TableClient table;
  FleetMaintenance maintenance;
};
}  // namespace

// Guards against table accesses that grow with the fleet: maintenance runs
// twice a second on each node.
TEST_CASE("maintenance uses the table only when it has something to write") {
  MaintenanceFixture node("a", 1);
  node.maintenance.Run();
  CHECK(node.store->uses == 0);  // the configuration is not known yet

  node.Refresh();
  for (int i = 0; i < 3; ++i) {
    node.maintenance.Run();
  }
  CHECK(node.maintenance.IsRegistered());
  CHECK(node.config.Snapshot()->Vouchers().nodes ==
        std::vector<std::string>{"a"});

  const int uses = node.store->uses;
  for (int i = 0; i < 10; ++i) {
    node.maintenance.Run();
  }
  CHECK(node.store->uses == uses);

  // A record that another node removed by mistake is written again.
  node.store->table.Transact(
      {.token = "remove",
       .checks = {},
       .writes = {{.key = "member/a", .value = std::nullopt}}});
  node.Refresh();
  node.maintenance.Run();
  CHECK(node.config.Snapshot()->Members().Find("a") != nullptr);
}

// Guards against load on the vouchers that grows with the fleet, and against
// vouchers that no node watches.
TEST_CASE("nodes watch their successors; only vouchers watch the vouchers") {
  MaintenanceFixture node("c", 5);
  for (const char* name : {"a", "b", "c", "d", "e", "f", "g", "h", "i"}) {
    node.Put(std::string("member/") + name, MemberAt("127.0.0.1:2").ToJson());
  }
  node.Put("vouchers", VouchersRecord{.nodes = {"a", "h", "i"}}.ToJson());
  node.Refresh();
  CHECK(node.maintenance.Watched() == std::vector<std::string>{"d", "e", "f"});

  node.Put("vouchers", VouchersRecord{.nodes = {"a", "c", "i"}}.ToJson());
  node.Refresh();
  CHECK(node.maintenance.Watched() ==
        std::vector<std::string>{"d", "e", "f", "a", "i"});
}

// Guards against a write of every node in the fleet for one free place in the
// voucher set, and against a free place that no node may take.
TEST_CASE("few members propose themselves for a free place among vouchers") {
  constexpr int kMembers = 40;
  int proposals = 0;
  for (int candidate = 0; candidate < kMembers; ++candidate) {
    MaintenanceFixture node("node-" + std::to_string(candidate), 5);
    for (int i = 0; i < kMembers; ++i) {
      const std::string name = "node-" + std::to_string(i);
      node.Put("member/" + name, i == candidate
                                     ? node.Member().ToJson()
                                     : MemberAt("127.0.0.1:2").ToJson());
    }
    node.Refresh();
    node.maintenance.Run();
    proposals += node.config.Snapshot()->Vouchers().nodes.empty() ? 0 : 1;
  }
  CHECK(proposals == 3);
}
