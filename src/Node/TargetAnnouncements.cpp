#include "Node/TargetAnnouncements.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "Core/BoundedJson.h"

namespace fescueline {

namespace {
using Json = nlohmann::json;

constexpr uint64_t kMaxSlots = 1'000'000;
constexpr size_t kMaxServiceName = 128;

/// Reads an optional count from 1 to kMaxSlots; sets the error otherwise.
std::optional<uint32_t> ReadCount(const Json& aObject, const char* aField,
                                  std::string& aError) {
  const auto found = aObject.find(aField);
  if (found == aObject.end()) {
    return std::nullopt;
  }
  if (!found->is_number_unsigned() || found->get<uint64_t>() == 0 ||
      found->get<uint64_t>() > kMaxSlots) {
    aError = std::string(aField) + ": expected a whole number from 1";
    return std::nullopt;
  }
  return found->get<uint32_t>();
}

std::string ReadText(const Json& aObject, const char* aField,
                     std::string& aError) {
  const auto found = aObject.find(aField);
  if (found == aObject.end() || !found->is_string() ||
      found->get<std::string>().empty()) {
    aError = std::string(aField) + ": expected a non-empty string";
    return "";
  }
  return found->get<std::string>();
}

TargetAnnouncement Decode(const Json& aObject, std::string& aError) {
  TargetAnnouncement announcement;
  announcement.service = ReadText(aObject, "service", aError);
  if (announcement.service.size() > kMaxServiceName) {
    aError = "service: too long";
  }
  announcement.address = ReadText(aObject, "address", aError);
  // The target is on this instance; any other address would turn the node into
  // an open relay.
  const auto address = SocketAddress::Parse(announcement.address);
  if (!address || !address->IsLoopback()) {
    aError = "address: expected a loopback address and port";
  }
  const auto state = FromName<TargetState>(ReadText(aObject, "state", aError));
  if (!state || *state == TargetState::Gone) {
    aError = "state: expected starting, ready or draining";
  }
  announcement.state = state.value_or(TargetState::Gone);
  announcement.slots = ReadCount(aObject, "slots", aError);
  announcement.connections = ReadCount(aObject, "connections", aError);
  const auto load = aObject.find("load");
  if (load != aObject.end() && load->is_number_unsigned()) {
    announcement.load = load->get<uint32_t>();
  }
  return announcement;
}
}  // namespace

AnnouncementResult ParseAnnouncement(std::string_view aMethod,
                                     std::string_view aBody) {
  AnnouncementResult result;
  if (aMethod != "POST") {
    result.error = "method: expected POST";
    return result;
  }
  Json object;
  try {
    object = ParseJson(aBody, {});
  } catch (const JsonError& failure) {
    result.error = fmt::format("body: {}", ToName(failure.Fault()));
    return result;
  }
  if (!object.is_object()) {
    result.error = "body: expected a JSON object";
    return result;
  }
  const TargetAnnouncement announcement = Decode(object, result.error);
  if (result.error.empty()) {
    result.announcement = announcement;
  }
  return result;
}

std::vector<std::string> ControlUrls(
    const std::vector<SocketAddress>& aAddresses) {
  std::vector<std::string> urls;
  urls.reserve(aAddresses.size());
  for (const SocketAddress& address : aAddresses) {
    urls.push_back("tcp://" + address.ToString());
  }
  return urls;
}

}  // namespace fescueline
