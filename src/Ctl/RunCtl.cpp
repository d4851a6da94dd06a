#include "Ctl/RunCtl.h"

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Config/ConfigError.h"
#include "Config/KeyText.h"
#include "Config/LabelSet.h"
#include "Core/Error.h"
#include "Ctl/CtlSession.h"
#include "Settings/Units.h"

namespace fescueline {

namespace {
using Json = nlohmann::json;
using Command = std::function<CtlExit(CtlSession&)>;

constexpr const char* kCredentialVariable = "FESCUELINE_OPERATOR_CREDENTIAL";

/// Values of all options; only those of the selected command are set.
struct Arguments {
  std::string node;
  std::string credentialFile;
  std::string token;
  std::string timeout = "30s";
  std::string version;
  CtlChange change;
  std::optional<double> rate;
  std::optional<double> burst;
  std::optional<double> weight;
  std::string service;
  std::string path;
  std::vector<std::string> methods;
  std::vector<std::string> labels;
  std::string selector;
  std::string organisation;
  std::string method;
};

void CheckName(const std::string& aName, std::string_view aField) {
  if (!IsValidName(aName)) {
    throw ConfigError(aField, kNameRule);
  }
}

/// Value of --version. It is parsed here, as CLI11 would read "-1" as a large
/// unsigned number.
std::optional<uint64_t> VersionOf(const Arguments& aArguments) {
  if (aArguments.version.empty()) {
    return std::nullopt;
  }
  const auto version = ParseUnsigned(aArguments.version);
  if (!version) {
    throw ConfigError("--version", "must be a version number");
  }
  return version;
}

Json LabelsOf(const Arguments& aArguments) {
  Json labels = Json::object();
  for (const std::string& text : aArguments.labels) {
    const size_t equals = text.find('=');
    if (equals == std::string::npos) {
      throw ConfigError("--label", "must be NAME=VALUE");
    }
    labels[text.substr(0, equals)] = text.substr(equals + 1);
  }
  return labels;
}

Json OrganisationOf(const Arguments& aArguments) {
  Json value = Json::object();
  if (aArguments.rate) {
    value["rate"] = *aArguments.rate;
  }
  if (aArguments.burst) {
    value["burst"] = *aArguments.burst;
  }
  if (aArguments.weight) {
    value["weight"] = *aArguments.weight;
  }
  return value;
}

Json RouteOf(const Arguments& aArguments) {
  return {{"service", aArguments.service},
          {"path_prefix", aArguments.path},
          {"methods", aArguments.methods},
          {"labels", LabelsOf(aArguments)}};
}

Json RuleOf(const Arguments& aArguments) {
  return {{"selector", aArguments.selector}, {"labels", LabelsOf(aArguments)}};
}

Json ExplainOf(const Arguments& aArguments) {
  Json request{{"method", aArguments.method}, {"path", aArguments.path}};
  if (!aArguments.organisation.empty()) {
    request["organisation"] = aArguments.organisation;
  }
  return request;
}

/// Names of a kind of record in commands and help texts.
struct KindNames {
  const char* name;
  const char* noun;
  const char* plural;
};

/// Parser of the command line. Fills Arguments and selects the command.
class CtlParser {
 public:
  CtlParser()
      : app("Changes and shows the configuration of a fleet through any of its "
            "nodes. A change is\nreported as accepted once it is in force in "
            "the whole fleet, which takes a few seconds.",
            "fescueline ctl") {
    this->app.require_subcommand(1);
    this->app.footer(
        "The options of fescueline ctl, such as --node, may stand before or "
        "after the command.\nExit codes: 0 accepted or answered; 1 refused, "
        "nothing was changed; "
        "2 conflict, another\nchange came first; 3 unknown, retry with the "
        "printed --token. See docs/operators.md.");
    this->app
        .add_option("--node", this->arguments.node,
                    "Admin listener of a node, such as http://127.0.0.1:7003")
        ->type_name("URL")
        ->required();
    this->app
        .add_option("--credential-file", this->arguments.credentialFile,
                    "File with the operator credential; default: environment "
                    "FESCUELINE_OPERATOR_CREDENTIAL")
        ->type_name("FILE");
    this->app
        .add_option("--token", this->arguments.token,
                    "Retry the request that printed this token")
        ->type_name("TOKEN");
    this->app
        .add_option("--timeout", this->arguments.timeout,
                    "Maximum time to wait for the node")
        ->type_name("DURATION")
        ->capture_default_str();
    // Accepts the options above also after the command.
    this->app.fallthrough();
    this->AddOrganisations();
    this->AddRecords(
        {.name = "route", .noun = "a route", .plural = "routes"},
        "Routes: which service handles a path, and the labels of its requests",
        [this](CLI::App& aSet) { this->AddRouteOptions(aSet); }, &RouteOf);
    this->AddRecords(
        {.name = "rule", .noun = "a rule", .plural = "rules"},
        "Rules: labels for the requests that a selector matches",
        [this](CLI::App& aSet) { this->AddRuleOptions(aSet); }, &RuleOf);
    this->AddKeys();
    this->AddQueries();
  }
  CtlParser(const CtlParser&) = delete;
  CtlParser& operator=(const CtlParser&) = delete;

