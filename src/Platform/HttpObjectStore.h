#pragma once

#include <optional>
#include <string>

#include "Platform/HttpSession.h"
#include "Platform/ObjectStore.h"

namespace fescueline {

/// HTTP client of the object store. Not thread-safe.
class HttpObjectStore {
 public:
  explicit HttpObjectStore(HttpSession::Options aOptions)
      : session(std::move(aOptions)) {}

  /// GET /v1/objects/<key>
  std::optional<StoredObject> Get(const std::string& aKey);
  /// PUT /v1/objects/<key> with If-Match or If-None-Match
  PutResult Put(const std::string& aKey, const std::string& aBytes,
                const PutCondition& aCondition);

 private:
  HttpSession session;
};

static_assert(ObjectStore<HttpObjectStore>);

}  // namespace fescueline
