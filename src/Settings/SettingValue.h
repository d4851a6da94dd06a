#pragma once

#include <string>

#include "Settings/SettingsTable.h"

namespace fescueline {

/// Parses the text of a setting, checks its range and stores it. Whether the
/// text is valid; if not, nothing is stored.
bool StoreSetting(const SettingSpec& aSpec, const std::string& aText,
                  NodeSettings& aSettings);

}  // namespace fescueline