  /// Returns an exit code if there is no command to run: after --help or a
  /// syntax error.
  std::optional<int> Parse(int aCount, const char* const* aArguments,
                           std::ostream& aOutput, std::ostream& aErrors) {
    try {
      this->app.parse(aCount, aArguments);
    } catch (const CLI::ParseError& error) {
      const int code = this->app.exit(error, aOutput, aErrors);
      return code == 0 ? 0 : static_cast<int>(CtlExit::Refused);
    }
    return std::nullopt;
  }

  const Arguments& Values() const { return this->arguments; }
  const Command& SelectedCommand() const { return this->command; }

 private:
  CLI::App* AddGroup(const char* aName, const std::string& aHelp) {
    CLI::App* group = this->app.add_subcommand(aName, aHelp);
    group->require_subcommand(1);
    group->fallthrough();
    return group;
  }

  CLI::App* AddCommand(CLI::App& aParent, const char* aName,
                       const std::string& aHelp, Command aCommand) {
    CLI::App* added = aParent.add_subcommand(aName, aHelp);
    added->fallthrough();
    added->callback(
        [this, command = std::move(aCommand)] { this->command = command; });
    return added;
  }

  /// Adds a command that changes one named record.
  CLI::App* AddChange(CLI::App& aParent, const char* aName,
                      const std::string& aHelp, const KindNames& aKind,
                      std::function<CtlExit(CtlSession&, CtlChange)> aChange) {
    CLI::App* added =
        this->AddCommand(aParent, aName, aHelp,
                         [this, kind = aKind.name,
                          change = std::move(aChange)](CtlSession& aSession) {
                           CheckName(this->arguments.change.name, "NAME");
                           CtlChange target = this->arguments.change;
                           target.kind = kind;
                           target.version = VersionOf(this->arguments);
                           return change(aSession, target);
                         });
    added->add_option("NAME", this->arguments.change.name, "Name of the record")
        ->required();
    added
        ->add_option("--version", this->arguments.version,
                     "Refuse the change with a conflict unless the record has "
                     "this version (0: does not exist); default: the version "
                     "that the node knows")
        ->type_name("VERSION");
    return added;
  }

  void AddDeleteAndList(CLI::App& aGroup, const KindNames& aKind) {
    this->AddChange(aGroup, "delete", std::string("Delete ") + aKind.noun,
                    aKind, [](CtlSession& aSession, CtlChange aChange) {
                      return aSession.Delete(std::move(aChange));
                    });
    this->AddCommand(
        aGroup, "list",
        std::string("List all ") + aKind.plural + " with their versions",
        [kind = aKind.name](CtlSession& aSession) {
          return aSession.List(kind);
        });
  }

