#include "Config/Records.h"

#include <fmt/format.h>

#include <algorithm>

#include "Config/ConfigError.h"

namespace fescueline {

namespace {
using Json = nlohmann::json;

// Far above the rate of any real organisation, and small enough that sums of
// shares keep their precision in a double.
constexpr double kMaxRate = 1e9;
constexpr double kMinWeight = 0.001;
constexpr double kMaxWeight = 1e6;
constexpr uint64_t kMaxAllocationVersion = 1ULL << 53;
constexpr size_t kMaxPathLength = 255;
constexpr size_t kMaxAddressLength = 255;
constexpr size_t kMaxSelectorLength = 4096;
constexpr size_t kMaxMethods = 16;
constexpr size_t kMaxMethodLength = 20;
constexpr size_t kMaxVouchers = 1'000;
constexpr size_t kIdDigits = 32;
constexpr std::array<std::string_view, 4> kSelectorAttributes{
    "service", "route", "method", "organisation"};

Json ToJsonObject(const LabelSet& aLabels) {
  Json object = Json::object();
  for (const Label& label : aLabels.Items()) {
    object[label.name] = label.value;
  }
  return object;
}

Id128 ReadId(JsonReader& aReader, std::string_view aField) {
  const auto id = Id128::Parse(aReader.Text(aField, kIdDigits));
  if (!id) {
    throw ConfigError(aField,
                      fmt::format("must be {} hexadecimal digits", kIdDigits));
  }
  return *id;
}

std::string ReadAddress(JsonReader& aReader, std::string_view aField) {
  std::string address = aReader.Text(aField, kMaxAddressLength);
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == address.size() ||
      address.find_first_not_of("0123456789", colon + 1) != std::string::npos ||
      address.find(' ') != std::string::npos) {
    throw ConfigError(aField, "must be an address host:port");
  }
  return address;
}

std::string ReadPathPrefix(JsonReader& aReader) {
  constexpr std::string_view kField = "path_prefix";
  std::string path = aReader.Text(kField, kMaxPathLength);
  const bool wellFormed = !path.empty() && path.front() == '/' &&
                          path.find_first_of("?#%\\ ") == std::string::npos &&
                          path.find("//") == std::string::npos &&
                          (path + "/").find("/./") == std::string::npos &&
                          (path + "/").find("/../") == std::string::npos;
  if (!wellFormed || (path.size() > 1 && path.back() == '/')) {
    throw ConfigError(kField,
                      "must begin with '/', not end in '/' (except \"/\"), and "
                      "have no empty, '.' or '..' segments, '?', '#', '%', "
                      "'\\' or spaces");
  }
  return path;
}

std::vector<std::string> ReadMethods(JsonReader& aReader) {
  std::vector<std::string> methods = aReader.TextList("methods", kMaxMethods);
  for (size_t index = 0; index < methods.size(); ++index) {
    const std::string& method = methods[index];
    if (method.empty() || method.size() > kMaxMethodLength ||
        method.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ-") !=
            std::string::npos) {
      throw ConfigError(fmt::format("methods[{}]", index),
                        "must be an HTTP method in upper case");
    }
  }
  std::sort(methods.begin(), methods.end());
  methods.erase(std::unique(methods.begin(), methods.end()), methods.end());
  return methods;
}
}  // namespace

OrganisationRecord OrganisationRecord::FromJson(std::string_view aText,
                                                UnknownFields aUnknown) {
  JsonReader reader(aText);
  OrganisationRecord record{
      .rate = reader.Number("rate", 0, kMaxRate),
      .burst = reader.Number("burst", 1, kMaxRate),
      .weight = reader.Number("weight", kMinWeight, kMaxWeight)};
  reader.CheckUnknownFields(aUnknown);
  return record;
}

std::string OrganisationRecord::ToJson() const {
  return Json{
      {"rate", this->rate}, {"burst", this->burst}, {"weight", this->weight}}
      .dump();
}

KeyRecord KeyRecord::FromJson(std::string_view aText, UnknownFields aUnknown) {
  JsonReader reader(aText);
  KeyRecord record{.id = reader.Name("id"),
                   .organisation = reader.Name("organisation"),
                   .name = reader.OptionalName("name")};
  const auto state = FromName<KeyState>(reader.Name("state"));
  if (!state) {
    throw ConfigError("state", "must be active or withdrawn");
  }
  record.state = *state;
  reader.CheckUnknownFields(aUnknown);
  return record;
}

std::string KeyRecord::ToJson() const {
  Json object{{"id", this->id},
              {"organisation", this->organisation},
              {"state", ToName(this->state)}};
  if (!this->name.empty()) {
    object["name"] = this->name;
  }
  return object.dump();
}

