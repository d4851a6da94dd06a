#include "Freshness/VoucherSet.h"

#include <algorithm>
#include <iterator>

namespace fescueline {

VoucherSet::VoucherSet(uint64_t aVersion, std::vector<std::string> aMembers)
    : version(aVersion), members(std::move(aMembers)) {
  std::sort(this->members.begin(), this->members.end());
  this->members.erase(std::unique(this->members.begin(), this->members.end()),
                      this->members.end());
}

bool VoucherSet::Contains(std::string_view aNode) const {
  return std::binary_search(this->members.begin(), this->members.end(), aNode);
}

bool VoucherSet::CanChangeTo(const VoucherSet& aNext) const {
  if (aNext.version <= this->version || aNext.members.empty()) {
    return false;
  }
  if (this->members.empty()) {
    return true;
  }
  std::vector<std::string> difference;
  std::set_symmetric_difference(this->members.begin(), this->members.end(),
                                aNext.members.begin(), aNext.members.end(),
                                std::back_inserter(difference));
  return difference.size() == 1;
}

}  // namespace fescueline
