#pragma once

#include <string>
#include <utility>

namespace fescueline {

/// A secret string. It has no stream or format operator, so that it cannot be
/// printed by accident.
class Secret {
 public:
  Secret() = default;
  explicit Secret(std::string aText) : text(std::move(aText)) {}

  /// The secret, for signing and authentication. Must not be logged; a
  /// comparison with untrusted input must take constant time.
  const std::string& Reveal() const { return this->text; }
  bool IsEmpty() const { return this->text.empty(); }

 private:
  std::string text;
};

}  // namespace fescueline
