#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Core/RandomSource.h"
#include "Log/Log.h"
#include "Mesh/PeerSync.h"
#include "Transport/FrameCodec.h"

using namespace fescueline;
using namespace std::chrono_literals;

namespace {

MeshConfigPtr DecodeVersion(const std::string& aStored) {
  MeshConfig::Content content;
  content.version = std::stoull(aStored);
  return std::make_shared<const MeshConfig>(std::move(content));
}

/// A fleet whose nodes exchange states and frames without a network. Messages
/// arrive in the next step.
struct SimulatedFleet {
  struct Node {
    explicit Node(std::string aName) : name(std::move(aName)) {}
    std::string name;
    ConfigHolder config{DecodeVersion};
    MemberTable members;
    std::unique_ptr<PeerSync> sync;
    bool alive = true;
    size_t sentFrames = 0;
  };
  struct Message {
    Node* to;
    std::string from;
    PeerSyncFrame frame;
  };

  SimulatedFleet(size_t aNodes, size_t aDataCentres) {
    DisableLog();
    std::vector<RelayTree::Node> names;
    for (size_t i = 0; i < aNodes; ++i) {
      const std::string name = "n" + std::to_string(i);
      names.push_back(
          {.name = name, .dataCentre = "d" + std::to_string(i % aDataCentres)});
      this->nodes[name] = std::make_unique<Node>(name);
    }
    this->tree.Build(names);
    for (auto& [name, node] : this->nodes) {
      Node* self = node.get();
      self->sync.reset(new PeerSync(
          {.config = self->config,
           .members = self->members,
           .tree = this->tree,
           .node = name,
           .send =
               [this, self](const std::string& aTo,
                            const PeerSyncFrame& aFrame) {
                 Node& to = *this->nodes.at(aTo);
                 if (!to.alive) {
                   return false;
                 }
                 ++self->sentFrames;
                 this->bytes += EncodeFrame(aFrame).size();
                 this->messages.push_back({&to, self->name, aFrame});
                 return true;
               },
           .onConfig = [self](
                           const std::string& aStored,
                           const std::string&) { self->config.Apply(aStored); },
           .onMembers = [](const MemberChanges&) {},
           .onMembersConfirmed = [](BootTime) {}}));
    }
  }

  StateWire StateOf(const Node& aNode) const {
    return {.configVersion = aNode.config.Version(),
            .membersReadUpTo = aNode.members.ReadUpTo(),
            .membersDigest = aNode.members.Digest()};
  }

  /// One step of 50 ms: all messages arrive, then parents announce themselves
  /// to their children, one node to the roots, and each node hears of another
  /// one at random.
  void Step(Node& aPrimary) {
    this->clock.Advance(50ms);
    std::deque<Message> arriving;
    arriving.swap(this->messages);
    for (const Message& message : arriving) {
      if (message.to->alive) {
        message.to->sync->OnFrame(message.from, message.frame);
      }
    }
    for (auto& [name, node] : this->nodes) {
      if (!node->alive) {
        continue;
      }
      const std::string& parent =
          this->tree.IsRoot(name) ? aPrimary.name : this->tree.ParentOf(name);
      auto other = this->nodes.begin();
      std::advance(other, this->random.NextBelow(this->nodes.size()));
      for (Node* from : {this->nodes.at(parent).get(), other->second.get()}) {
        if (from->alive) {
          node->sync->OnState(from->name, this->StateOf(*from),
                              this->clock.Now());
        }
      }
    }
  }
  size_t CountBehind(const Node& aPrimary) const {
    size_t behind = 0;
    for (const auto& [name, node] : this->nodes) {
      const bool same = node->config.Version() == aPrimary.config.Version() &&
                        node->members.Digest() == aPrimary.members.Digest();
      behind += node->alive && !same ? 1 : 0;
    }
    return behind;
  }
  /// Steps until all nodes know what the primary node does.
  size_t Converge(Node& aPrimary, size_t aMaxSteps) {
    size_t steps = 0;
    while (this->CountBehind(aPrimary) > 0 && steps < aMaxSteps) {
      this->Step(aPrimary);
      ++steps;
    }
    return steps;
  }
  /// Gives the primary node a first configuration and a row for each node.
  Node& Begin() {
    Node& primary = *this->nodes.begin()->second;
    std::vector<StoredRow> rows;
    for (const auto& [name, node] : this->nodes) {
      rows.push_back({.key = name,
                      .value = std::string(200, 'v'),
                      .version = rows.size() + 1});
    }
    primary.members.OnSnapshot(rows, rows.size() + 1);
    primary.config.Apply("1");
    return primary;
  }

