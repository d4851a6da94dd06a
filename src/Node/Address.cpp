#include "Node/Address.h"

#include <charconv>

#include "Core/Error.h"

namespace fescueline {

HostPort ParseHostPort(std::string_view aText) {
  const size_t colon = aText.rfind(':');
  HostPort address;
  if (colon != std::string_view::npos) {
    std::string_view host = aText.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
      host = host.substr(1, host.size() - 2);
    }
    address.host = host;
    const std::string_view port = aText.substr(colon + 1);
    const auto result =
        std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (!host.empty() && result.ec == std::errc() &&
        result.ptr == port.data() + port.size()) {
      return address;
    }
  }
  throw Error("address.parse", aText, "expected host:port");
}

}  // namespace fescueline
