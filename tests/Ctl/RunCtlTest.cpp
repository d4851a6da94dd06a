#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "Ctl/CtlSession.h"
#include "Ctl/RunCtl.h"
#include "Ctl/StandInNode.h"

using namespace fescueline;

namespace {
const std::string kCredential = "0123456789abcdef0123456789abcdef";

struct CommandCase {
  std::vector<std::string> arguments;
  CtlExit exit;
  std::string output;
  std::string errors;
};

struct CommandResult {
  CtlExit exit;
  std::string output;
  std::string errors;
};

/// Runs commands against a node, with the credential in a file.
class CtlRunner {
 public:
  CtlRunner() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "ctl-XXXXXX").string();
    this->directory = ::mkdtemp(pattern.data());
    std::ofstream(this->directory / "credential") << kCredential << "\n";
  }
  CtlRunner(const CtlRunner&) = delete;
  CtlRunner& operator=(const CtlRunner&) = delete;
  ~CtlRunner() { std::filesystem::remove_all(this->directory); }

  CommandResult Run(const std::string& aUrl,
                    const std::vector<std::string>& aArguments) const {
    std::vector<std::string> words{"ctl", "--node", aUrl, "--credential-file",
                                   (this->directory / "credential").string()};
    words.insert(words.end(), aArguments.begin(), aArguments.end());
    std::vector<const char*> pointers;
    for (const std::string& word : words) {
      pointers.push_back(word.c_str());
    }
    std::ostringstream output;
    std::ostringstream errors;
    const int code = RunCtl(static_cast<int>(pointers.size()), pointers.data(),
                            output, errors);
    return {.exit = static_cast<CtlExit>(code),
            .output = output.str(),
            .errors = errors.str()};
  }

 private:
  /// Directory of the credential file.
  std::filesystem::path directory;
};

/// The word after "--token ".
std::string TokenIn(const std::string& aText) {
  const size_t start = aText.find("--token ") + 8;
  return aText.substr(start, aText.find_first_of(" \n", start) - start);
}

std::string SecondWordOfLine(const std::string& aText,
                             const std::string& aFirst) {
  const size_t start = aText.find(aFirst + " ") + aFirst.size() + 1;
  return aText.substr(start, aText.find('\n', start) - start);
}

const std::vector<std::string> kCreate = {
    "org", "create", "acme", "--rate", "10", "--burst", "20", "--weight", "1"};
}  // namespace

// Guards against commands that change something else than requested, or whose
// exit code misleads a script.
TEST_CASE("commands change and show records") {
  const std::vector<CommandCase> cases = {
      {kCreate, CtlExit::Accepted, "accepted at version 1\n", ""},
      {kCreate, CtlExit::Conflict, "", "conflict: the current version is 1\n"},
      {{"org", "update", "acme", "--rate", "11"},
       CtlExit::Accepted,
       "accepted at version 2\n",
       ""},
      {{"org", "update", "acme", "--rate", "12", "--version", "1"},
       CtlExit::Conflict,
       "",
       "conflict: the current version is 2\n"},
      {{"org", "update", "none", "--rate", "1"},
       CtlExit::Refused,
       "",
       "refused: no such record: none\n"},
      {{"org", "list"},
       CtlExit::Accepted,
       "acme version=2 {\"burst\":20.0,\"rate\":11.0,\"weight\":1.0}\n",
       ""},
      {{"route", "set", "fees", "--service", "fees", "--path", "/fees",
        "--method", "GET", "--method", "POST", "--label", "importance=high"},
       CtlExit::Accepted,
       "accepted at version 3\n",
       ""},
      {{"route", "set", "fees", "--service", "fees", "--path", "/fees",
        "--label", "importance=low"},
       CtlExit::Accepted,
       "accepted at version 4\n",
       ""},
      {{"rule", "set", "big", "--selector", "organisation=acme", "--label",
        "retries=0"},
       CtlExit::Accepted,
       "accepted at version 5\n",
       ""},
      {{"rule", "set", "bad", "--selector", "organisation=", "--label",
        "retries=0"},
       CtlExit::Refused,
       "",
       "refused: selector: column 14: a value must be 1 to 63 letters, digits, "
       "'.', '_' or '-', beginning with a letter or digit\n"},
      {{"explain", "--method", "PUT", "--path", "/fees/1", "--organisation",
        "acme"},
       CtlExit::Accepted,
       "route fees of service fees at version 5\n"
       "access=closed by default\n"
       "deadline=10s by default\n"
       "idempotent=no by default\n"
       "importance=low by route fees\n"
       "retries=0 by rule big\n",
       ""},
      {{"explain", "--method", "PUT", "--path", "/other"},
       CtlExit::Refused,
       "",
       "refused: no route for this method and path\n"},
      {{"rule", "list"},
       CtlExit::Accepted,
       "big version=5 {\"labels\":{\"retries\":\"0\"},\"selector\":"
       "\"organisation=acme\"}\n",
       ""},
      {{"rule", "delete", "big"},
       CtlExit::Accepted,
       "accepted at version 6\n",
       ""},
      {{"route", "delete", "fees", "--version", "3"},
       CtlExit::Conflict,
       "",
       "conflict: the current version is 4\n"},
      {{"route", "delete", "none"},
       CtlExit::Refused,
       "",
       "refused: no such record: none\n"},
      {{"key", "withdraw", "none"},
       CtlExit::Refused,
       "",
       "refused: no such record\n"},
      {{"org", "delete", "acme"},
       CtlExit::Accepted,
       "accepted at version 7\n",
       ""},
  };
  StandInNode node(kCredential);
  const CtlRunner runner;
  for (const CommandCase& row : cases) {
    std::string line;
    for (const std::string& word : row.arguments) {
      line += word + " ";
    }
    CAPTURE(line);
    const CommandResult result = runner.Run(node.Url(), row.arguments);
    CHECK(result.exit == row.exit);
    CHECK(result.output == row.output);
    CHECK(result.errors == row.errors);
  }
}