  ManualClock clock;
  RandomSource random{3};
  RelayTree tree;
  std::map<std::string, std::unique_ptr<Node>> nodes;
  std::deque<Message> messages;
  size_t bytes = 0;
};

}  // namespace

// Guards against changes that are sent to a node by all of its peers, and
// against whole tables that are sent for one change: the bytes for a change
// would grow with the square of the fleet's size.
TEST_CASE("a change reaches a large fleet once per node") {
  for (const size_t count : {30, 194, 300}) {
    CAPTURE(count);
    SimulatedFleet fleet(count, 6);
    SimulatedFleet::Node& primary = fleet.Begin();
    // 3 s, the time in which a restarted fleet has to know its configuration.
    REQUIRE(fleet.Converge(primary, 60) < 60);
    fleet.bytes = 0;
    for (auto& [name, node] : fleet.nodes) {
      node->sentFrames = 0;
    }
    const uint64_t version = primary.members.ReadUpTo() + 1;
    primary.members.OnChanges(
        {{.key = "n3", .version = version, .removed = true}}, version);
    primary.config.Apply("2");
    // The parents relay it in 1 s.
    CHECK(fleet.Converge(primary, 20) < 20);
    CHECK(fleet.CountBehind(primary) == 0);
    CHECK(fleet.bytes < count * 400);
    size_t most = 0;
    for (const auto& [name, node] : fleet.nodes) {
      most = std::max(most, node->sentFrames);
    }
    // A request of its own, and one reply to each child and root.
    CHECK(most <= 2 * RelayTree::kFanOut + 2);
  }
}

// Guards against a part of the fleet that learns nothing after its parent in
// the relay tree has failed.
TEST_CASE("a change reaches the children of failed nodes") {
  SimulatedFleet fleet(194, 6);
  SimulatedFleet::Node& primary = fleet.Begin();
  REQUIRE(fleet.Converge(primary, 60) < 60);
  size_t failed = 0;
  for (auto& [name, node] : fleet.nodes) {
    const bool fails = node.get() != &primary && failed < 100;
    node->alive = !fails;
    failed += fails ? 1 : 0;
  }
  primary.config.Apply("2");
  CHECK(fleet.Converge(primary, 60) < 60);
  CHECK(fleet.CountBehind(primary) == 0);
}

// Guards against a fleet above the number of elements in a frame, whose members
// could not be sent at all.
TEST_CASE("rows of a very large fleet are sent in several frames") {
  SimulatedFleet fleet(2, 1);
  SimulatedFleet::Node& primary = fleet.Begin();
  std::vector<StoredRow> rows;
  for (uint64_t i = 0; i < 10'000; ++i) {
    rows.push_back({.key = "m" + std::to_string(i),
                    .value = std::string(200, 'v'),
                    .version = i + 1});
  }
  primary.members.OnSnapshot(rows, 20'000);
  fleet.Converge(primary, 60);
  CHECK(fleet.CountBehind(primary) == 0);
  CHECK(fleet.nodes.at("n1")->members.Size() == 10'000);
}

// A table has missed a removal whose version it claims to know. Guards against
// a member that is never removed there.
TEST_CASE("a table that differs from a peer's is requested again") {
  SimulatedFleet fleet(2, 1);
  SimulatedFleet::Node& primary = fleet.Begin();
  SimulatedFleet::Node& other = *fleet.nodes.at("n1");
  fleet.Converge(primary, 60);
  other.members.OnChanges({{.key = "lost", .value = "v", .version = 50}}, 60);
  primary.members.AdvanceTo(61);
  fleet.Converge(primary, 60);
  CHECK(fleet.CountBehind(primary) == 0);
}

// All nodes restart, and the first peer that connects has no configuration yet.
// Guards against a node that waits for its reply although another peer has one.
TEST_CASE("a node without a configuration asks the next peer at once") {
  SimulatedFleet fleet(30, 1);
  SimulatedFleet::Node& primary = fleet.Begin();
  SimulatedFleet::Node& empty = *fleet.nodes.at("n1");
  SimulatedFleet::Node& other = *fleet.nodes.at("n2");
  other.sync->OnConnected(empty.name, fleet.clock.Now());
  REQUIRE(fleet.messages.size() == 1);
  other.sync->OnState(primary.name, fleet.StateOf(primary), fleet.clock.Now());
  REQUIRE(fleet.messages.size() == 2);
  CHECK(fleet.messages.back().to == &primary);
  // A second state does not repeat the request.
  other.sync->OnState(primary.name, fleet.StateOf(primary), fleet.clock.Now());
  CHECK(fleet.messages.size() == 2);
  // A peer that has nothing replies, too.
  empty.sync->OnFrame(other.name, fleet.messages.front().frame);
  CHECK(fleet.messages.size() == 3);
}
