#include <doctest/doctest.h>

#include <set>
#include <vector>

#include "Node/Gossip.h"
#include "Platform/MemoryTableStore.h"

using namespace fescueline;
using namespace std::chrono_literals;

namespace {
constexpr Duration kLimit = 4s;

/// One message that a node sent.
struct Sent {
  std::string url;
  ControlKind kind = ControlKind::Pull;
  std::string payload;
};

/// One process of node a, without sockets. A second one with the same name is
/// the same node after a restart.
struct Process {
  explicit Process(Duration aLimit = kLimit)
      : freshness(aLimit, SteadyClock().Now()),
        sync(this->config, this->freshness, [](const auto&, TimePoint) {}),
        gossip({.self = this->self,
                .config = this->config,
                .freshness = this->freshness,
                .sync = this->sync,
                .send =
                    [this](const std::string& aUrl, ControlKind aKind,
                           const std::string& aPayload) {
                      this->sent.push_back({aUrl, aKind, aPayload});
                      return true;
                    },
                .freshnessLimit = aLimit,
                .seeds = {"tcp://127.0.0.1:1"}}) {}

  void ReadTable(MemoryTableStore& aTable) {
    this->sync.ReadTable([&aTable](uint64_t aVersion, size_t aLimit) {
      return aTable.ChangesSince(aVersion, aLimit);
    });
  }
  void Receive(const std::string& aSender, ControlKind aKind,
               const std::string& aPayload, TimePoint aNow) {
    this->gossip.Receive({.sender = aSender,
                          .incarnation = Id128::Generate(),
                          .replyUrl = "tcp://127.0.0.1:1",
                          .kind = static_cast<uint8_t>(aKind),
                          .payload = aPayload},
                         aNow);
  }
  /// Ids of the sent requests of a kind.
  template <typename Wire>
  std::set<uint64_t> RequestIds(ControlKind aKind) const {
    std::set<uint64_t> requestIds;
    for (const Sent& message : this->sent) {
      if (message.kind == aKind) {
        requestIds.insert(
            DecodePayload<Wire>(message.payload).value().requestId);
      }
    }
    return requestIds;
  }

  PeerIdentity self{.nodeId = "a",
                    .incarnation = Id128::Generate(),
                    .fleetSecret = "fleet-secret-of-a-test-0123456789abcdef"};
  ConfigReplica config;
  ConfigFreshness freshness;
  ConfigSync sync;
  std::vector<Sent> sent;
  Gossip gossip;
};

void Put(MemoryTableStore& aTable, const std::string& aKey,
         const std::string& aValue) {
  aTable.Transact({.token = Id128::Generate().ToString(),
                   .checks = {},
                   .writes = {{.key = aKey, .value = aValue}}});
}

std::string MemberAt(const std::string& aAddress) {
  return MemberRecord{.incarnation = Id128::Generate(),
                      .dataCentre = "dc1",
                      .region = "region1",
                      .service = "",
                      .peerAddress = aAddress,
                      .controlAddress = aAddress}
      .ToJson();
}

/// Adds three members, which are the vouchers.
void PutVouchers(MemoryTableStore& aTable) {
  for (const char* name : {"a", "b", "c"}) {
    Put(aTable, std::string("member/") + name, MemberAt("127.0.0.1:2"));
  }
  Put(aTable, "vouchers", VouchersRecord{.nodes = {"a", "b", "c"}}.ToJson());
}
}  // namespace

// A node is restarted while a peer's reply waits for its listener. Guards
// against a configuration that lacks all records from before the request of the
// earlier process, and against a lease that seems younger than it is.
TEST_CASE("a reply to an earlier process of the node is ignored") {
  Process earlier;
  Process later;
  const TimePoint now = SteadyClock().Now();
  for (int i = 0; i < 3; ++i) {
    earlier.gossip.Tick(now);
    later.gossip.Tick(now);
  }
  const auto requestIds = earlier.RequestIds<PullWire>(ControlKind::Pull);
  REQUIRE(requestIds.size() == 3);
  for (const uint64_t requestId : requestIds) {
    // Changes after the version that the earlier process had applied.
    const PullReplyWire reply{
        .requestId = requestId,
        .fresh = true,
        .version = 9,
        .age = 1000,
        .changesVersion = 9,
        .changes = {{.key = "org/late", .value = "{}", .version = 9}}};
    later.Receive("b", ControlKind::PullReply, EncodePayload(reply), now);
  }
  CHECK(later.config.Version() == 0);
  CHECK_FALSE(later.freshness.IsFresh(now));

  const auto own = later.RequestIds<PullWire>(ControlKind::Pull);
  const PullReplyWire reply{.requestId = *own.begin(),
                            .fresh = true,
                            .version = 0,
                            .age = 1000,
                            .changesVersion = 0,
                            .changes = {}};
  later.Receive("b", ControlKind::PullReply, EncodePayload(reply), now);
  CHECK(later.freshness.IsFresh(now));
}

// A node is restarted while a voucher's reply waits for its listener. Guards
// against a withdrawn key that works longer than the freshness limit: the
// majority would contain a reply from before the withdrawal.
TEST_CASE("a vouch for an earlier process of the node is ignored") {
  MemoryTableStore table;
  PutVouchers(table);
  Process earlier;
  Process later;
  earlier.ReadTable(table);
  later.ReadTable(table);
  const TimePoint now = SteadyClock().Now() + 3s;
  earlier.gossip.Tick(now);
  later.gossip.Tick(now);
  const auto requestIds =
      earlier.RequestIds<VouchRequestWire>(ControlKind::VouchRequest);
  REQUIRE(requestIds.size() == 1);
  const auto vouch = [&later, now](uint64_t aRequestId) {
    const VouchReplyWire reply{.requestId = aRequestId,
                               .version = later.config.Version(),
                               .eligible = true};
    later.Receive("b", ControlKind::VouchReply, EncodePayload(reply), now);
  };
  vouch(*requestIds.begin());
  CHECK(later.freshness.Age(now).value() >= 2s);

  vouch(*later.RequestIds<VouchRequestWire>(ControlKind::VouchRequest).begin());
  CHECK(later.freshness.Age(now).value() == Duration(0));
}

// The table is down and replies of vouchers are lost. Guards against traffic
// that stops although a majority of the vouchers is alive, at any limit that
// the settings allow.
TEST_CASE("two lost rounds of vouches do not make a node stale") {
  MemoryTableStore table;
  PutVouchers(table);
  for (const Duration limit : std::vector<Duration>{1s, 1500ms, 2s, 4s}) {
    for (const Duration phase : std::vector<Duration>{20ms, 100ms, 240ms}) {
      CAPTURE(ToSeconds(limit));
      CAPTURE(ToSeconds(phase));
      Process node(limit);
      const TimePoint read = SteadyClock().Now();
      node.ReadTable(table);
      size_t lost = 0;
      for (Duration at = phase; at < 2 * limit; at += 250ms) {
        CHECK(node.freshness.IsFresh(read + at));
        node.sent.clear();
        node.gossip.Tick(read + at);
        const auto asked =
            node.RequestIds<VouchRequestWire>(ControlKind::VouchRequest);
        if (asked.empty() || ++lost <= 2) {
          continue;
        }
        const VouchReplyWire reply{.requestId = *asked.begin(),
                                   .version = node.config.Version(),
                                   .eligible = true};
        node.Receive("b", ControlKind::VouchReply, EncodePayload(reply),
                     read + at + 20ms);
      }
      CHECK(lost > 2);
    }
  }
}
