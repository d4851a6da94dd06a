#include <doctest/doctest.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>

#include "PlatformAdapter/MeshTestFleet.h"
#include "Process/ProcessNode.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {
/// Commands of docs/OPERATIONS.md.
constexpr const char* kLinesOfRequest =
    R"(grep -h '"request":"ID' node-*.log | sort)";
constexpr const char* kIssuerLeases =
    R"(grep -h '"issuer lease' node-*.log | sort)";
constexpr const char* kLinesOfRates =
    R"(grep -h '"event":"rate limit in force"' node-*.log | sort)";

/// Temporary folder for logs; the working directory during the object's
/// lifetime.
class LogFolder {
 public:
  LogFolder() : before(std::filesystem::current_path()) {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "fescueline-XXXXXX").string();
    REQUIRE(mkdtemp(pattern.data()) != nullptr);
    this->folder = pattern;
    std::filesystem::current_path(this->folder);
  }
  LogFolder(const LogFolder&) = delete;
  LogFolder& operator=(const LogFolder&) = delete;
  ~LogFolder() {
    std::error_code error;
    std::filesystem::current_path(this->before, error);
    std::filesystem::remove_all(this->folder, error);
  }

 private:
  std::filesystem::path before;
  std::filesystem::path folder;
};

using Lines = std::vector<nlohmann::json>;

/// Checks that docs/OPERATIONS.md contains a command, and runs it.
Lines Run(std::string aCommand, const std::string& aId = "") {
  const char* docs = std::getenv("FESCUELINE_DOCS");
  REQUIRE_MESSAGE(docs != nullptr, "FESCUELINE_DOCS is not set");
  std::ifstream page(std::string(docs) + "/OPERATIONS.md");
  std::stringstream text;
  text << page.rdbuf();
  CAPTURE(aCommand);
  CHECK(text.str().find(aCommand) != std::string::npos);

  const size_t id = aCommand.find("ID");
  if (id != std::string::npos) {
    aCommand.replace(id, 2, aId);
  }
  const std::unique_ptr<FILE, int (*)(FILE*)> pipe(popen(aCommand.c_str(), "r"),
                                                   pclose);
  REQUIRE(pipe != nullptr);
  std::string output;
  char part[4096];
  while (const size_t size = fread(part, 1, sizeof(part), pipe.get())) {
    output.append(part, size);
  }
  Lines lines;
  std::stringstream split(output);
  for (std::string line; std::getline(split, line);) {
    lines.push_back(nlohmann::json::parse(line));
  }
  return lines;
}

/// The lines as text, to show with a check that fails.
std::string Text(const Lines& aLines) {
  std::string text;
  for (const nlohmann::json& line : aLines) {
    text += line.dump() + "\n";
  }
  return text;
}

/// The first line of an event whose fields have these values.
const nlohmann::json* Find(const Lines& aLines, const std::string& aEvent,
                           const std::map<std::string, std::string>& aFields) {
  for (const nlohmann::json& line : aLines) {
    bool found = line.at("event") == aEvent;
    for (const auto& [key, value] : aFields) {
      found = found && line.value(key, "") == value;
    }
    if (found) {
      return &line;
    }
  }
  return nullptr;
}

using TestFleet = MeshTestFleetOf<ProcessNode>;

/// Waits until each node serves lookups through each target, and discards the
/// answers so far.
void WaitServing(TestFleet& aFleet) {
  constexpr size_t kFronts = 2;
  for (size_t node = 0; node < aFleet.Size(); ++node) {
    const uint64_t before[kFronts] = {aFleet.Target(0).Runs(),
                                      aFleet.Target(1).Runs()};
    REQUIRE(RunUntil(
        aFleet.io,
        [&] {
          return aFleet.Call(node, "GET", "/lookup/").status == 200 &&
                 aFleet.Target(0).Runs() > before[0] &&
                 aFleet.Target(1).Runs() > before[1];
        },
        10s));
  }
  aFleet.answers.clear();
}

/// Nodes write their log lines in batches.
constexpr auto kLogDelay = 1500ms;
}  // namespace

