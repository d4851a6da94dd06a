#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "Platform/ObjectStore.h"

namespace fescueline {

/// Object store in the memory of this process. Thread-safe.
class MemoryObjectStore {
 public:
  std::optional<StoredObject> Get(const std::string& aKey);
  /// Writes the object if the condition holds.
  PutResult Put(const std::string& aKey, const std::string& aBytes,
                const PutCondition& aCondition);

 private:
  /// Guards the members below.
  std::mutex mutex;
  /// Number of writes, which is the tag of the last one.
  uint64_t writes = 0;
  /// Objects by key.
  std::unordered_map<std::string, StoredObject> objects;
};

static_assert(ObjectStore<MemoryObjectStore>);

}  // namespace fescueline
