#pragma once

#include <functional>
#include <string_view>

namespace fescueline {

/// Hash for containers of strings that are searched with a string_view.
struct StringHash {
  using is_transparent = void;
  size_t operator()(std::string_view aText) const noexcept {
    return std::hash<std::string_view>()(aText);
  }
};

}  // namespace fescueline
