#pragma once

#include <cassert>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "Config/ApiMessages.h"
#include "Config/ConfigQueries.h"
#include "Config/ConfigReplica.h"
#include "Config/ConfigWriter.h"
#include "Core/Digest.h"
#include "Settings/Secret.h"
#include "Settings/Units.h"

namespace fescueline {

struct ConfigApiOptions {
  /// Credential that operators must present. If it is empty, every request is
  /// refused.
  Secret credential;
  /// Waits until the committed version is in force on all nodes. False if that
  /// could not be confirmed; the operator then repeats the request.
  std::function<bool(uint64_t aVersion)> awaitAcceptance;
  /// The node's own state, for `GET /v1/status`; may be empty.
  std::function<nlohmann::json()> nodeStatus;
};

/// HTTP API for operators, without the transport. Reads come from the replica,
/// changes go through the writer. Not thread-safe; changes block.
template <TableStore Store>
class ConfigApi {
 public:
  ConfigApi(const ConfigReplica& aReplica, Store& aStore,
            ConfigApiOptions aOptions)
      : replica(aReplica), writer(aStore), options(std::move(aOptions)) {
    assert(this->options.awaitAcceptance);
  }

  /// Answers one request. Never throws because of its content.
  ApiResponse Handle(const ApiRequest& aRequest);

 private:
  using Segments = std::vector<std::string>;

  /// Error response if the request lacks the credential of the operators, else
  /// nothing.
  std::optional<ApiResponse> Authorise(const ApiRequest& aRequest) const;
  ApiResponse Dispatch(const ApiRequest& aRequest, const Segments& aPath);
  ApiResponse HandleConfig(const ApiRequest& aRequest, const Segments& aPath);
  ApiResponse HandleKeys(const ApiRequest& aRequest, const Segments& aPath);
  template <typename R>
  ApiResponse Change(const ApiRequest& aRequest, const std::string& aName);
  ApiResponse GrantKey(const ApiRequest& aRequest);
  /// Waits until an accepted change is in force. The status becomes Unknown if
  /// that could not be confirmed.
  WriteResult Await(WriteResult aResult) const;
  static std::string TokenOf(const ApiRequest& aRequest);

