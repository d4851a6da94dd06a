#pragma once

#include <string_view>

#include "Mesh/MeshConfig.h"

namespace fescueline {

/// Logs that a configuration is in force, where it came from, and the rates in
/// which it differs from the one before (null for none).
void LogConfigInForce(const MeshConfig* aBefore, const MeshConfig& aNow,
                      std::string_view aSource);

}  // namespace fescueline
