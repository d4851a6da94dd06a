#include "Mesh/ResourceBounds.h"

#include <sys/resource.h>

#include <algorithm>

namespace fescueline {

namespace {
constexpr size_t kMaxControlConnections = 64;
constexpr size_t kControlConnectionsPart = 16;
/// Descriptors if the process has no limit.
constexpr size_t kManyDescriptors = 65'536;

/// Descriptors that the process may open.
size_t ProcessDescriptors() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return kManyDescriptors;
  }
  return limit.rlim_cur;
}
}  // namespace

ResourceBounds::ResourceBounds(const MeshSettings& aSettings)
    : memory(aSettings.memoryLimit), descriptors(ProcessDescriptors()) {
  if (aSettings.descriptorLimit > 0) {
    this->descriptors =
        std::min<size_t>(this->descriptors, aSettings.descriptorLimit);
  }
}

size_t ResourceBounds::ControlConnections() const {
  return std::min(kMaxControlConnections,
                  this->descriptors / kControlConnectionsPart);
}

CallerLimits ResourceBounds::ControlLimits() {
  CallerLimits limits;
  limits.maxBodyBytes = size_t{64} * 1024;
  return limits;
}

}  // namespace fescueline
