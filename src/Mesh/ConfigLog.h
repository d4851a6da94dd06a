#pragma once

#include <string_view>

#include "Mesh/MeshConfig.h"

namespace fescueline {

/// Logs a new configuration, its source, and the rates that differ from those
/// of the previous configuration (null if there is none).
void LogConfigInForce(const MeshConfig* aBefore, const MeshConfig& aNow,
                      std::string_view aSource);

}  // namespace fescueline
