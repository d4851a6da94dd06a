#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "Platform/ObjectStore.h"

namespace fescueline {

/// Objects in the memory of this process. Any thread.
class MemoryObjectStore {
 public:
  /// The object, if it exists.
  std::optional<StoredObject> Get(const std::string& aKey);
  /// Writes the object if the condition holds.
  PutResult Put(const std::string& aKey, const std::string& aBytes,
                const PutCondition& aCondition);

 private:
  /// Guards everything below.
  std::mutex mutex;
  /// Number of writes; the next tag.
  uint64_t writes = 0;
  /// Objects by key.
  std::unordered_map<std::string, StoredObject> objects;
};

static_assert(ObjectStore<MemoryObjectStore>);

}  // namespace fescueline
