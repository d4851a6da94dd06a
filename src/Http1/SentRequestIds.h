#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string_view>
#include <vector>

namespace fescueline {

/// Request ids that were sent on a connection, stored as hashes: Contains has
/// no false negatives, and false positives only on a hash collision. Not
/// thread-safe.
class SentRequestIds {
 public:
  /// Maximum number of request ids; takes 8 KiB per connection.
  static constexpr size_t kMax = 1024;

  void Add(std::string_view aId) { this->hashes.push_back(Hash(aId)); }
  bool Contains(std::string_view aId) const {
    return std::ranges::find(this->hashes, Hash(aId)) != this->hashes.end();
  }
  /// Whether the connection must not be used for further requests.
  bool IsFull() const { return this->hashes.size() >= kMax; }

 private:
  static size_t Hash(std::string_view aId) {
    return std::hash<std::string_view>{}(aId);
  }

  std::vector<size_t> hashes;
};

}  // namespace fescueline
