#include "Ctl/CtlSession.h"

#include <fmt/format.h>

#include <utility>

#include "Core/BoundedJson.h"
#include "Core/Identifiers.h"

namespace fescueline {

namespace {
using Json = nlohmann::json;

constexpr long kOk = 200;
constexpr long kBadRequest = 400;
constexpr long kNotFound = 404;
constexpr long kConflict = 409;
constexpr long kServerError = 500;

/// The body as a JSON object; an empty object if it is anything else.
Json ParseBody(const std::string& aBody) {
  try {
    Json body = ParseJson(aBody, {});
    return body.is_object() ? body : Json::object();
  } catch (const JsonError&) {
    // The caller reports the fields that are missing.
    return Json::object();
  }
}

std::string TextOf(const Json& aBody, const char* aField) {
  const auto field = aBody.find(aField);
  return field != aBody.end() && field->is_string() ? field->get<std::string>()
                                                    : std::string();
}

uint64_t VersionOf(const Json& aBody) {
  const auto field = aBody.find("version");
  return field != aBody.end() && field->is_number_unsigned()
             ? field->get<uint64_t>()
             : 0;
}

std::string PathOf(const CtlChange& aChange) {
  return fmt::format("/v1/config/{}/{}", aChange.kind, aChange.name);
}

CtlRequest MakeGet(std::string aPath) {
  return {.method = "GET",
          .path = std::move(aPath),
          .expectedVersion = std::nullopt,
          .token = "",
          .body = ""};
}
}  // namespace

CtlSession::CtlSession(const CtlClient& aClient, Options aOptions)
    : client(aClient),
      options(std::move(aOptions)),
      isRetry(!this->options.token.empty()) {
  if (!this->isRetry) {
    this->options.token = Id128::Generate().ToString();
  }
}

CtlExit CtlSession::Create(const CtlChange& aChange, const Json& aValue) {
  return this->Put(aChange, aChange.version.value_or(0), aValue);
}

CtlExit CtlSession::Update(const CtlChange& aChange, const Json& aFields) {
  constexpr size_t kOrganisationFields = 3;
  if (aFields.size() == kOrganisationFields && aChange.version) {
    return this->Put(aChange, *aChange.version, aFields);
  }
  if (this->isRetry) {
    // Fields filled in from the current record could differ from those of the
    // first request, and the retry would report a conflict.
    return this->Refuse("to retry an update, give all fields and --version");
  }
  auto current = this->Fetch(aChange);
  if (!current) {
    return this->queryFailed ? this->ExitAfterFailedQuery()
                             : this->Refuse("no such record: " + aChange.name);
  }
  Json value = current->value("value", Json::object());
  value.update(aFields);
  return this->Put(aChange, aChange.version.value_or(VersionOf(*current)),
                   value);
}

CtlExit CtlSession::Set(CtlChange aChange, const Json& aValue) {
  if (!aChange.version) {
    const auto current = this->Fetch(aChange);
    if (this->queryFailed) {
      return this->ExitAfterFailedQuery();
    }
    aChange.version = current ? VersionOf(*current) : 0;
  }
  return this->Put(aChange, *aChange.version, aValue);
}

CtlExit CtlSession::Delete(CtlChange aChange) {
  if (!aChange.version) {
    const auto current = this->Fetch(aChange);
    if (!current) {
      return this->queryFailed
                 ? this->ExitAfterFailedQuery()
                 : this->Refuse("no such record: " + aChange.name);
    }
    aChange.version = VersionOf(*current);
  }
  return this->SendChange({.method = "DELETE",
                           .path = PathOf(aChange),
                           .expectedVersion = aChange.version,
                           .token = "",
                           .body = ""});
}

CtlExit CtlSession::List(const std::string& aKind) {
  const auto body = this->Query(MakeGet("/v1/config/" + aKind));
  if (!body) {
    return CtlExit::Refused;
  }
  for (const Json& record : body->value("records", Json::array())) {
    this->options.output << fmt::format(
        "{} version={} {}\n", TextOf(record, "name"), VersionOf(record),
        record.value("value", Json::object()).dump());
  }
  return CtlExit::Accepted;
}

CtlExit CtlSession::GrantKey(const std::string& aOrganisation,
                             const std::string& aName) {
  Json body{{"organisation", aOrganisation}};
  if (!aName.empty()) {
    body["name"] = aName;
  }
  return this->SendChange({.method = "POST",
                           .path = "/v1/keys",
                           .expectedVersion = std::nullopt,
                           .token = "",
                           .body = body.dump()});
}

CtlExit CtlSession::WithdrawKey(const std::string& aId) {
  return this->SendChange({.method = "DELETE",
                           .path = "/v1/keys/" + aId,
                           .expectedVersion = std::nullopt,
                           .token = "",
                           .body = ""});
}

CtlExit CtlSession::ListKeys() {
  const auto body = this->Query(MakeGet("/v1/keys"));
  if (!body) {
    return CtlExit::Refused;
  }
  for (const Json& key : body->value("records", Json::array())) {
    this->options.output << fmt::format(
        "{} organisation={} name={} state={}\n", TextOf(key, "id"),
        TextOf(key, "organisation"), TextOf(key, "name"), TextOf(key, "state"));
  }
  return CtlExit::Accepted;
}

CtlExit CtlSession::Status() {
  constexpr int kIndent = 2;
  const auto body = this->Query(MakeGet("/v1/status"));
  if (!body) {
    return CtlExit::Refused;
  }
  this->options.output << body->dump(kIndent) << "\n";
  return CtlExit::Accepted;
}

CtlExit CtlSession::Explain(const Json& aRequest) {
  const auto body = this->Query({.method = "POST",
                                 .path = "/v1/explain",
                                 .expectedVersion = std::nullopt,
                                 .token = "",
                                 .body = aRequest.dump()});
  if (!body) {
    return CtlExit::Refused;
  }
  this->options.output << fmt::format(
      "route {} of service {} at version {}\n", TextOf(*body, "route"),
      TextOf(*body, "service"), VersionOf(*body));
  const Json labels = body->value("labels", Json::object());
  for (const auto& [label, decision] : labels.items()) {
    const std::string name = TextOf(decision, "name");
    this->options.output << fmt::format(
        "{}={} by {}{}{}\n", label, TextOf(decision, "value"),
        TextOf(decision, "by"), name.empty() ? "" : " ", name);
  }
  return CtlExit::Accepted;
}

std::optional<Json> CtlSession::Fetch(const CtlChange& aChange) {
  const CtlResponse response = this->client.Send(MakeGet(PathOf(aChange)));
  if (response.delivery == CtlDelivery::Responded) {
    Json body = ParseBody(response.body);
    if (response.status == kOk) {
      return body;
    }
    if (response.status == kNotFound) {
      return std::nullopt;
    }
    this->Refuse(TextOf(body, "error"));
  } else {
    this->Refuse("the node did not answer: " + response.error);
  }
  this->queryFailed = true;
  return std::nullopt;
}

CtlExit CtlSession::Put(const CtlChange& aChange, uint64_t aVersion,
                        const Json& aValue) {
  return this->SendChange({.method = "PUT",
                           .path = PathOf(aChange),
                           .expectedVersion = aVersion,
                           .token = "",
                           .body = aValue.dump()});
}

CtlExit CtlSession::SendChange(CtlRequest aRequest) {
  aRequest.token = this->options.token;
  return this->ReportChange(aRequest, this->client.Send(aRequest));
}

CtlExit CtlSession::ReportChange(const CtlRequest& aRequest,
                                 const CtlResponse& aResponse) {
  if (aResponse.delivery != CtlDelivery::Responded) {
    // A retry that was not sent does not tell whether the first request took
    // effect.
    if (aResponse.delivery == CtlDelivery::Lost || this->isRetry) {
      return this->ReportUnknown(aRequest, aResponse.error);
    }
    return this->Refuse("the node cannot be reached; nothing was changed: " +
                        aResponse.error);
  }
  const Json body = ParseBody(aResponse.body);
  const std::string status = TextOf(body, "status");
  for (const char* field : {"id", "key"}) {
    if (const std::string value = TextOf(body, field); !value.empty()) {
      this->options.output << field << " " << value << "\n";
    }
  }
  if (aResponse.status == kOk && status == "accepted") {
    this->options.output << fmt::format("accepted at version {}\n",
                                        VersionOf(body));
    if (body.contains("id") && !body.contains("key")) {
      this->options.errors << "the key was granted by an earlier request and "
                              "cannot be shown again; withdraw it and grant "
                              "another one\n";
    }
    return CtlExit::Accepted;
  }
  if (aResponse.status == kConflict && status == "conflict") {
    this->options.errors << fmt::format("conflict: the current version is {}\n",
                                        VersionOf(body));
    return CtlExit::Conflict;
  }
  const bool refused = status == "refused" ||
                       (aResponse.status == kNotFound && status == "missing");
  if (refused && !(this->isRetry && aResponse.status >= kServerError)) {
    return this->Refuse(status == "missing" ? "no such record"
                                            : TextOf(body, "error"));
  }
  if (aResponse.status >= kBadRequest && aResponse.status < kServerError) {
    return this->Refuse(fmt::format("HTTP status {}", aResponse.status));
  }
  return this->ReportUnknown(aRequest,
                             fmt::format("HTTP status {}", aResponse.status));
}

CtlExit CtlSession::ReportUnknown(const CtlRequest& aRequest,
                                  const std::string& aReason) {
  std::string retryOptions = "--token " + aRequest.token;
  if (aRequest.expectedVersion) {
    retryOptions += fmt::format(" --version {}", *aRequest.expectedVersion);
  }
  const Json body = ParseBody(aRequest.body);
  for (const char* field : {"rate", "burst", "weight"}) {
    if (body.contains(field)) {
      retryOptions += fmt::format(" --{} {}", field, body[field].dump());
    }
  }
  this->options.errors << fmt::format(
      "unknown: the change may have taken effect ({}); retry with the same "
      "command and {}\n",
      aReason, retryOptions);
  return CtlExit::Unknown;
}

CtlExit CtlSession::ExitAfterFailedQuery() const {
  return this->isRetry ? CtlExit::Unknown : CtlExit::Refused;
}

CtlExit CtlSession::Refuse(const std::string& aReason) {
  this->options.errors << "refused: " << aReason << "\n";
  return CtlExit::Refused;
}

std::optional<Json> CtlSession::Query(const CtlRequest& aRequest) {
  const CtlResponse response = this->client.Send(aRequest);
  if (response.delivery != CtlDelivery::Responded) {
    this->Refuse("the node did not answer: " + response.error);
    return std::nullopt;
  }
  Json body = ParseBody(response.body);
  if (response.status != kOk) {
    const std::string error = TextOf(body, "error");
    this->Refuse(error.empty() ? fmt::format("HTTP status {}", response.status)
                               : error);
    return std::nullopt;
  }
  return body;
}

}  // namespace fescueline
