#pragma once

#include <string>
#include <string_view>

#include "Core/Error.h"

namespace fescueline {

/// Invalid value in a record, label, selector or request.
class ConfigError : public Error {
 public:
  /// aField is a path such as "labels.importance", or empty if the document as
  /// a whole is invalid.
  ConfigError(std::string_view aField, std::string_view aMessage);

  const std::string& Field() const { return this->field; }
  /// Field and message, without the step that what() adds.
  const std::string& Description() const { return this->description; }

 private:
  std::string field;
  std::string description;
};

}  // namespace fescueline
