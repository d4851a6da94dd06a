#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include "Settings/SocketAddress.h"
#include "Settings/Units.h"

using namespace fescueline;
using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
struct DurationCase {
  std::string text;
  std::optional<Duration> duration;
};

struct SizeCase {
  std::string text;
  std::optional<uint64_t> bytes;
};

struct AddressCase {
  std::string text;
  bool valid;
};
}  // namespace

// Guards against durations that are parsed with another unit than intended.
TEST_CASE("durations need a unit") {
  const std::vector<DurationCase> cases = {
      {"250ms", milliseconds(250)},
      {"4s", seconds(4)},
      {"1.5s", milliseconds(1500)},
      {"0.3s", milliseconds(300)},
      {"7us", microseconds(7)},
      {"2m", seconds(120)},
      {"1h", hours(1)},
      {"0ms", Duration::zero()},
      {"4", std::nullopt},
      {"", std::nullopt},
      {"s", std::nullopt},
      {"-4s", std::nullopt},
      {"4 s", std::nullopt},
      {"4S", std::nullopt},
      {"1.2.3s", std::nullopt},
      {"1e3s", std::nullopt},
      {"10001h", std::nullopt},
      {"9999999999999h", std::nullopt},
      {"0x4s", std::nullopt},
      {".s", std::nullopt},
  };
  for (const DurationCase& row : cases) {
    CAPTURE(row.text);
    CHECK(ParseDuration(row.text) == row.duration);
  }
  for (const char* text : {"250ms", "4s", "1500ms", "2m", "1h", "7us", "0us"}) {
    CAPTURE(text);
    CHECK(FormatDuration(*ParseDuration(text)) == text);
  }
}

// Guards against sizes that wrap around or are read in decimal units.
TEST_CASE("sizes are in bytes or binary units") {
  const std::vector<SizeCase> cases = {
      {"0", 0},
      {"1500", 1500},
      {"64KiB", 65536},
      {"1MiB", 1 << 20},
      {"2GiB", 2ULL << 30},
      {"1MB", std::nullopt},
      {"1.5MiB", std::nullopt},
      {"-1", std::nullopt},
      {"KiB", std::nullopt},
      {"18446744073709551616", std::nullopt},
      {"17179869185GiB", std::nullopt},
  };
  for (const SizeCase& row : cases) {
    CAPTURE(row.text);
    CHECK(ParseSize(row.text) == row.bytes);
  }
  CHECK(FormatSize(1 << 20) == "1MiB");
  CHECK(FormatSize(1500) == "1500");
}

// Guards against host names and malformed addresses that fail only when the
// node starts.
TEST_CASE("socket addresses are an IP address and a port") {
  const std::vector<AddressCase> cases = {
      {"127.0.0.1:7001", true}, {"[::1]:7001", true},
      {"0.0.0.0:0", true},      {"127.0.0.1:65536", false},
      {"127.0.0.1:", false},    {"127.0.0.1", false},
      {":7001", false},         {"host:7001", false},
      {"::1:7001", false},      {"[127.0.0.1]:7001", false},
      {"[::1]", false},         {"[]:1", false},
      {"[:1", false},           {"1.2.3:4", false},
  };
  for (const AddressCase& row : cases) {
    CAPTURE(row.text);
    const auto address = SocketAddress::Parse(row.text);
    CHECK(address.has_value() == row.valid);
    if (address) {
      CHECK(address->ToString() == row.text);
    }
  }
}