  void AddOrganisations() {
    constexpr KindNames kKind{
        .name = "org", .noun = "an organisation", .plural = "organisations"};
    CLI::App* group = this->AddGroup(
        kKind.name, "Organisations: rate, burst and weight of each");
    CLI::App* create = this->AddChange(
        *group, "create", "Create an organisation", kKind,
        [this](CtlSession& aSession, const CtlChange& aChange) {
          return aSession.Create(aChange, OrganisationOf(this->arguments));
        });
    CLI::App* update = this->AddChange(
        *group, "update", "Change some fields of an organisation", kKind,
        [this](CtlSession& aSession, const CtlChange& aChange) {
          return aSession.Update(aChange, OrganisationOf(this->arguments));
        });
    for (CLI::App* each : {create, update}) {
      const bool required = each == create;
      each->add_option("--rate", this->arguments.rate,
                       "Requests per second in the whole fleet")
          ->type_name("NUMBER")
          ->required(required);
      each->add_option("--burst", this->arguments.burst,
                       "Requests that may come at once, beyond the rate")
          ->type_name("NUMBER")
          ->required(required);
      each->add_option("--weight", this->arguments.weight,
                       "Share of a busy target relative to other "
                       "organisations; 1 is usual")
          ->type_name("NUMBER")
          ->required(required);
    }
    this->AddDeleteAndList(*group, kKind);
  }

  void AddRecords(const KindNames& aKind, const std::string& aHelp,
                  const std::function<void(CLI::App&)>& aAddOptions,
                  Json (*aValueOf)(const Arguments&)) {
    CLI::App* group = this->AddGroup(aKind.name, aHelp);
    CLI::App* set = this->AddChange(
        *group, "set",
        std::string("Create ") + aKind.noun + " or replace all its fields",
        aKind, [this, aValueOf](CtlSession& aSession, CtlChange aChange) {
          return aSession.Set(std::move(aChange), aValueOf(this->arguments));
        });
    set->add_option(
           "--label", this->arguments.labels,
           "Label; may be repeated. Labels with an effect: access=closed|open, "
           "importance=critical|high|normal|low, idempotent=yes|no, "
           "deadline=DURATION, retries=0..10")
        ->type_name("NAME=VALUE");
    aAddOptions(*set);
    this->AddDeleteAndList(*group, aKind);
  }

  void AddRouteOptions(CLI::App& aSet) {
    aSet.add_option("--service", this->arguments.service,
                    "Service that handles the requests")
        ->type_name("SERVICE")
        ->required();
    aSet.add_option("--path", this->arguments.path,
                    "Path prefix of whole segments, such as /fees")
        ->type_name("PATH")
        ->required();
    aSet.add_option("--method", this->arguments.methods,
                    "HTTP method; may be repeated; default: all")
        ->type_name("METHOD");
  }

  void AddRuleOptions(CLI::App& aSet) {
    aSet.add_option("--selector", this->arguments.selector,
                    "Requests that the rule applies to, such as "
                    "'service=fees,method in (POST,PUT),organisation!=acme'")
        ->type_name("SELECTOR")
        ->required();
  }

  void AddKeys() {
    CLI::App* group =
        this->AddGroup("key", "Keys that callers present for an organisation");
    CLI::App* grant = this->AddCommand(
        *group, "grant", "Grant a key and print it; it cannot be shown again",
        [this](CtlSession& aSession) {
          return aSession.GrantKey(this->arguments.organisation,
                                   this->arguments.change.name);
        });
    grant
        ->add_option("ORGANISATION", this->arguments.organisation,
                     "Organisation that requests with the key run for")
        ->required();
    grant->add_option("--name", this->arguments.change.name,
                      "Name for the key");
    CLI::App* withdraw = this->AddCommand(
        *group, "withdraw",
        "Withdraw a key; it stops working before this is reported",
        [this](CtlSession& aSession) {
          CheckName(this->arguments.change.name, "ID");
          return aSession.WithdrawKey(this->arguments.change.name);
        });
    withdraw
        ->add_option("ID", this->arguments.change.name,
                     "Id of the key, as printed by grant and list")
        ->required();
    this->AddCommand(*group, "list", "List all keys with their ids and states",
                     [](CtlSession& aSession) { return aSession.ListKeys(); });
  }