// Guards against arguments that inject characters into URLs or headers.
TEST_CASE("invalid command lines are refused before anything is sent") {
  const std::string unreachable = "http://127.0.0.1:1";
  const std::vector<std::vector<std::string>> cases = {
      {},
      {"org"},
      {"org", "create", "acme"},
      {"org", "delete", "a/../b"},
      {"org", "delete", "a\r\nX-Header: 1"},
      {"org", "create", "a b", "--rate", "1", "--burst", "1", "--weight", "1"},
      {"org", "update", "acme", "--rate", "x"},
      {"org", "delete", "acme", "--version", "-1"},
      {"org", "delete", "acme", "--token", "a\r\nb"},
      {"route", "set", "r", "--service", "s", "--path", "/", "--label", "x"},
      {"key", "withdraw", "a/b"},
      {"status", "--timeout", "5"},
      {"unknown"},
  };
  const CtlRunner runner;
  for (const auto& arguments : cases) {
    const std::string first = arguments.empty() ? "" : arguments.front();
    CAPTURE(first);
    const CommandResult result = runner.Run(unreachable, arguments);
    CHECK(result.exit == CtlExit::Refused);
    CHECK_FALSE(result.errors.empty());
    CHECK(result.errors.find("did not answer") == std::string::npos);
    CHECK(result.errors.find("cannot be reached") == std::string::npos);
  }
  for (const std::string url : {"ftp://127.0.0.1", "http://u:p@127.0.0.1",
                                "127.0.0.1:1", "http://h\r\nX: 1"}) {
    CAPTURE(url);
    CHECK(runner.Run(url, {"status"}).exit == CtlExit::Refused);
  }
  CHECK(runner.Run(unreachable, {"--help"}).exit == CtlExit::Accepted);
}

// Guards against a change applied twice, and against a lost response reported
// as a refusal.
TEST_CASE("a lost response is unknown and a retry with the token resolves it") {
  StandInNode node(kCredential);
  const CtlRunner runner;
  node.DropResponses(1);
  const CommandResult lost = runner.Run(node.Url(), kCreate);
  CHECK(lost.exit == CtlExit::Unknown);
  CHECK(lost.errors.find("--version 0 --rate 10.0 --burst 20.0 --weight 1.0") !=
        std::string::npos);
  std::vector<std::string> repeat = kCreate;
  repeat.insert(repeat.end(), {"--token", TokenIn(lost.errors)});
  CommandResult retried = runner.Run(node.Url(), repeat);
  CHECK(retried.exit == CtlExit::Accepted);
  CHECK(retried.output == "accepted at version 1\n");

  node.DropResponses(1);
  const CommandResult update =
      runner.Run(node.Url(), {"org", "update", "acme", "--rate", "5"});
  CHECK(update.exit == CtlExit::Unknown);
  const std::string token = TokenIn(update.errors);
  // Another operator's change in between must not make the retry look refused.
  CHECK(
      runner.Run(node.Url(), {"org", "update", "acme", "--burst", "7"}).exit ==
      CtlExit::Accepted);
  CHECK(runner
            .Run(node.Url(),
                 {"org", "update", "acme", "--rate", "5", "--token", token})
            .exit == CtlExit::Refused);
  retried = runner.Run(
      node.Url(), {"org", "update", "acme", "--token", token, "--version", "1",
                   "--rate", "5.0", "--burst", "20.0", "--weight", "1.0"});
  CHECK(retried.exit == CtlExit::Accepted);
  CHECK(retried.output == "accepted at version 2\n");
  CHECK(node.Table().ChangesSince(0, 1).version == 3);
}

