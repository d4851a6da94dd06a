#include "Mesh/RelayTree.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace fescueline {

uint64_t RankOf(std::string_view aNode) {
  return XXH3_64bits(aNode.data(), aNode.size());
}

void RelayTree::Build(const std::vector<Node>& aMembers) {
  this->parents.clear();
  /// Names by rank, for each data centre.
  std::map<std::string, std::vector<std::pair<uint64_t, std::string>>> centres;
  for (const Node& node : aMembers) {
    centres[node.dataCentre].emplace_back(RankOf(node.name), node.name);
  }
  for (auto& [dataCentre, nodes] : centres) {
    std::sort(nodes.begin(), nodes.end());
    for (size_t i = 0; i < nodes.size(); ++i) {
      this->parents[nodes[i].second] =
          i == 0 ? std::string() : nodes[(i - 1) / kFanOut].second;
    }
  }
}

const std::string& RelayTree::ParentOf(const std::string& aNode) const {
  static const std::string sNone;
  const auto found = this->parents.find(aNode);
  return found == this->parents.end() ? sNone : found->second;
}

bool RelayTree::IsRoot(const std::string& aNode) const {
  const auto found = this->parents.find(aNode);
  return found != this->parents.end() && found->second.empty();
}

bool RelayTree::IsChild(const std::string& aNode,
                        const std::string& aParent) const {
  return !aParent.empty() && this->ParentOf(aNode) == aParent;
}

}  // namespace fescueline