// Guards against logs that do not show why a caller was refused by its rate.
TEST_CASE("process-operations-rate") {
  const LogFolder folder;
  TestFleet fleet({.fronts = 2, .deeps = 1, .frontCalls = false});
  WaitServing(fleet);
  constexpr double kRate = 5;
  fleet.PutConfig(2, {"acme-key"}, kRate);
  fleet.Pass(1500ms);
  constexpr int kSent = 60;
  for (int i = 0; i < kSent; ++i) {
    fleet.Send(i % 2, fmt::format("walk{}-", i), "GET", "/lookup/");
  }
  REQUIRE(fleet.WaitAnswers(kSent));
  std::string refused;
  for (const auto& [id, answer] : fleet.answers) {
    refused = answer.status == 429 ? id : refused;
  }
  REQUIRE_FALSE(refused.empty());
  fleet.Pass(kLogDelay);

  const Lines lines = Run(kLinesOfRequest, refused);
  CHECK(lines.size() == 1);
  CHECK(Find(lines, "request refused",
             {{"request", refused},
              {"cause", "rate-exceeded"},
              {"outcome", "not-run"},
              {"organisation", "acme"},
              {"attempts", "0"}}) != nullptr);
  CHECK(Find(Run(kIssuerLeases), "issuer lease gained", {}) != nullptr);
  CHECK(Find(Run(kLinesOfRates), "rate limit in force",
             {{"organisation", "acme"}, {"per_second", "5"}}) != nullptr);
}

// Guards against logs that do not show where a payment failed.
TEST_CASE("process-operations-unknown-outcome") {
  const LogFolder folder;
  TestFleet fleet({.fronts = 2, .deeps = 1, .frontCalls = false});
  WaitServing(fleet);
  fleet.Target(0).SetLose(1.0);
  fleet.Target(1).SetLose(1.0);
  fleet.Send(0, "payment", "POST", "/filing/");
  REQUIRE(fleet.WaitAnswers(1));
  CHECK(fleet.answers["payment"].status == 502);
  CHECK(fleet.RunsOf("payment") == 1);
  fleet.Pass(kLogDelay);

  const Lines lines = Run(kLinesOfRequest, "payment");
  const nlohmann::json* broken =
      Find(lines, "response broken off by the target", {{"route", "filing"}});
  REQUIRE(broken != nullptr);
  CHECK_FALSE(broken->at("target").get<std::string>().empty());
  CHECK_FALSE(broken->at("error").get<std::string>().empty());
  CHECK(Find(lines, "request refused",
             {{"outcome", "unknown"},
              {"cause", "target-failed"},
              {"attempts", "1"}}) != nullptr);
  CHECK(Find(lines, "request repeated", {}) == nullptr);
}

// Guards against logs that do not show why a lookup was retried.
TEST_CASE("process-operations-repeated-lookup") {
  const LogFolder folder;
  TestFleet fleet({.fronts = 2, .deeps = 1, .frontCalls = false});
  WaitServing(fleet);
  fleet.Target(0).SetShed(1.0);
  constexpr int kSent = 20;
  for (int i = 0; i < kSent; ++i) {
    fleet.Send(i % 2, fmt::format("walk{}-", i), "GET", "/lookup/");
  }
  REQUIRE(fleet.WaitAnswers(kSent));
  fleet.Pass(kLogDelay);

  const Lines repeated = Run(kLinesOfRequest, "walk");
  const nlohmann::json* line =
      Find(repeated, "request repeated", {{"cause", "target-shed"}});
  REQUIRE(line != nullptr);
  const std::string id = line->at("request");
  const Lines lines = Run(kLinesOfRequest, id);
  INFO(Text(lines));
  CHECK(fleet.answers[id].status == 200);
  const nlohmann::json* attempt =
      Find(lines, "attempt failed", {{"cause", "target-shed"}});
  REQUIRE(attempt != nullptr);
  CHECK(attempt->contains("queued"));
  CHECK(attempt->contains("running"));
}
