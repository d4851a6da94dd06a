#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescueline {

/// A port in decimal digits, 0 to 65535; nullopt otherwise.
std::optional<uint16_t> ParsePort(std::string_view aText);

/// An IP address and a port.
struct SocketAddress {
  /// IPv4 or IPv6 address, without brackets.
  std::string host;
  /// Port; 0 lets the system choose when listening.
  uint16_t port = 0;

  /// Parses "10.0.0.1:7001" or "[::1]:7001".
  static std::optional<SocketAddress> Parse(std::string_view aText);
  /// The text that Parse reads back.
  std::string ToString() const;
  /// Whether only this host can reach the address.
  bool IsLoopback() const;
  /// Whether it stands for all addresses of this host.
  bool IsWildcard() const;

  auto operator<=>(const SocketAddress&) const = default;
};

}  // namespace fescueline
