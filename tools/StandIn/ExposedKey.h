#pragma once

#include "Transport/HttpMessage.h"

namespace fescueline {

/// Whether a request contains text in the form of a caller's key, or a header
/// that carries keys. A target must get neither.
bool ExposesKey(const HttpRequest& aRequest);

}  // namespace fescueline
