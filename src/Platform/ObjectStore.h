#pragma once

#include <array>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>

#include "Core/EnumNames.h"
#include "Platform/PlatformError.h"

namespace fescueline {

struct StoredObject {
  /// Content, arbitrary bytes.
  std::string bytes;
  /// Opaque tag that changes with each write.
  std::string tag;

  bool operator==(const StoredObject&) const = default;
};

/// Precondition of a put.
struct PutCondition {
  /// Required tag of the existing object (If-Match).
  std::optional<std::string> matchTag = std::nullopt;
  /// Requires that the object does not exist (If-None-Match: *).
  bool mustNotExist = false;
};

/// Status in the store's response to a put.
enum class PutStatus : uint8_t {
  /// The object was written.
  Stored,
  /// The condition did not hold; nothing was written.
  ConditionFailed
};

template <>
struct EnumNames<PutStatus> {
  static constexpr std::array<EnumName<PutStatus>, 2> kNames{
      {{PutStatus::Stored, "stored"},
       {PutStatus::ConditionFailed, "condition-failed"}}};
};

/// Response to a put.
struct PutResult {
  PutStatus status = PutStatus::ConditionFailed;
  /// Tag of the new object; empty if the condition failed.
  std::string tag;
};

/// Client of an object store. Calls block and throw PlatformError.
template <typename T>
concept ObjectStore = requires(T& aStore, const std::string& aKey,
                               const std::string& aBytes,
                               const PutCondition& aCondition) {
  { aStore.Get(aKey) } -> std::same_as<std::optional<StoredObject>>;
  { aStore.Put(aKey, aBytes, aCondition) } -> std::same_as<PutResult>;
};

}  // namespace fescueline