RouteRecord RouteRecord::FromJson(std::string_view aText,
                                  UnknownFields aUnknown) {
  JsonReader reader(aText);
  RouteRecord record{.service = reader.Name("service"),
                     .pathPrefix = ReadPathPrefix(reader),
                     .methods = ReadMethods(reader),
                     .labels = reader.Labels("labels"),
                     .policy = {}};
  record.policy = PolicyLabels::Parse(record.labels);
  for (std::string_view name : kSelectorAttributes) {
    if (record.labels.Find(name)) {
      throw ConfigError(fmt::format("labels.{}", name),
                        "is reserved for the request's own attribute");
    }
  }
  reader.CheckUnknownFields(aUnknown);
  return record;
}

std::string RouteRecord::ToJson() const {
  return Json{{"service", this->service},
              {"path_prefix", this->pathPrefix},
              {"methods", this->methods},
              {"labels", ToJsonObject(this->labels)}}
      .dump();
}

RuleRecord RuleRecord::FromJson(std::string_view aText,
                                UnknownFields aUnknown) {
  JsonReader reader(aText);
  RuleRecord record{
      .selector = Selector::Parse(reader.Text("selector", kMaxSelectorLength)),
      .labels = reader.Labels("labels"),
      .policy = {}};
  record.policy = PolicyLabels::Parse(record.labels);
  reader.CheckUnknownFields(aUnknown);
  if (aUnknown == UnknownFields::Refuse) {
    if (record.labels.Items().empty()) {
      throw ConfigError("labels", "must set at least one label");
    }
    for (const Label& label : record.labels.Items()) {
      if (!FromName<PolicyLabel>(label.name)) {
        throw ConfigError(fmt::format("labels.{}", label.name),
                          "a rule may set access, importance, idempotent, "
                          "deadline and retries only");
      }
    }
  }
  return record;
}

std::string RuleRecord::ToJson() const {
  return Json{{"selector", this->selector.Text()},
              {"labels", ToJsonObject(this->labels)}}
      .dump();
}

AllocationRecord AllocationRecord::FromJson(std::string_view aText,
                                            UnknownFields aUnknown) {
  JsonReader reader(aText);
  AllocationRecord record{
      .version = reader.Integer("version", 1, kMaxAllocationVersion),
      .issuer = reader.Name("issuer"),
      .issuerIncarnation = ReadId(reader, "issuer_incarnation")};
  reader.CheckUnknownFields(aUnknown);
  return record;
}

std::string AllocationRecord::ToJson() const {
  return Json{{"version", this->version},
              {"issuer", this->issuer},
              {"issuer_incarnation", this->issuerIncarnation.ToString()}}
      .dump();
}

MemberRecord MemberRecord::FromJson(std::string_view aText,
                                    UnknownFields aUnknown) {
  JsonReader reader(aText);
  MemberRecord record{.incarnation = ReadId(reader, "incarnation"),
                      .dataCentre = reader.Name("data_centre"),
                      .region = reader.Name("region"),
                      .service = reader.OptionalName("service"),
                      .peerAddress = ReadAddress(reader, "peer_address"),
                      .controlAddress = ReadAddress(reader, "control_address")};
  reader.CheckUnknownFields(aUnknown);
  return record;
}

std::string MemberRecord::ToJson() const {
  Json object{{"incarnation", this->incarnation.ToString()},
              {"data_centre", this->dataCentre},
              {"region", this->region},
              {"peer_address", this->peerAddress},
              {"control_address", this->controlAddress}};
  if (!this->service.empty()) {
    object["service"] = this->service;
  }
  return object.dump();
}

namespace {
std::vector<std::string> ReadNodes(JsonReader& aReader,
                                   std::string_view aField) {
  std::vector<std::string> nodes = aReader.TextList(aField, kMaxVouchers);
  for (size_t index = 0; index < nodes.size(); ++index) {
    if (!IsValidName(nodes[index])) {
      throw ConfigError(fmt::format("{}[{}]", aField, index), kNameRule);
    }
  }
  std::sort(nodes.begin(), nodes.end());
  nodes.erase(std::unique(nodes.begin(), nodes.end()), nodes.end());
  return nodes;
}
}  // namespace

VouchersRecord VouchersRecord::FromJson(std::string_view aText,
                                        UnknownFields aUnknown) {
  JsonReader reader(aText);
  VouchersRecord record;
  record.nodes = ReadNodes(reader, "nodes");
  record.previous = ReadNodes(reader, "previous");
  reader.CheckUnknownFields(aUnknown);
  return record;
}

std::string VouchersRecord::ToJson() const {
  return Json{{"nodes", this->nodes}, {"previous", this->previous}}.dump();
}

}  // namespace fescueline
