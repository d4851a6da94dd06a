#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace fescueline {

/// Base of all exceptions of the project: what failed, at which step, and
/// with which peer (address or name; empty if no peer was involved).
class Error : public std::runtime_error {
 public:
  Error(std::string_view aStep, std::string_view aPeer,
        std::string_view aMessage);

  const std::string& Step() const { return this->step; }
  const std::string& Peer() const { return this->peer; }

 private:
  /// Operation that failed, such as "table.transact".
  std::string step;
  /// Other side of the operation.
  std::string peer;
};

}  // namespace fescueline
