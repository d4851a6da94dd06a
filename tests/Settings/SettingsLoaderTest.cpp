#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "Settings/SettingsLoader.h"

using namespace fescueline;

namespace {
const std::string kSecret = "0123456789abcdef0123456789abcdef-fleet";
const std::string kCredential = "0123456789abcdef0123456789abcdef-operator";

const std::string kValid =
    "node: n1\n"
    "data_centre: d1\n"
    "region: r1\n"
    "listen:\n"
    "  callers: 0.0.0.0:8080\n"
    "  peers: 0.0.0.0:7001\n"
    "  control: 0.0.0.0:7002\n"
    "advertise:\n"
    "  peers: 10.0.0.1:7001\n"
    "  control: 10.0.0.1:7002\n"
    "table: http://10.0.0.9:9000\n";

struct ProblemCase {
  std::string file;
  std::string listing;
};

/// A file in a directory of its own, removed at the end.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& aText) {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "settings-XXXXXX").string();
    this->directory = ::mkdtemp(pattern.data());
    this->Write("node.yaml", aText);
  }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  ~TemporaryFile() { std::filesystem::remove_all(this->directory); }

  void Write(const std::string& aName, const std::string& aText) const {
    std::ofstream(this->directory / aName) << aText;
  }
  std::string Path() const { return (this->directory / "node.yaml").string(); }

 private:
  std::filesystem::path directory;
};

std::optional<std::string> FleetSecretOnly(const std::string& aName) {
  return aName == "FESCUELINE_FLEET_SECRET" ? std::optional(kSecret)
                                            : std::nullopt;
}

/// The listing with the file's path replaced by "F", or "valid".
std::string Check(
    const std::string& aText,
    const SettingsLoader::Environment& aEnvironment = FleetSecretOnly) {
  const TemporaryFile file(aText);
  file.Write("secret", kSecret + "\n");
  file.Write("credential", kCredential + "\n");
  file.Write("short", "hunter2");
  try {
    SettingsLoader(aEnvironment).Load(file.Path());
  } catch (const SettingsError& error) {
    std::string listing = error.Listing();
    for (size_t at = 0;
         (at = listing.find(file.Path())) != std::string::npos;) {
      listing.replace(at, file.Path().size(), "F");
    }
    CHECK(std::string(error.what()).find("hunter2") == std::string::npos);
    return listing;
  }
  return "valid";
}
}  // namespace

// Guards against values that are stored in the wrong member, and wrong
// defaults.
TEST_CASE("a valid file gives the settings and the defaults") {
  const TemporaryFile file(kValid +
                           "seeds: [10.0.0.2:7001, '[::1]:7001']\n"
                           "operator_credential_file: credential\n"
                           "limits:\n"
                           "  freshness_limit: 8s\n"
                           "  max_body: 64KiB\n"
                           "  retry_ratio: 0.25\n");
  file.Write("credential", kCredential + "\n");
  const NodeSettings settings =
      SettingsLoader(FleetSecretOnly).Load(file.Path());
  CHECK(settings.node == "n1");
  CHECK(settings.dataCentre == "d1");
  CHECK(settings.region == "r1");
  CHECK(settings.listenCallers.ToString() == "0.0.0.0:8080");
  CHECK(settings.listenTarget.ToString() == "127.0.0.1:7000");
  CHECK(settings.listenAdmin.ToString() == "127.0.0.1:7003");
  CHECK(settings.advertiseControl.ToString() == "10.0.0.1:7002");
  CHECK(settings.table == "http://10.0.0.9:9000");
  CHECK(settings.seeds.size() == 2);
  CHECK(settings.fleetSecret.Reveal() == kSecret);
  CHECK(settings.operatorCredential.Reveal() == kCredential);
  CHECK(settings.workers == 2);
  CHECK(settings.freshnessLimit == std::chrono::seconds(8));
  CHECK(settings.refreshInterval == std::chrono::milliseconds(250));
  CHECK(settings.maxBody == 65536);
  CHECK(settings.retryRatio == 0.25);
  CHECK(settings.drainDeadline == std::chrono::seconds(50));
}