// Guards against "refused" for a retry that did not reach the node: the first
// request may have taken effect.
TEST_CASE(
    "with an unreachable node a new change is refused and a retry is unknown") {
  const CtlRunner runner;
  std::string url;
  {
    const StandInNode node(kCredential);
    url = node.Url();
  }
  CHECK(runner.Run(url, kCreate).exit == CtlExit::Refused);
  std::vector<std::string> repeat = kCreate;
  repeat.insert(repeat.end(), {"--token", "t"});
  CHECK(runner.Run(url, repeat).exit == CtlExit::Unknown);
  CHECK(runner.Run(url, {"org", "delete", "acme", "--token", "t"}).exit ==
        CtlExit::Unknown);
  CHECK(runner.Run(url, {"org", "list"}).exit == CtlExit::Refused);
}

// Guards against a proxy's error page taken for the node's response.
TEST_CASE("statuses without a known body map to refused or unknown") {
  StandInNode node(kCredential);
  const CtlRunner runner;
  for (const int status : {400, 401, 404, 409, 413}) {
    CAPTURE(status);
    node.RespondWith(status);
    CHECK(runner.Run(node.Url(), kCreate).exit == CtlExit::Refused);
  }
  for (const int status : {200, 301, 500, 502, 503, 504}) {
    CAPTURE(status);
    node.RespondWith(status);
    CHECK(runner.Run(node.Url(), kCreate).exit == CtlExit::Unknown);
  }
}

// Guards against a key that is printed twice or not at all.
TEST_CASE("a granted key is printed once and can be withdrawn") {
  StandInNode node(kCredential);
  const CtlRunner runner;
  runner.Run(node.Url(), kCreate);
  const CommandResult granted =
      runner.Run(node.Url(), {"key", "grant", "acme", "--name", "ci"});
  CHECK(granted.exit == CtlExit::Accepted);
  const std::string id = SecondWordOfLine(granted.output, "id");
  const std::string key = SecondWordOfLine(granted.output, "key");
  CHECK(key.starts_with("fk_"));
  CHECK(node.Table().Get("key/" + ToHex(AsBytes(Sha256(key)))).has_value());
  CHECK(runner.Run(node.Url(), {"key", "withdraw", id}).exit ==
        CtlExit::Accepted);
  CHECK(runner.Run(node.Url(), {"key", "list"}).output ==
        id + " organisation=acme name=ci state=withdrawn\n");

  node.DropResponses(1);
  const CommandResult lost = runner.Run(node.Url(), {"key", "grant", "acme"});
  CHECK(lost.exit == CtlExit::Unknown);
  const CommandResult repeated = runner.Run(
      node.Url(), {"key", "grant", "acme", "--token", TokenIn(lost.errors)});
  CHECK(repeated.exit == CtlExit::Accepted);
  CHECK(repeated.output.find("key ") == std::string::npos);
  CHECK(repeated.errors.find("cannot be shown again") != std::string::npos);
  CHECK(node.Table().List("key/").size() == 2);
}

// Guards against a credential that appears in the output.
TEST_CASE("a wrong credential is refused and not printed") {
  StandInNode node("another-credential-of-32-characters");
  const CtlRunner runner;
  const CommandResult result = runner.Run(node.Url(), {"status"});
  CHECK(result.exit == CtlExit::Refused);
  CHECK(result.errors ==
        "refused: the operator credential is missing or wrong\n");
  CHECK((result.output + result.errors).find(kCredential) == std::string::npos);
}
