#include "Mesh/ConfigLog.h"

#include <fmt/format.h>

#include <string>

#include "Log/Log.h"

namespace fescueline {

void LogConfigInForce(const MeshConfig* aBefore, const MeshConfig& aNow,
                      std::string_view aSource) {
  Log(LogLevel::Info, "configuration in force",
      {{"version", std::to_string(aNow.Version())},
       {"source", std::string(aSource)},
       {"routes", std::to_string(aNow.All().routes.size())},
       {"organisations", std::to_string(aNow.All().organisations.size())}});
  for (const MeshOrganisation& organisation : aNow.All().organisations) {
    const MeshOrganisation* known =
        aBefore == nullptr ? nullptr
                           : aBefore->FindOrganisation(organisation.name);
    if (known != nullptr && known->rate == organisation.rate) {
      continue;
    }
    Log(LogLevel::Info, "rate limit in force",
        {{"organisation", organisation.name},
         {"per_second", fmt::format("{}", organisation.rate.perSecond)},
         {"burst", fmt::format("{}", organisation.rate.burst)},
         {"version", std::to_string(aNow.Version())}});
  }
}

}  // namespace fescueline
