#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Transport/HttpMessage.h"

namespace fescueline {

/// API key of a request, or the error in how it was sent.
struct PresentedKey {
  /// The key; empty if there was none.
  std::string key;
  /// Name of the invalid header and the reason; empty if there is no error.
  std::string error;
};

/// Reads the key from `Authorization: Bearer` or `X-Api-Key`.
PresentedKey FindPresentedKey(const HttpHeaders& aHeaders);

/// Finds keys in the parts of a request that would reach a target: the key sent
/// with the request, and any text in the format of a key.
class KeyScan {
 public:
  explicit KeyScan(std::string aKey) : key(std::move(aKey)) {}

  /// Name of the part of the request (URL or body) that contains a key and
  /// cannot be removed; nothing if there is none.
  std::optional<std::string> FindIn(const HttpRequest& aRequest) const;
  /// Removes headers that contain a key.
  void RemoveFrom(HttpHeaders& aHeaders) const;

 private:
  bool Contains(std::string_view aText) const;

  /// Key sent with the request; may be empty.
  std::string key;
};

}  // namespace fescueline
