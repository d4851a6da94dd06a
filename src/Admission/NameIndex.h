#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fescueline {

/// Maps names to dense indices in order of first use. Not thread-safe.
class NameIndex {
 public:
  /// Index of a name; adds the name if it is unknown.
  uint32_t Add(std::string_view aName) {
    const auto found = this->indices.find(aName);
    if (found != this->indices.end()) {
      return found->second;
    }
    const auto index = static_cast<uint32_t>(this->names.size());
    this->names.emplace_back(aName);
    this->indices.emplace(std::string(aName), index);
    return index;
  }
  /// Index of a name; nullopt if it is unknown.
  std::optional<uint32_t> Find(std::string_view aName) const {
    const auto found = this->indices.find(aName);
    if (found == this->indices.end()) {
      return std::nullopt;
    }
    return found->second;
  }
  const std::string& NameOf(uint32_t aIndex) const {
    return this->names[aIndex];
  }
  size_t Size() const { return this->names.size(); }

 private:
  /// Transparent hash, for lookups by string_view without a copy.
  struct Hash {
    using is_transparent = void;
    size_t operator()(std::string_view aName) const {
      return std::hash<std::string_view>()(aName);
    }
  };

  std::vector<std::string> names;
  std::unordered_map<std::string, uint32_t, Hash, std::equal_to<>> indices;
};

}  // namespace fescueline
