#include "Settings/SocketAddress.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <array>
#include <limits>

#include "Settings/Units.h"

namespace fescueline {

namespace {
bool IsAddress(int aFamily, const std::string& aHost) {
  std::array<unsigned char, sizeof(in6_addr)> binary{};
  return inet_pton(aFamily, aHost.c_str(), binary.data()) == 1;
}

bool IsIpv6(const std::string& aHost) {
  return aHost.find(':') != std::string::npos;
}
}  // namespace

std::optional<uint16_t> ParsePort(std::string_view aText) {
  const auto port = ParseUnsigned(aText);
  if (!port || *port > std::numeric_limits<uint16_t>::max()) {
    return std::nullopt;
  }
  return static_cast<uint16_t>(*port);
}

std::optional<SocketAddress> SocketAddress::Parse(std::string_view aText) {
  const size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  const auto port = ParsePort(aText.substr(colon + 1));
  if (!port) {
    return std::nullopt;
  }
  std::string_view host = aText.substr(0, colon);
  const bool bracketed = host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  SocketAddress address{.host = std::string(host), .port = *port};
  if (!IsAddress(bracketed ? AF_INET6 : AF_INET, address.host)) {
    return std::nullopt;
  }
  return address;
}

std::string SocketAddress::ToString() const {
  return IsIpv6(this->host) ? fmt::format("[{}]:{}", this->host, this->port)
                            : fmt::format("{}:{}", this->host, this->port);
}

bool SocketAddress::IsLoopback() const {
  return this->host.starts_with("127.") || this->host == "::1";
}

bool SocketAddress::IsWildcard() const {
  return this->host == "0.0.0.0" || this->host == "::";
}

}  // namespace fescueline
