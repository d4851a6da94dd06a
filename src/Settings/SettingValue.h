#pragma once

#include <string>

#include "Settings/SettingsTable.h"

namespace fescueline {

/// Parses the text of a setting, checks its range and stores it. Returns false
/// and stores nothing if the text is invalid.
bool StoreSetting(const SettingSpec& aSpec, const std::string& aText,
                  NodeSettings& aSettings);

}  // namespace fescueline
