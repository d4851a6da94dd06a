#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace fescueline {

/// IP address and port.
struct HostPort {
  std::string host;
  uint16_t port = 0;
};

/// Splits "host:port"; the host may be an IPv6 address in brackets. Throws
/// Error if it has another form.
HostPort ParseHostPort(std::string_view aText);

}  // namespace fescueline
