#include "Mesh/CallerRequest.h"

#include <charconv>
#include <cstdint>
#include <utility>

namespace fescueline {

std::string HostOf(const HttpHeaders& aHeaders) {
  return std::string(FindHeader(aHeaders, "host").value_or(""));
}

std::optional<Duration> TimeoutOf(const HttpHeaders& aHeaders,
                                  const HeaderNames& aNames) {
  const auto text = FindHeader(aHeaders, aNames.timeout);
  if (!text) {
    return std::nullopt;
  }
  int64_t value = 0;
  // A fraction of a millisecond is ignored.
  const auto result =
      std::from_chars(text->data(), text->data() + text->size(), value);
  if (result.ec != std::errc() || value < 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(value);
}

std::vector<HeaderWire> TargetHeaders(HttpHeaders aReceived,
                                      const HeaderNames& aNames,
                                      const std::string& aCallerService,
                                      const std::string& aOrganisation) {
  RemoveHopByHopHeaders(aReceived);
  for (const std::string* name :
       {&aNames.key, &aNames.organisation, &aNames.callerService,
        &aNames.timeout, &aNames.expectedTarget}) {
    RemoveHeader(aReceived, *name);
  }
  std::vector<HeaderWire> headers;
  headers.reserve(aReceived.size() + 2);
  for (HttpHeader& header : aReceived) {
    headers.push_back({std::move(header.name), std::move(header.value)});
  }
  headers.push_back({aNames.callerService, aCallerService});
  if (!aOrganisation.empty()) {
    headers.push_back({aNames.organisation, aOrganisation});
  }
  return headers;
}

}  // namespace fescueline
