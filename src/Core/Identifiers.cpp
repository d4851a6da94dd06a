#include "Core/Identifiers.h"

#include <fmt/format.h>

#include <charconv>

#include "Core/RandomSource.h"

namespace fescueline {

namespace {
constexpr size_t kHalfDigits = 16;

bool ParseHalf(std::string_view aText, uint64_t& aValue) {
  const auto result =
      std::from_chars(aText.data(), aText.data() + aText.size(), aValue, 16);
  return result.ec == std::errc() && result.ptr == aText.data() + aText.size();
}
}  // namespace

Id128 Id128::Generate() {
  RandomSource& random = ThreadRandom();
  return Id128{.high = random.Next(), .low = random.Next()};
}

std::optional<Id128> Id128::Parse(std::string_view aText) {
  Id128 id;
  if (aText.size() != 2 * kHalfDigits ||
      !ParseHalf(aText.substr(0, kHalfDigits), id.high) ||
      !ParseHalf(aText.substr(kHalfDigits), id.low)) {
    return std::nullopt;
  }
  return id;
}

std::string Id128::ToString() const {
  return fmt::format("{:016x}{:016x}", this->high, this->low);
}

}  // namespace fescueline