// Guards against invalid settings that are accepted, or reported without their
// position and the allowed values.
TEST_CASE("invalid settings are reported with line, key and what is allowed") {
  const std::string limits = kValid + "limits:\n";
  const std::vector<ProblemCase> cases = {
      {limits + "  freshnes_limit: 4s\n",
       "F:13: limits.freshnes_limit: unknown key; see docs/settings.md\n"},
      {limits + "  freshness_limit: 4\n",
       "F:13: limits.freshness_limit: must be a duration from 1s to 1m, such "
       "as 250ms or 4s\n"},
      {limits + "  max_body: 2MiB\n",
       "F:13: limits.max_body: must be a size from 1KiB to 1MiB, such as "
       "64KiB or 1MiB\n"},
      {kValid + "workers: [2]\n",
       "F:12: workers: must be a number from 1 to 64\n"},
      {limits + "  freshness_limit: 1s\n  refresh_interval: 500ms\n",
       "F:13: limits.freshness_limit: must be at least 4 times "
       "limits.refresh_interval (500ms)\n"},
      {kValid + "workers: 0\n",
       "F:12: workers: must be a number from 1 to 64\n"},
      {kValid + "workers: 1e1\n",
       "F:12: workers: must be a number from 1 to 64\n"},
      {limits + "  retry_ratio: nan\n",
       "F:13: limits.retry_ratio: must be a ratio from 0 to 1\n"},
      {kValid + "limits: 4s\n", "F:12: limits: must be a map of settings\n"},
      {kValid + "node: n2\n", "F:12: node: is set twice\n"},
      {kValid + "seeds: 10.0.0.2:7001\n",
       "F:12: seeds: must be a list of addresses, such as [10.0.0.1:7001], "
       "with at most 64 entries\n"},
      {kValid + "listen.admin: 127.0.0.1:1\n",
       "F:12: listen.admin: must not be written as one key\n"},
      {kValid + "? [a]\n: b\n", "F:12: a key must be a word\n"},
      {kValid + "x: [\n",
       "F:13: is not valid YAML: end of sequence flow not "
       "found\n"},
      {"- a\n", "F:1: must be a YAML map of settings\n"},
      {"", "F:1: must be a YAML map of settings\n"},
      {std::string(70'000, ' '), "F: is larger than 64KiB\n"},
      {kValid + "fleet_secret_file: secret\n",
       "F:12: fleet_secret_file: must not be set when environment "
       "FESCUELINE_FLEET_SECRET is set\n"},
      {kValid + "operator_credential_file: short\n",
       "F:12: operator_credential_file: the secret must be at least 32 "
       "characters\n"},
      {kValid + "operator_credential_file: missing\n",
       "F:12: operator_credential_file: the file must be readable and at most "
       "4KiB\n"},
      {kValid + "operator_credential_file: secret\n",
       "F:12: operator_credential_file: must differ from the fleet secret\n"},
  };
  for (const ProblemCase& row : cases) {
    CAPTURE(row.file);
    CHECK(Check(row.file) == row.listing);
  }
}

// Guards against combinations of settings that fail only at run time.
TEST_CASE("contradictory settings are refused") {
  std::string embedded = kValid;
  embedded.replace(embedded.find("http://10.0.0.9:9000"), 20, "embedded");
  CHECK(Check(embedded) == "valid");
  CHECK(Check(embedded + "seeds: [10.0.0.2:7001]\n") ==
        "F:12: seeds: must be empty when table is embedded, since the other "
        "nodes would have another table\n");

  std::string password = kValid;
  password.replace(password.find("10.0.0.9"), 8, "u:hunter2@h");
  CHECK(Check(password) ==
        "F:11: table: must be a URL http://host:port without a user name, or "
        "embedded\n");

  std::string ports = kValid;
  ports.replace(ports.find("0.0.0.0:7002"), 12, "127.0.0.1:7001");
  CHECK(Check(ports) ==
        "F:7: listen.control: must not share a port with listen.peers\n");

  std::string wildcard = kValid;
  wildcard.replace(wildcard.find("10.0.0.1:7001"), 13, "0.0.0.0:7001");
  CHECK(Check(wildcard) ==
        "F:9: advertise.peers: must be an address that other nodes can reach, "
        "not a wildcard or port 0\n");

  std::string target = kValid;
  target.replace(target.find("listen:\n"), 8,
                 "listen:\n  target: 10.0.0.1:7000\n");
  CHECK(Check(target) ==
        "F:5: listen.target: must be a loopback address, since calls on it are "
        "taken as the target's own\n");
}

// Guards against a check that stops at the first error.
TEST_CASE("all errors of a file are listed") {
  const std::string listing =
      Check("node: a b\nworkers: 65\nbad\tkey: 1\nlimits:\n  attempts: x\n");
  CHECK(listing.find("F: data_centre: is missing; must be a name of 1 to 63 "
                     "letters, digits, '.', '_' or '-', beginning with a "
                     "letter or digit\n") != std::string::npos);
  CHECK(listing.find("F:1: node: must be a name") != std::string::npos);
  CHECK(listing.find("F:2: workers: must be a number from 1 to 64\n") !=
        std::string::npos);
  CHECK(listing.find("F:3: bad?key: unknown key") != std::string::npos);
  CHECK(listing.find("F:5: limits.attempts: must be a number from 64 to "
                     "1048576\n") != std::string::npos);
}

// Guards against a node without a secret, and against secrets in messages.
TEST_CASE("secrets come from a file or the environment and are not printed") {
  const auto nothing = [](const std::string&) -> std::optional<std::string> {
    return std::nullopt;
  };
  CHECK(Check(kValid + "fleet_secret_file: secret\n", nothing) == "valid");
  CHECK(Check(kValid, nothing) ==
        "F: fleet_secret_file: is missing; set it or environment "
        "FESCUELINE_FLEET_SECRET\n");
  const auto weak = [](const std::string&) -> std::optional<std::string> {
    return "hunter2";
  };
  const std::string listing = Check(kValid, weak);
  CHECK(listing ==
        "F: fleet_secret_file: the secret must be at least 32 characters\n"
        "F: operator_credential_file: the secret must be at least 32 "
        "characters\n");
  CHECK(Check(kValid + "fleet_secret: hunter2\n").find("hunter2") ==
        std::string::npos);
}

// Guards against input that overflows the parser's stack.
TEST_CASE("deeply nested YAML is refused") {
  const std::string listing = Check(std::string(60'000, '['));
  CHECK(listing.find("is not valid YAML") != std::string::npos);
}

// Guards against an exit code that does not show the result of the check.
TEST_CASE("the check command returns 0 only for a valid file") {
  const TemporaryFile wrong(kValid + "workers: 0\n");
  std::ostringstream output;
  CHECK(CheckSettings(wrong.Path(), output) == 1);
  CHECK(output.str().find(wrong.Path() + ":12: workers: must be") !=
        std::string::npos);
  const TemporaryFile valid(kValid + "fleet_secret_file: secret\n");
  valid.Write("secret", kSecret);
  std::ostringstream success;
  CHECK(CheckSettings(valid.Path(), success) == 0);
  CHECK(success.str() == valid.Path() + ": valid\n");
  std::ostringstream missing;
  CHECK(CheckSettings("/nonexistent/node.yaml", missing) == 1);
  CHECK(missing.str() == "/nonexistent/node.yaml: cannot be read\n");
}

// Guards against documentation that is not updated with the settings.
TEST_CASE("docs/settings.md describes every setting") {
  const auto page =
      std::filesystem::path(__FILE__).parent_path() / "../../docs/settings.md";
  std::ifstream file(page);
  std::stringstream text;
  text << file.rdbuf();
  for (const SettingSpec& spec : SettingsTable()) {
    CAPTURE(spec.key);
    CHECK(text.str().find(DescribeRow(spec) + "\n") != std::string::npos);
  }
}
