#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string_view>
#include <vector>

namespace fescueline {

/// Identifiers of the requests that a connection has carried. Kept as hashes:
/// one that was carried is always found, another one almost never. One thread.
class CarriedIds {
 public:
  /// Identifiers that are kept: 8 KiB a connection.
  static constexpr size_t kMax = 1024;

  void Add(std::string_view aId) { this->hashes.push_back(Hash(aId)); }
  bool Contains(std::string_view aId) const {
    return std::ranges::find(this->hashes, Hash(aId)) != this->hashes.end();
  }
  /// Whether the connection should carry no more.
  bool IsFull() const { return this->hashes.size() >= kMax; }

 private:
  static size_t Hash(std::string_view aId) {
    return std::hash<std::string_view>{}(aId);
  }

  std::vector<size_t> hashes;
};

}  // namespace fescueline