  const ConfigReplica& replica;
  ConfigWriter<Store> writer;
  ConfigApiOptions options;
};

template <TableStore Store>
ApiResponse ConfigApi<Store>::Handle(const ApiRequest& aRequest) {
  try {
    if (auto refusal = this->Authorise(aRequest)) {
      return *refusal;
    }
    const auto path = SplitApiPath(aRequest.path);
    if (!path || path->size() < 2 || path->front() != "v1") {
      return MakeRefusal(HttpStatus::NotFound, "no such resource");
    }
    return this->Dispatch(aRequest, *path);
  } catch (const ConfigError& error) {
    return MakeRefusal(error);
  } catch (const PlatformError&) {
    return MakeRefusal(HttpStatus::ServiceUnavailable,
                       "the table service is not available; this request "
                       "changed nothing");
  }
}

template <TableStore Store>
std::optional<ApiResponse> ConfigApi<Store>::Authorise(
    const ApiRequest& aRequest) const {
  if (this->options.credential.IsEmpty()) {
    return MakeRefusal(HttpStatus::Forbidden,
                       "this node has no operator credential");
  }
  const auto header = aRequest.Header("Authorization");
  if (!header || !EqualConstantTime(
                     *header, "Bearer " + this->options.credential.Reveal())) {
    return MakeRefusal(HttpStatus::Unauthorized,
                       "the operator credential is missing or wrong");
  }
  return std::nullopt;
}

template <TableStore Store>
ApiResponse ConfigApi<Store>::Dispatch(const ApiRequest& aRequest,
                                       const Segments& aPath) {
  if (aPath[1] == "config") {
    return this->HandleConfig(aRequest, aPath);
  }
  if (aPath[1] == "keys") {
    return this->HandleKeys(aRequest, aPath);
  }
  const auto snapshot = this->replica.Snapshot();
  if (aPath.size() == 2 && aPath[1] == "status" && aRequest.method == "GET") {
    return ConfigQueries(*snapshot).Status(this->options.nodeStatus
                                               ? this->options.nodeStatus()
                                               : nlohmann::json::object());
  }
  if (aPath.size() == 2 && aPath[1] == "explain" && aRequest.method == "POST") {
    return ConfigQueries(*snapshot).Explain(aRequest.body);
  }
  return MakeRefusal(HttpStatus::NotFound, "no such resource");
}

template <TableStore Store>
ApiResponse ConfigApi<Store>::HandleConfig(const ApiRequest& aRequest,
                                           const Segments& aPath) {
  const auto snapshot = this->replica.Snapshot();
  const ConfigQueries queries(*snapshot);
  if (aPath.size() == 3 && aRequest.method == "GET") {
    return queries.List(aPath[2]);
  }
  if (aPath.size() != 4) {
    return MakeRefusal(HttpStatus::NotFound, "no such resource");
  }
  const std::string& kind = aPath[2];
  if (aRequest.method == "GET") {
    return queries.Get(kind, aPath[3]);
  }
  if (kind == "org") {
    return this->Change<OrganisationRecord>(aRequest, aPath[3]);
  }
  if (kind == "route") {
    return this->Change<RouteRecord>(aRequest, aPath[3]);
  }
  if (kind == "rule") {
    return this->Change<RuleRecord>(aRequest, aPath[3]);
  }
  return MakeRefusal(HttpStatus::NotFound,
                     "no kind of record that operators change");
}

template <TableStore Store>
template <typename R>
ApiResponse ConfigApi<Store>::Change(const ApiRequest& aRequest,
                                     const std::string& aName) {
  const bool isPut = aRequest.method == "PUT";
  if (!isPut && aRequest.method != "DELETE") {
    return MakeRefusal(HttpStatus::MethodNotAllowed,
                       "the method must be GET, PUT or DELETE");
  }
  const auto header = aRequest.Header("If-Match");
  if (!header) {
    return MakeRefusal(HttpStatus::PreconditionRequired,
                       "If-Match must give the record's version, 0 to create "
                       "it");
  }
  const auto expected = ParseUnsigned(*header);
  if (!expected) {
    throw ConfigError("If-Match", "must be a version number");
  }
  const std::string token = TokenOf(aRequest);
  return MakeResponse(this->Await(
      isPut ? this->writer.Put(
                  aName, R::FromJson(aRequest.body, UnknownFields::Refuse),
                  *expected, token)
            : this->writer.template Delete<R>(aName, *expected, token)));
}

template <TableStore Store>
ApiResponse ConfigApi<Store>::HandleKeys(const ApiRequest& aRequest,
                                         const Segments& aPath) {
  if (aPath.size() == 2 && aRequest.method == "GET") {
    return ConfigQueries(*this->replica.Snapshot()).Keys();
  }
  if (aPath.size() == 2 && aRequest.method == "POST") {
    return this->GrantKey(aRequest);
  }
  if (aPath.size() == 3 && aRequest.method == "DELETE") {
    return MakeResponse(
        this->Await(this->writer.WithdrawKey(aPath[2], TokenOf(aRequest))));
  }
  return MakeRefusal(HttpStatus::NotFound, "no such resource");
}

template <TableStore Store>
ApiResponse ConfigApi<Store>::GrantKey(const ApiRequest& aRequest) {
  JsonReader reader(aRequest.body);
  const std::string organisation = reader.Name("organisation");
  const std::string name = reader.OptionalName("name");
  reader.CheckUnknownFields(UnknownFields::Refuse);
  const KeyGrantResult grant =
      this->writer.GrantKey(organisation, name, TokenOf(aRequest));
  nlohmann::json extra{{"id", grant.id}};
  // The key is returned even if its acceptance is not confirmed yet, because
  // its text is not kept for a repeated request.
  if (!grant.key.empty()) {
    extra["key"] = grant.key;
  }
  return MakeResponse(this->Await(grant.write), std::move(extra));
}

template <TableStore Store>
WriteResult ConfigApi<Store>::Await(WriteResult aResult) const {
  if (aResult.status == WriteStatus::Accepted &&
      !this->options.awaitAcceptance(aResult.version)) {
    aResult.status = WriteStatus::Unknown;
  }
  return aResult;
}

template <TableStore Store>
std::string ConfigApi<Store>::TokenOf(const ApiRequest& aRequest) {
  const auto token = aRequest.Header("Fescueline-Token");
  if (!token) {
    return "";
  }
  CheckToken(*token);
  return std::string(*token);
}

}  // namespace fescueline
