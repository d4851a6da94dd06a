#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Config/RecordTable.h"
#include "Config/Records.h"
#include "Config/StringHash.h"

namespace fescueline {

using Route = NamedRecord<RouteRecord>;

/// Finds the route of a request. Immutable, thread-safe.
class RouteIndex {
 public:
  RouteIndex() = default;
  explicit RouteIndex(std::shared_ptr<const RecordTable<RouteRecord>> aRoutes);

  /// The route with the longest prefix of the path among those that accept the
  /// method, or null. At equal length, a route that lists the method takes
  /// precedence over one for all methods, then the smaller name. The query is
  /// ignored. A path with '.' or '..' segments, a malformed escape, or an
  /// escaped '/', '\\' or control character has no route, because the target
  /// could resolve it to a path of another route.
  const Route* Find(std::string_view aMethod, std::string_view aPath) const;

 private:
  /// Keeps the indexed records alive.
  std::shared_ptr<const RecordTable<RouteRecord>> routes;
  /// Routes by path prefix, in order of preference.
  std::unordered_map<std::string, std::vector<const Route*>, StringHash,
                     std::equal_to<>>
      byPrefix;
  /// Length of the longest prefix, which bounds the search in a long path.
  size_t longestPrefix = 0;
};

}  // namespace fescueline
