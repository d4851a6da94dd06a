#include "Core/Error.h"

#include <fmt/format.h>

namespace fescueline {

namespace {
std::string Describe(std::string_view aStep, std::string_view aPeer,
                     std::string_view aMessage) {
  if (aPeer.empty()) {
    return fmt::format("{}: {}", aStep, aMessage);
  }
  return fmt::format("{} ({}): {}", aStep, aPeer, aMessage);
}
}  // namespace

Error::Error(std::string_view aStep, std::string_view aPeer,
             std::string_view aMessage)
    : std::runtime_error(Describe(aStep, aPeer, aMessage)),
      step(aStep),
      peer(aPeer) {}

}  // namespace fescueline
