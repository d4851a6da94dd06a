#pragma once

#include <string>
#include <string_view>

#include "Core/Error.h"

namespace fescueline {

/// A record, label or selector with a wrong value. Names the field.
class ConfigError : public Error {
 public:
  /// aField is a path such as "labels.importance".
  ConfigError(std::string_view aField, std::string_view aMessage);

  /// Path of the wrong field; empty if the document itself is wrong.
  const std::string& Field() const { return this->field; }
  /// What is wrong and what is allowed, with the field, without the step.
  const std::string& Description() const { return this->description; }

 private:
  /// Path of the wrong field.
  std::string field;
  /// Field and message.
  std::string description;
};

}  // namespace fescueline
