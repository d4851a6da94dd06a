#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fescueline {

/// Rank of a node's name, the same in every process and build. Ranks spread
/// over the data centres.
uint64_t RankOf(std::string_view aNode);

/// Tree over the nodes of each data centre, along which changes of the
/// configuration and of the member rows travel: one node of a data centre gets
/// them from elsewhere, and every node passes them to a bounded number of
/// others. All nodes with the same members build the same tree. Not
/// thread-safe.
class RelayTree {
 public:
  /// Number of children of a node.
  static constexpr size_t kFanOut = 8;

  /// A node of the fleet.
  struct Node {
    std::string name;
    std::string dataCentre;
  };

  /// Rebuilds the tree for the members of the fleet.
  void Build(const std::vector<Node>& aMembers);
  /// Parent of a node; empty for a root and for an unknown node.
  const std::string& ParentOf(const std::string& aNode) const;
  /// Whether the node is the root of its data centre.
  bool IsRoot(const std::string& aNode) const;
  /// Whether aNode gets changes from aParent.
  bool IsChild(const std::string& aNode, const std::string& aParent) const;

 private:
  /// Parent of each node; empty for a root.
  std::map<std::string, std::string> parents;
};

}  // namespace fescueline
