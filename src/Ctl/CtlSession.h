#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <string>

#include "Ctl/CtlClient.h"

namespace fescueline {

/// Exit codes of the command line.
enum class CtlExit : uint8_t {
  /// The change was accepted, or the question answered.
  Accepted = 0,
  /// Refused or wrong input; nothing was changed.
  Refused = 1,
  /// Another change came first.
  Conflict = 2,
  /// The change may have taken effect; ask again with the token.
  Unknown = 3
};

/// A change of one record.
struct CtlChange {
  /// org, route or rule.
  std::string kind;
  /// Name of the record.
  std::string name;
  /// Expected version; if missing, the current one is asked for.
  std::optional<uint64_t> version;
};

/// Performs the commands against one node and prints the results. One thread.
class CtlSession {
 public:
  struct Options {
    /// Token of an earlier request that is repeated; empty for a new request.
    std::string token;
    /// For results.
    std::ostream& output;
    /// For refusals.
    std::ostream& errors;
  };

  CtlSession(const CtlClient& aClient, Options aOptions);

  /// Creates the record; conflict if it exists.
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
  /// The current record; nothing if it does not exist or the question failed,
  /// in which case `failed` is set.
  std::optional<nlohmann::json> Fetch(const CtlChange& aChange);
  CtlExit Put(const CtlChange& aChange, uint64_t aVersion,
              const nlohmann::json& aValue);
  /// Sends a change and prints its result.
  CtlExit SendChange(CtlRequest aRequest);
  CtlExit ReportChange(const CtlRequest& aRequest,
                       const CtlResponse& aResponse);
  CtlExit ReportUnknown(const CtlRequest& aRequest, const std::string& aReason);
  /// The exit code of a change whose preceding question failed.
  CtlExit FailedQuestion() const;
  CtlExit Refuse(const std::string& aReason);
  /// Sends a question; nothing after printing why it failed.
  std::optional<nlohmann::json> Ask(const CtlRequest& aRequest);

  /// Connection to the node.
  const CtlClient& client;
  /// As given.
  Options options;
  /// Whether the request repeats an earlier one.
  bool repeating;
  /// Whether a question failed.
  bool failed = false;
};

}  // namespace fescueline