  void AddQueries() {
    this->AddCommand(this->app, "status",
                     "Show the node's state and the fleet as it knows it",
                     [](CtlSession& aSession) { return aSession.Status(); });
    CLI::App* explain =
        this->AddCommand(this->app, "explain",
                         "Show how a request would be handled, and the record "
                         "that decides each label",
                         [this](CtlSession& aSession) {
                           return aSession.Explain(ExplainOf(this->arguments));
                         });
    explain
        ->add_option("--method", this->arguments.method,
                     "HTTP method, such as GET")
        ->type_name("METHOD")
        ->required();
    explain
        ->add_option("--path", this->arguments.path, "Path, such as /fees/17")
        ->type_name("PATH")
        ->required();
    explain
        ->add_option("--organisation", this->arguments.organisation,
                     "Organisation of the caller; default: none")
        ->type_name("NAME");
  }

  CLI::App app;
  Arguments arguments;
  /// The selected command.
  Command command;
};

Secret ReadCredential(const std::string& aPath) {
  std::string text;
  if (!aPath.empty()) {
    std::ifstream file(aPath);
    if (!std::getline(file, text)) {
      throw Error("ctl.credential", aPath, "the file cannot be read");
    }
  } else if (const char* value = std::getenv(kCredentialVariable)) {
    text = value;
  }
  text.resize(text.find_last_not_of(" \t\r\n") + 1);
  if (text.empty() || text.find_first_of("\r\n") != std::string::npos) {
    throw Error("ctl.credential", aPath,
                "give one line with --credential-file or environment "
                "FESCUELINE_OPERATOR_CREDENTIAL");
  }
  return Secret(std::move(text));
}

CtlExit RunCommand(const CtlParser& aParser, std::ostream& aOutput,
                   std::ostream& aErrors) {
  const Arguments& values = aParser.Values();
  const auto timeout = ParseDuration(values.timeout);
  if (!timeout || *timeout < std::chrono::milliseconds(1)) {
    throw ConfigError("--timeout", "must be a duration such as 30s");
  }
  if (!values.token.empty()) {
    CheckToken(values.token);
  }
  const CtlClient client({.url = values.node,
                          .credential = ReadCredential(values.credentialFile),
                          .timeout = *timeout});
  CtlSession session(
      client, {.token = values.token, .output = aOutput, .errors = aErrors});
  return aParser.SelectedCommand()(session);
}
}  // namespace

int RunCtl(int aCount, char** aArguments) {
  return RunCtl(aCount, aArguments, std::cout, std::cerr);
}

int RunCtl(int aCount, const char* const* aArguments, std::ostream& aOutput,
           std::ostream& aErrors) {
  CtlParser parser;
  if (const auto code = parser.Parse(aCount, aArguments, aOutput, aErrors)) {
    return *code;
  }
  try {
    return static_cast<int>(RunCommand(parser, aOutput, aErrors));
  } catch (const ConfigError& error) {
    aErrors << "refused: " << error.Description() << "\n";
  } catch (const Error& error) {
    aErrors << "refused: " << error.what() << "\n";
  } catch (const nlohmann::json::exception&) {
    // Nothing was changed: only queries read nested fields of a response, and a
    // change with invalid UTF-8 fails before it is sent.
    aErrors << "refused: an argument is not valid UTF-8, or the node's "
               "response has an unknown format\n";
  }
  return static_cast<int>(CtlExit::Refused);
}

}  // namespace fescueline
