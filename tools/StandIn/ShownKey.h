#pragma once

#include "Transport/HttpMessage.h"

namespace fescueline {

/// Whether a request shows its target something in the form of a caller's key,
/// or a header that carries one.
bool ShowsKey(const HttpRequest& aRequest);

}  // namespace fescueline
