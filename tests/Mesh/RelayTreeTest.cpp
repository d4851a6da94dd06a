#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Mesh/RelayTree.h"

using namespace fescueline;

namespace {
std::vector<RelayTree::Node> Fleet(size_t aNodes, size_t aDataCentres) {
  std::vector<RelayTree::Node> nodes;
  for (size_t i = 0; i < aNodes; ++i) {
    nodes.push_back({.name = "n" + std::to_string(i),
                     .dataCentre = "d" + std::to_string(i % aDataCentres)});
  }
  return nodes;
}
}  // namespace

// Guards against a node whose messages grow with the fleet, and against changes
// that take many steps or cross between data centres more than once.
TEST_CASE("the relay tree has a bounded fan-out and depth") {
  struct Row {
    size_t nodes;
    size_t dataCentres;
    size_t maxDepth;
  };
  for (const Row& row : std::vector<Row>{
           {1, 1, 0}, {16, 4, 1}, {194, 6, 2}, {300, 6, 2}, {10'000, 8, 4}}) {
    CAPTURE(row.nodes);
    const auto fleet = Fleet(row.nodes, row.dataCentres);
    RelayTree tree;
    tree.Build(fleet);
    std::map<std::string, std::string> dataCentreOf;
    for (const auto& node : fleet) {
      dataCentreOf[node.name] = node.dataCentre;
    }
    std::set<std::string> roots;
    std::map<std::string, size_t> children;
    for (const auto& node : fleet) {
      CAPTURE(node.name);
      if (tree.IsRoot(node.name)) {
        roots.insert(node.dataCentre);
        continue;
      }
      const std::string& parent = tree.ParentOf(node.name);
      CHECK(tree.IsChild(node.name, parent));
      CHECK(dataCentreOf.at(parent) == node.dataCentre);
      ++children[parent];
      size_t depth = 0;
      for (std::string at = node.name; !tree.IsRoot(at) && depth < 100;
           ++depth) {
        at = tree.ParentOf(at);
      }
      CHECK(depth <= row.maxDepth);
    }
    CHECK(roots.size() == std::min(row.nodes, row.dataCentres));
    for (const auto& [parent, count] : children) {
      CHECK(count <= RelayTree::kFanOut);
    }
  }
}

// Guards against two nodes that build different trees from the same members, or
// whose whole tree changes when one member comes or goes.
TEST_CASE("the relay tree depends on the members only") {
  auto fleet = Fleet(200, 4);
  RelayTree first;
  first.Build(fleet);
  std::reverse(fleet.begin(), fleet.end());
  RelayTree second;
  second.Build(fleet);
  for (const auto& node : fleet) {
    CHECK(first.ParentOf(node.name) == second.ParentOf(node.name));
  }
  CHECK_FALSE(first.IsRoot("unknown"));
  CHECK(first.ParentOf("unknown").empty());
}
