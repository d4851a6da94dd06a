#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Node/LocalTarget.h"
#include "Settings/SocketAddress.h"

namespace fescueline {

/// Path on which the local target announces itself.
inline constexpr std::string_view kAnnouncePath = "/v1/announce";

/// A decoded announcement or the error in it.
struct AnnouncementResult {
  std::optional<TargetAnnouncement> announcement;
  /// Invalid field and the reason; empty if there is no error.
  std::string error;
};

/// Decodes the JSON body of `POST /v1/announce`.
AnnouncementResult ParseAnnouncement(std::string_view aMethod,
                                     std::string_view aBody);

/// nng URLs of addresses.
std::vector<std::string> ControlUrls(
    const std::vector<SocketAddress>& aAddresses);

}  // namespace fescueline
