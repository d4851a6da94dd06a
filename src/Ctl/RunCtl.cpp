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

/// Values of all options; only those of the chosen command are set.
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

/// CLI11 would read "-1" as a large unsigned number.
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

/// The command line's grammar. Binds options to Arguments and picks the
/// command.
class CtlParser {
 public:
  CtlParser() : app("Operators' commands of fescueline", "ctl") {
    this->app.require_subcommand(1);
    this->app
        .add_option("--node", this->arguments.node,
                    "URL of a node's admin listener")
        ->required();
    this->app.add_option("--credential-file", this->arguments.credentialFile,
                         "File with the operator credential; default: "
                         "environment FESCUELINE_OPERATOR_CREDENTIAL");
    this->app.add_option("--token", this->arguments.token,
                         "Token of an earlier request, to repeat it");
    this->app.add_option("--timeout", this->arguments.timeout,
                         "Longest wait for the node, such as 30s");
    // Lets the options above also follow the command.
    this->app.fallthrough();
    this->AddOrganisations();
    this->AddRecords(
        "route", "routes",
        [this](CLI::App& aSet) { this->AddRouteOptions(aSet); }, &RouteOf);
    this->AddRecords(
        "rule", "rules", [this](CLI::App& aSet) { this->AddRuleOptions(aSet); },
        &RuleOf);
    this->AddKeys();
    this->AddQuestions();
  }
  CtlParser(const CtlParser&) = delete;
  CtlParser& operator=(const CtlParser&) = delete;

  /// The exit code if the command ends here, such as for --help.
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
  const Command& Chosen() const { return this->command; }

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

  /// A command that changes one named record.
  CLI::App* AddChange(CLI::App& aParent, const char* aName, const char* aKind,
                      std::function<CtlExit(CtlSession&, CtlChange)> aChange) {
    CLI::App* added = this->AddCommand(
        aParent, aName, std::string(aName) + " a record",
        [this, aKind, change = std::move(aChange)](CtlSession& aSession) {
          CheckName(this->arguments.change.name, "NAME");
          CtlChange target = this->arguments.change;
          target.kind = aKind;
          target.version = VersionOf(this->arguments);
          return change(aSession, target);
        });
    added->add_option("NAME", this->arguments.change.name, "Name of the record")
        ->required();
    added->add_option("--version", this->arguments.version,
                      "Version that the record must have; default: its "
                      "current one");
    return added;
  }

  void AddDeleteAndList(CLI::App& aGroup, const char* aKind) {
    this->AddChange(aGroup, "delete", aKind,
                    [](CtlSession& aSession, CtlChange aChange) {
                      return aSession.Delete(std::move(aChange));
                    });
    this->AddCommand(
        aGroup, "list", "list the records",
        [aKind](CtlSession& aSession) { return aSession.List(aKind); });
  }

  void AddOrganisations() {
    CLI::App* group = this->AddGroup("org", "organisations");
    CLI::App* create = this->AddChange(
        *group, "create", "org",
        [this](CtlSession& aSession, const CtlChange& aChange) {
          return aSession.Create(aChange, OrganisationOf(this->arguments));
        });
    CLI::App* update = this->AddChange(
        *group, "update", "org",
        [this](CtlSession& aSession, const CtlChange& aChange) {
          return aSession.Update(aChange, OrganisationOf(this->arguments));
        });
    for (CLI::App* each : {create, update}) {
      const bool required = each == create;
      each->add_option("--rate", this->arguments.rate, "Requests per second")
          ->required(required);
      each->add_option("--burst", this->arguments.burst, "Requests at once")
          ->required(required);
      each->add_option("--weight", this->arguments.weight,
                       "Weight of its fair share")
          ->required(required);
    }
    this->AddDeleteAndList(*group, "org");
  }

  void AddRecords(const char* aKind, const std::string& aHelp,
                  const std::function<void(CLI::App&)>& aAddOptions,
                  Json (*aValueOf)(const Arguments&)) {
    CLI::App* group = this->AddGroup(aKind, aHelp);
    CLI::App* set = this->AddChange(
        *group, "set", aKind,
        [this, aValueOf](CtlSession& aSession, CtlChange aChange) {
          return aSession.Set(std::move(aChange), aValueOf(this->arguments));
        });
    set->add_option("--label", this->arguments.labels, "Label NAME=VALUE");
    aAddOptions(*set);
    this->AddDeleteAndList(*group, aKind);
  }

  void AddRouteOptions(CLI::App& aSet) {
    aSet.add_option("--service", this->arguments.service, "Service")
        ->required();
    aSet.add_option("--path", this->arguments.path, "Path prefix")->required();
    aSet.add_option("--method", this->arguments.methods,
                    "HTTP method; default: all");
  }

  void AddRuleOptions(CLI::App& aSet) {
    aSet.add_option("--selector", this->arguments.selector,
                    "Label selector of requests")
        ->required();
  }

  void AddKeys() {
    CLI::App* group = this->AddGroup("key", "callers' keys");
    CLI::App* grant = this->AddCommand(
        *group, "grant", "grant a key, which is printed once",
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
        *group, "withdraw", "withdraw a key", [this](CtlSession& aSession) {
          CheckName(this->arguments.change.name, "ID");
          return aSession.WithdrawKey(this->arguments.change.name);
        });
    withdraw->add_option("ID", this->arguments.change.name, "Id of the key")
        ->required();
    this->AddCommand(*group, "list", "list the keys",
                     [](CtlSession& aSession) { return aSession.ListKeys(); });
  }

  void AddQuestions() {
    this->AddCommand(this->app, "status", "print the node's state",
                     [](CtlSession& aSession) { return aSession.Status(); });
    CLI::App* explain = this->AddCommand(
        this->app, "explain", "print how a request would be handled and why",
        [this](CtlSession& aSession) {
          return aSession.Explain(ExplainOf(this->arguments));
        });
    explain->add_option("--method", this->arguments.method, "HTTP method")
        ->required();
    explain->add_option("--path", this->arguments.path, "Path")->required();
    explain->add_option("--organisation", this->arguments.organisation,
                        "Organisation of the caller");
  }

  /// Grammar.
  CLI::App app;
  /// Parsed values.
  Arguments arguments;
  /// The chosen command.
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
  return aParser.Chosen()(session);
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
    // Only questions read nested fields of an answer, and a change with
    // invalid UTF-8 fails before it is sent.
    aErrors << "refused: an argument is not valid UTF-8, or the node's answer "
               "has an unknown format\n";
  }
  return static_cast<int>(CtlExit::Refused);
}

}  // namespace fescueline
