#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <nlohmann/json.hpp>
#include <sstream>

#include "Log/EventLimiter.h"
#include "Log/LineWriter.h"
#include "Log/Log.h"

using namespace fescueline;
using namespace std::chrono_literals;

namespace {

/// Both ends of a pipe.
struct Pipe {
  Pipe() { REQUIRE(pipe2(this->ends.data(), O_CLOEXEC) == 0); }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;
  ~Pipe() {
    close(this->ends[0]);
    close(this->ends[1]);
  }
  std::string ReadAll() const {
    std::string all;
    std::array<char, 65536> part{};
    fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
    for (ssize_t count = 0;
         (count = read(this->ends[0], part.data(), part.size())) > 0;) {
      all.append(part.data(), static_cast<size_t>(count));
    }
    return all;
  }

  std::array<int, 2> ends{};
};

}  // namespace

// Guards against a node that blocks because its log is not read.
TEST_CASE("without a reader, writing never blocks and memory is bounded") {
  const Pipe pipe;
  LineWriter writer({.descriptor = pipe.ends[1], .capacity = 10'000});
  ManualClock clock;
  const std::string line(100, 'x');
  constexpr uint64_t kLines = 5000;
  uint64_t kept = 0;
  for (uint64_t i = 0; i < kLines; ++i) {
    kept += writer.Write(line, clock.Now()) ? 1 : 0;
    clock.Advance(1ms);
    REQUIRE(writer.BufferedBytes() <= 10'000);
  }
  CHECK(kept < kLines);
  CHECK(writer.TakeDropped() == kLines - kept);
  // Once the reader reads, all buffered lines arrive complete.
  std::string all;
  while (writer.BufferedBytes() > 0) {
    all += pipe.ReadAll();
    writer.Flush(clock.Now());
  }
  all += pipe.ReadAll();
  CHECK(all.size() == kept * (line.size() + 1));
}

// Guards against one system call per line.
TEST_CASE("lines are written in batches with bounded delay") {
  const Pipe pipe;
  LineWriter writer({.descriptor = pipe.ends[1]});
  ManualClock clock;
  writer.Write("first", clock.Now());
  CHECK(writer.BufferedBytes() == 0);
  writer.Write("second", clock.Now());
  CHECK(writer.BufferedBytes() > 0);
  clock.Advance(150ms);
  writer.Write("third", clock.Now());
  CHECK(writer.BufferedBytes() == 0);
  CHECK(pipe.ReadAll() == "first\nsecond\nthird\n");
}

// Guards against one event that displaces another, and against a lost count.
TEST_CASE("the first lines of each event per second are allowed") {
  EventLimiter limiter(3);
  ManualClock clock;
  int kept = 0;
  for (int i = 0; i < 10; ++i) {
    kept += limiter.Allow("burst", clock.Now()) ? 1 : 0;
  }
  CHECK(kept == 3);
  CHECK(limiter.Allow("rare", clock.Now()));
  CHECK(limiter.TakeSuppressed(clock.Now()).empty());
  clock.Advance(1s);
  const auto suppressed = limiter.TakeSuppressed(clock.Now());
  REQUIRE(suppressed.size() == 1);
  CHECK(suppressed[0].event == "burst");
  CHECK(suppressed[0].count == 7);
  CHECK(limiter.TakeSuppressed(clock.Now()).empty());
  CHECK(limiter.Allow("burst", clock.Now()));
}

// Guards against values from callers that break a line or forge another.
TEST_CASE("each line is one JSON object, whatever the values contain") {
  const Pipe pipe;
  const int saved = dup(STDOUT_FILENO);
  dup2(pipe.ends[1], STDOUT_FILENO);
  Log(LogLevel::Warning, "hostile",
      {{"request", "a\n{\"event\":\"forged\"}\""}, {"bytes", "\xff\xfe"}});
  FlushLog();
  dup2(saved, STDOUT_FILENO);
  close(saved);
  std::istringstream lines(pipe.ReadAll());
  std::string line;
  int count = 0;
  while (std::getline(lines, line)) {
    ++count;
    const auto object = nlohmann::json::parse(line);
    CHECK(object.at("event") == "hostile");
    CHECK(object.at("level") == "warning");
    CHECK(object.at("request") == "a\n{\"event\":\"forged\"}\"");
  }
  CHECK(count == 1);
}
