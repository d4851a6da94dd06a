#include "Config/ConfigQueries.h"

#include "Settings/Units.h"

namespace fescueline {

namespace {
using Json = nlohmann::json;

constexpr size_t kMaxMethodLength = 20;
constexpr size_t kMaxPathLength = 4096;

template <typename R>
Json ToItem(const NamedRecord<R>& aItem) {
  return {{"name", aItem.name},
          {"version", aItem.version},
          {"value", Json::parse(aItem.record.ToJson())}};
}

Json ValueOf(const RequestPolicy& aPolicy, PolicyLabel aLabel) {
  switch (aLabel) {
    case PolicyLabel::Access:
      return aPolicy.open ? "open" : "closed";
    case PolicyLabel::Importance:
      return ToName(aPolicy.importance);
    case PolicyLabel::Idempotent:
      return aPolicy.idempotent ? "yes" : "no";
    case PolicyLabel::Deadline:
      return FormatDuration(aPolicy.deadline);
    case PolicyLabel::Retries:
      return std::to_string(aPolicy.retries);
  }
  return nullptr;
}
}  // namespace

template <typename Visitor>
bool ConfigQueries::VisitTable(std::string_view aKind, Visitor aVisit) const {
  if (aKind == "org") {
    aVisit(this->snapshot.Organisations());
  } else if (aKind == "route") {
    aVisit(this->snapshot.Routes());
  } else if (aKind == "rule") {
    aVisit(this->snapshot.Rules());
  } else if (aKind == "alloc") {
    aVisit(this->snapshot.Allocations());
  } else if (aKind == "member") {
    aVisit(this->snapshot.Members());
  } else {
    return false;
  }
  return true;
}

ApiResponse ConfigQueries::List(std::string_view aKind) const {
  Json records = Json::array();
  const bool known = this->VisitTable(aKind, [&](const auto& aTable) {
    for (const auto& item : aTable.Items()) {
      records.push_back(ToItem(*item));
    }
  });
  if (!known) {
    return MakeRefusal(HttpStatus::NotFound, "no such kind of record");
  }
  return MakeResponse(HttpStatus::Ok, {{"version", this->snapshot.Version()},
                                       {"records", std::move(records)}});
}

ApiResponse ConfigQueries::Get(std::string_view aKind,
                               std::string_view aName) const {
  ApiResponse response = MakeRefusal(HttpStatus::NotFound, "no such record");
  this->VisitTable(aKind, [&](const auto& aTable) {
    if (const auto* item = aTable.Find(aName)) {
      response = MakeResponse(HttpStatus::Ok, ToItem(*item));
    }
  });
  return response;
}

ApiResponse ConfigQueries::Keys() const {
  Json records = Json::array();
  for (const auto& item : this->snapshot.Keys().Items()) {
    records.push_back({{"id", item->record.id},
                       {"organisation", item->record.organisation},
                       {"name", item->record.name},
                       {"state", ToName(item->record.state)},
                       {"version", item->version}});
  }
  return MakeResponse(HttpStatus::Ok, {{"version", this->snapshot.Version()},
                                       {"records", std::move(records)}});
}

ApiResponse ConfigQueries::Status(Json aNode) const {
  return MakeResponse(
      HttpStatus::Ok,
      {{"version", this->snapshot.Version()},
       {"decode_errors", this->snapshot.DecodeErrors()},
       {"organisations", this->snapshot.Organisations().Items().size()},
       {"keys", this->snapshot.Keys().Items().size()},
       {"routes", this->snapshot.Routes().Items().size()},
       {"rules", this->snapshot.Rules().Items().size()},
       {"members", this->snapshot.Members().Items().size()},
       {"vouchers", this->snapshot.Vouchers().nodes},
       {"node", std::move(aNode)}});
}

ApiResponse ConfigQueries::Explain(const std::string& aBody) const {
  JsonReader reader(aBody);
  const std::string method = reader.Text("method", kMaxMethodLength);
  const std::string path = reader.Text("path", kMaxPathLength);
  const std::string organisation = reader.OptionalName("organisation");
  reader.CheckUnknownFields(UnknownFields::Refuse);
  const Route* route = this->snapshot.FindRoute(method, path);
  if (route == nullptr) {
    return MakeRefusal(HttpStatus::NotFound,
                       "no route for this method and path");
  }
  const RequestPolicy policy = this->snapshot.ResolvePolicy(
      {.route = route, .method = method, .organisation = organisation});
  Json labels = Json::object();
  for (const auto& row : EnumNames<PolicyLabel>::kNames) {
    const LabelDecision& decision = policy.DecisionOn(row.value);
    labels[std::string(row.name)] = {{"value", ValueOf(policy, row.value)},
                                     {"by", ToName(decision.by)},
                                     {"name", decision.name}};
  }
  return MakeResponse(HttpStatus::Ok, {{"version", this->snapshot.Version()},
                                       {"route", route->name},
                                       {"service", route->record.service},
                                       {"labels", std::move(labels)}});
}

}  // namespace fescueline
