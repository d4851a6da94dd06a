#include "Settings/Units.h"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <cmath>

namespace fescueline {

namespace {
struct TimeUnit {
  std::string_view name;
  Duration length;
};

struct SizeUnit {
  std::string_view name;
  uint64_t bytes;
};

// Sorted from the largest unit, so that formatting finds the shortest text.
constexpr std::array<TimeUnit, 5> kTimeUnits{
    {{"h", std::chrono::hours(1)},
     {"m", std::chrono::minutes(1)},
     {"s", std::chrono::seconds(1)},
     {"ms", std::chrono::milliseconds(1)},
     {"us", std::chrono::microseconds(1)}}};
constexpr std::array<SizeUnit, 3> kSizeUnits{
    {{"GiB", 1ULL << 30}, {"MiB", 1ULL << 20}, {"KiB", 1ULL << 10}}};
constexpr Duration kMaxDuration = std::chrono::hours(10'000);
// Keeps the product of number and unit within 64 bits.
constexpr uint64_t kMaxSizeCount = 1ULL << 32;
constexpr size_t kMaxNumberLength = 12;
}  // namespace

std::optional<uint64_t> ParseUnsigned(std::string_view aText) {
  uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, value);
  if (aText.empty() || result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return value;
}

std::optional<Duration> ParseDuration(std::string_view aText) {
  const size_t unitStart = aText.find_first_not_of("0123456789.");
  if (unitStart == 0 || unitStart == std::string_view::npos ||
      unitStart > kMaxNumberLength) {
    return std::nullopt;
  }
  double number = 0;
  const auto result =
      std::from_chars(aText.data(), aText.data() + unitStart, number);
  if (result.ec != std::errc() || result.ptr != aText.data() + unitStart) {
    return std::nullopt;
  }
  for (const TimeUnit& unit : kTimeUnits) {
    if (aText.substr(unitStart) == unit.name) {
      const double nanoseconds =
          number * static_cast<double>(unit.length.count());
      if (nanoseconds > static_cast<double>(kMaxDuration.count())) {
        return std::nullopt;
      }
      return Duration(std::llround(nanoseconds));
    }
  }
  return std::nullopt;
}

std::optional<uint64_t> ParseSize(std::string_view aText) {
  const size_t unitStart = aText.find_first_not_of("0123456789");
  if (unitStart == std::string_view::npos) {
    return ParseUnsigned(aText);
  }
  const auto number = ParseUnsigned(aText.substr(0, unitStart));
  if (!number || *number > kMaxSizeCount) {
    return std::nullopt;
  }
  for (const SizeUnit& unit : kSizeUnits) {
    if (aText.substr(unitStart) == unit.name) {
      return *number * unit.bytes;
    }
  }
  return std::nullopt;
}

std::string FormatDuration(Duration aDuration) {
  for (const TimeUnit& unit : kTimeUnits) {
    if (aDuration.count() != 0 && aDuration % unit.length == Duration::zero()) {
      return fmt::format("{}{}", aDuration / unit.length, unit.name);
    }
  }
  return fmt::format(
      "{}us",
      std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count());
}

std::string FormatSize(uint64_t aBytes) {
  for (const SizeUnit& unit : kSizeUnits) {
    if (aBytes != 0 && aBytes % unit.bytes == 0) {
      return fmt::format("{}{}", aBytes / unit.bytes, unit.name);
    }
  }
  return fmt::format("{}", aBytes);
}

}  // namespace fescueline
