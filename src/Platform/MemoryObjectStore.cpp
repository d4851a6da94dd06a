#include "Platform/MemoryObjectStore.h"

namespace fescueline {

std::optional<StoredObject> MemoryObjectStore::Get(const std::string& aKey) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->objects.find(aKey);
  if (found == this->objects.end()) {
    return std::nullopt;
  }
  return found->second;
}

PutResult MemoryObjectStore::Put(const std::string& aKey,
                                 const std::string& aBytes,
                                 const PutCondition& aCondition) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->objects.find(aKey);
  const bool exists = found != this->objects.end();
  const bool holds = (!aCondition.mustNotExist || !exists) &&
                     (!aCondition.matchTag.has_value() ||
                      (exists && found->second.tag == *aCondition.matchTag));
  if (!holds) {
    return PutResult{.status = PutStatus::ConditionFailed, .tag = {}};
  }
  std::string tag = std::to_string(++this->writes);
  this->objects[aKey] = StoredObject{.bytes = aBytes, .tag = tag};
  return PutResult{.status = PutStatus::Stored, .tag = std::move(tag)};
}

}  // namespace fescueline
