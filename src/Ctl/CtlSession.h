#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <string>

#include "Ctl/CtlClient.h"

namespace fescueline {

/// Exit codes of the operator command line.
enum class CtlExit : uint8_t {
  /// The change was accepted, or the query succeeded.
  Accepted = 0,
  /// Refused or invalid input; nothing was changed.
  Refused = 1,
  /// The record has another version than expected; nothing was changed.
  Conflict = 2,
  /// The change may have taken effect; retry with the token to find out.
  Unknown = 3
};

/// A change of one record.
struct CtlChange {
  /// "org", "route" or "rule".
  std::string kind;
  std::string name;
  /// Version that the record must have; if missing, the current one is
  /// fetched from the node.
  std::optional<uint64_t> version;
};

/// Runs commands against one node and prints their results. Not thread-safe.
class CtlSession {
 public:
  struct Options {
    /// Token of an earlier request to retry; empty for a new request.
    std::string token;
    /// Stream to which results are written.
    std::ostream& output;
    /// Stream to which errors are written.
    std::ostream& errors;
  };

  CtlSession(const CtlClient& aClient, Options aOptions);

  /// Creates the record; Conflict if it exists.
  CtlExit Create(const CtlChange& aChange, const nlohmann::json& aValue);
  /// Changes some fields of an existing organisation.
  CtlExit Update(const CtlChange& aChange, const nlohmann::json& aFields);
  /// Creates the record or replaces all its fields.
  CtlExit Set(CtlChange aChange, const nlohmann::json& aValue);
  CtlExit Delete(CtlChange aChange);
  CtlExit List(const std::string& aKind);
  CtlExit GrantKey(const std::string& aOrganisation, const std::string& aName);
  CtlExit WithdrawKey(const std::string& aId);
  CtlExit ListKeys();
  CtlExit Status();
  CtlExit Explain(const nlohmann::json& aRequest);

 private:
  /// The current record; nullopt if it does not exist or the query failed, in
  /// which case `queryFailed` is set.
  std::optional<nlohmann::json> Fetch(const CtlChange& aChange);
  CtlExit Put(const CtlChange& aChange, uint64_t aVersion,
              const nlohmann::json& aValue);
  /// Sends a change with the session's token and prints its result.
  CtlExit SendChange(CtlRequest aRequest);
  CtlExit ReportChange(const CtlRequest& aRequest,
                       const CtlResponse& aResponse);
  CtlExit ReportUnknown(const CtlRequest& aRequest, const std::string& aReason);
  /// Exit code of a change that was not sent, because Fetch failed.
  CtlExit ExitAfterFailedQuery() const;
  CtlExit Refuse(const std::string& aReason);
  /// Sends a read-only request. Prints the error and returns nullopt if it
  /// fails.
  std::optional<nlohmann::json> Query(const CtlRequest& aRequest);

  const CtlClient& client;
  Options options;
  /// Whether the request is a retry of an earlier one.
  bool isRetry;
  /// Whether Fetch failed.
  bool queryFailed = false;
};

}  // namespace fescueline
