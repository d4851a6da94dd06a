#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "Config/ApiMessages.h"
#include "Config/ConfigSnapshot.h"

namespace fescueline {

/// Answers read requests of the configuration API from one snapshot.
/// Thread-safe.
class ConfigQueries {
 public:
  explicit ConfigQueries(const ConfigSnapshot& aSnapshot)
      : snapshot(aSnapshot) {}

  /// All records of a kind: org, route, rule, alloc or member.
  ApiResponse List(std::string_view aKind) const;
  /// One record of a kind.
  ApiResponse Get(std::string_view aKind, std::string_view aName) const;
  /// All keys, without their digests.
  ApiResponse Keys() const;
  /// Version of the configuration and number of records; aNode is added as
  /// the node's own state.
  ApiResponse Status(nlohmann::json aNode) const;
  /// The policy of a request {method, path, organisation}, with the source of
  /// each value.
  ApiResponse Explain(const std::string& aBody) const;

 private:
  /// Calls aVisit with the table of a kind; false if there is no such kind.
  template <typename Visitor>
  bool VisitTable(std::string_view aKind, Visitor aVisit) const;

  const ConfigSnapshot& snapshot;
};

}  // namespace fescueline
