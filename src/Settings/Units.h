#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Core/Time.h"

namespace fescueline {

/// Parses a duration with a unit: us, ms, s, m or h ("250ms", "1.5s").
/// Nothing if the text is malformed, negative or longer than 10,000 hours.
std::optional<Duration> ParseDuration(std::string_view aText);

/// Parses a size in bytes with an optional unit: KiB, MiB or GiB ("1MiB").
std::optional<uint64_t> ParseSize(std::string_view aText);

/// Parses a complete unsigned decimal number.
std::optional<uint64_t> ParseUnsigned(std::string_view aText);

/// Shortest text that ParseDuration reads back, such as "250ms".
std::string FormatDuration(Duration aDuration);

/// Shortest text that ParseSize reads back, such as "1MiB".
std::string FormatSize(uint64_t aBytes);

}  // namespace fescueline
