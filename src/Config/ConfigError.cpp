#include "Config/ConfigError.h"

#include <fmt/format.h>

namespace fescueline {

namespace {
std::string Describe(std::string_view aField, std::string_view aMessage) {
  return aField.empty() ? std::string(aMessage)
                        : fmt::format("{}: {}", aField, aMessage);
}
}  // namespace

ConfigError::ConfigError(std::string_view aField, std::string_view aMessage)
    : Error("config.decode", "", Describe(aField, aMessage)),
      field(aField),
      description(Describe(aField, aMessage)) {}

}  // namespace fescueline
