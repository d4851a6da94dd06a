#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Transport/HttpMessage.h"

namespace fescueline {

/// Key that a caller sent, or what is wrong with how it was sent.
struct PresentedKey {
  /// The key; empty if there was none.
  std::string key;
  /// Name of the wrong field and the reason; empty if all is well.
  std::string error;
};

/// Takes the key from `Authorization: Bearer` or `X-Api-Key`.
PresentedKey FindPresentedKey(const HttpHeaders& aHeaders);

/// Looks for keys in places from which they would reach a target: the key that
/// came with the request, and anything in the form of a key.
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

  /// Key that came with the request; may be empty.
  std::string key;
};

}  // namespace fescueline
