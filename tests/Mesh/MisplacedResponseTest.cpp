#include <fmt/format.h>

#include <map>

#include "Mesh/TargetPath.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

/// An extra response that a faulty target writes at a wrong place.
struct Extra {
  std::string what;
  /// Status line and fields, without the identifier.
  std::string head;
  std::string body;
  /// Whether it declares that the target did not run the request.
  bool declared = false;
};

const std::string kMark = "X-Mark: other\r\n";

Extra RefusalOf(int aStatus, bool aDeclared) {
  const std::string body = "refused\n";
  return {.what = fmt::format("{} {}", aStatus,
                              aDeclared ? "declared" : "undeclared"),
          .head = fmt::format("HTTP/1.1 {} X\r\n{}{}Content-Length: {}\r\n",
                              aStatus, kMark,
                              aDeclared ? "X-Not-Run: 1\r\n" : "", body.size()),
          .body = body,
          .declared = aDeclared || aStatus == 421};
}

Extra Interim(const std::string& aStart) {
  return {.what = aStart,
          .head = "HTTP/1.1 " + aStart + "\r\n" + kMark,
          .body = {}};
}

std::vector<Extra> AllRefusals() {
  std::vector<Extra> extras;
  for (const int status : {408, 421, 429, 503}) {
    extras.push_back(RefusalOf(status, true));
    extras.push_back(RefusalOf(status, false));
  }
  return extras;
}

std::vector<Extra> Interims() {
  return {Interim("100 Continue"),
          Interim("101 Switching Protocols"),
          Interim("101 Switching Protocols\r\nUpgrade: x\r\n"
                  "Connection: upgrade"),
          Interim("101 Switching Protocols\r\nContent-Length: 5"),
          Interim("102 Processing\r\nX-Not-Run: 1"),
          Interim("103 Early Hints\r\nLink: x"),
          Interim("103 Early Hints\r\nTransfer-Encoding: chunked"),
          Interim("102 Processing\r\nUpgrade: x\r\nConnection: upgrade"),
          Interim("103 Early Hints\r\nContent-Length: 5"),
          Interim("199 X\r\nConnection: close")};
}

/// Identifier fields of the extra response; OWN is that of the request.
const std::vector<std::vector<std::string>> kIds = {{},
                                                    {""},
                                                    {"earlier"},
                                                    {"OWN"},
                                                    {"earlier", "OWN"},
                                                    {"OWN", "earlier"},
                                                    {"OWN", "OWN"},
                                                    {"OWN", ""}};

std::string ToText(const std::vector<std::string>& aIds) {
  return fmt::format("[{}]", fmt::join(aIds, ","));
}

std::string BytesOf(const Extra& aExtra, const std::vector<std::string>& aIds,
                    const std::string& aOwn) {
  std::string bytes = aExtra.head;
  for (const std::string& id : aIds) {
    bytes += "X-Id: " + (id == "OWN" ? aOwn : id) + "\r\n";
  }
  return bytes + "\r\n" + aExtra.body;
}

/// Place at which the target writes the extra response.
enum class Place : uint8_t {
  /// Before the request's response, in the same read as it, on a reused
  /// connection.
  Before,
  /// Before the request's response, in a read of its own, on a reused
  /// connection.
  BeforeInOwnRead,
  /// After the response to the previous request, in the same read as it.
  AfterPrevious,
  /// After a response to another request, which is skipped.
  AfterSkipped,
  /// Before the request's response, on a new connection.
  NewConnection
};

const std::map<Place, std::string> kPlaces = {
    {Place::Before, "front"},
    {Place::BeforeInOwnRead, "front, own read"},
    {Place::AfterPrevious, "after the previous response"},
    {Place::AfterSkipped, "after a skipped response"},
    {Place::NewConnection, "new connection"}};

std::string IdOf(const std::string& aRequest) {
  const size_t at = aRequest.find("X-Id: ") + 6;
  return aRequest.substr(at, aRequest.find("\r\n", at) - at);
}

std::string OwnResponse(const std::string& aId,
                        const std::string& aFields = {}) {
  const std::string body = "answer to " + aId;
  return fmt::format(
      "HTTP/1.1 200 OK\r\nX-Id: {}\r\n{}Content-Length: {}\r\n\r\n{}", aId,
      aFields, body.size(), body);
}

/// A target that runs every request and writes an extra response for each aimed
/// request, but not for plain ones.
class FaultyTarget {
 public:
  /// Sends a plain request, then an aimed request, for which the target writes
  /// the extra response. Returns the response to the aimed request.
  ReceivedResponse Aim(
      const std::string& aPath, Place aPlace,
      std::function<std::string(const std::string& aId)> aExtra) {
    this->place = aPlace;
    this->extra = std::move(aExtra);
    // Avoids running out of sockets.
    std::erase_if(this->path.connections,
                  [](const auto& aConnection) { return aConnection->closed; });
    ++this->number;
    this->Call(aPath, fmt::format("plain{}", this->number));
    this->aimed = fmt::format("aimed{}", this->number);
    const ReceivedResponse seen = this->Call(aPath, this->aimed);
    if (aPlace == Place::BeforeInOwnRead) {
      // Waits until the delayed response has arrived on the idle connection.
      RunPromptly(
          this->path.io, [] { return false; }, 6ms);
    }
    return seen;
  }
  /// Number of runs of the last aimed request.
  size_t Runs() const {
    const auto found = this->runs.find(this->aimed);
    return found == this->runs.end() ? 0 : found->second;
  }
  const std::string& Aimed() const { return this->aimed; }
  bool CountsFault(ResponseFault aFault) const {
    return this->path.CountsFault(aFault);
  }
  const std::string& Received() const { return this->caller.received; }

 private:
  ReceivedResponse Call(const std::string& aPath, const std::string& aId) {
    this->caller.received.clear();
    this->caller.Send(
        TargetPath::Request("GET", aPath, aId, "X-Timeout: 200\r\n"));
    ReceivedResponse seen;
    REQUIRE(RunPromptly(this->path.io, [&] {
      seen = ReceivedResponse::Of(this->caller.received, false, false);
      return seen.complete;
    }));
    return seen;
  }

  void OnRequest(TargetConnection& aConnection, const std::string& aRequest) {
    const std::string id = IdOf(aRequest);
    const std::string own = OwnResponse(id);
    ++this->runs[id];
    if (id.starts_with("plain")) {
      if (this->place == Place::NewConnection) {
        this->kept = nullptr;
        aConnection.Send(OwnResponse(id, "Connection: close\r\n"));
        return;
      }
      this->kept = &aConnection;
      const bool behind = this->place == Place::AfterPrevious;
      aConnection.Send(
          own +
          (behind ? this->extra(fmt::format("aimed{}", this->number)) : ""));
      return;
    }
    const bool onKept = this->place != Place::NewConnection &&
                        this->place != Place::AfterPrevious;
    CHECK((&aConnection == this->kept) == onKept);
    switch (this->place) {
      case Place::Before:
      case Place::NewConnection:
        aConnection.Send(this->extra(id) + own);
        return;
      case Place::BeforeInOwnRead:
        aConnection.Send(this->extra(id), [this, &aConnection, own] {
          this->pause.expires_after(3ms);
          this->pause.async_wait(
              [self = aConnection.shared_from_this(),
               own](const asio::error_code&) { self->Send(own); });
        });
        return;
      case Place::AfterPrevious:
        aConnection.Send(own);
        return;
      case Place::AfterSkipped:
        aConnection.Send(OwnResponse("skipped", kMark) + this->extra(id) + own);
        return;
    }
  }

  Place place = Place::Before;
  std::function<std::string(const std::string&)> extra;
  std::map<std::string, size_t> runs;
  const TargetConnection* kept = nullptr;
  size_t number = 0;
  std::string aimed;
  TargetPath path{
      [this](TargetConnection& aConnection, const std::string& aRequest) {
        this->OnRequest(aConnection, aRequest);
      }};
  asio::steady_timer pause{this->path.io};
  RawPeer& caller = this->path.NewCaller();
};

/// Checks that the caller of a request that ran gets the request's own response
/// or an unknown outcome.
void CheckResult(const FaultyTarget& aTarget, const ReceivedResponse& aSeen) {
  CAPTURE(aTarget.Received());
  CHECK(aTarget.Runs() == 1);
  CHECK((aSeen.status == 200 || aSeen.status == 502 || aSeen.status == 504));
  if (aSeen.status == 200) {
    CHECK(aSeen.complete);
    CHECK(aSeen.body == "answer to " + aTarget.Aimed());
    CHECK_FALSE(Contains(aTarget.Received(), kMark));
  }
}

/// Whether the node has to accept the extra response: a declared refusal with
/// the request's identifier is valid until another response has arrived.
bool IsValidResult(const Extra& aExtra, const std::vector<std::string>& aIds,
                   Place aPlace) {
  const bool named = !aIds.empty() &&
                     std::ranges::find(aIds, "OWN") != aIds.end() &&
                     std::ranges::find(aIds, "earlier") == aIds.end();
  return aExtra.declared && named && aPlace == Place::BeforeInOwnRead;
}

}  // namespace

// A target writes an extra refusal at any place in the stream of responses,
// with any identifier, for a request that it runs. Guards against "not run" for
// that request, against a second run, and against a response of another
// request.
TEST_CASE("a misplaced refusal is not the result of a request that runs") {
  FaultyTarget target;
  for (const Extra& extra : AllRefusals()) {
    for (const auto& ids : kIds) {
      for (const auto& [place, where] : kPlaces) {
        if (IsValidResult(extra, ids, place)) {
          continue;
        }
        CAPTURE(extra.what);
        CAPTURE(ToText(ids));
        CAPTURE(where);
        const ReceivedResponse seen = target.Aim(
            "/once/", place,
            [&](const std::string& aId) { return BytesOf(extra, ids, aId); });
        CheckResult(target, seen);
      }
    }
  }
}

// A target writes an extra interim response at any place in the stream of
// responses; http_parser treats those that switch protocols as an upgrade.
// Guards against any result other than the request's own response or an unknown
// outcome.
TEST_CASE("a misplaced interim response is not the result of a request") {
  FaultyTarget target;
  for (const char* route : {"/once/", "/safe/"}) {
    for (const Extra& extra : Interims()) {
      for (const auto& ids : kIds) {
        for (const auto& [place, where] : kPlaces) {
          CAPTURE(std::string(route));
          CAPTURE(extra.what);
          CAPTURE(ToText(ids));
          CAPTURE(where);
          const ReceivedResponse seen = target.Aim(
              route, place,
              [&](const std::string& aId) { return BytesOf(extra, ids, aId); });
          CheckResult(target, seen);
          const bool switches = extra.what.starts_with("101");
          CHECK((seen.status == 200) ==
                (!switches || place == Place::AfterPrevious));
        }
      }
    }
  }
}

// The extra response before the request's own is truncated within its head or
// body. Guards against a part of it that is taken for the result.
TEST_CASE("a part of a misplaced response is not the result of a request") {
  FaultyTarget target;
  for (const Extra& extra :
       {RefusalOf(503, true), RefusalOf(429, true), RefusalOf(421, false),
        RefusalOf(503, false), Interim("101 Switching Protocols"),
        Interim("103 Early Hints\r\nLink: x")}) {
    for (const auto& ids :
         std::vector<std::vector<std::string>>{{}, {"earlier"}, {"OWN"}}) {
      const size_t size = BytesOf(extra, ids, "aimed100").size();
      for (size_t cut = 1; cut < size; ++cut) {
        for (const Place place : {Place::Before, Place::NewConnection}) {
          CAPTURE(extra.what);
          CAPTURE(ToText(ids));
          CAPTURE(cut);
          CAPTURE(kPlaces.at(place));
          const ReceivedResponse seen =
              target.Aim("/once/", place, [&](const std::string& aId) {
                return BytesOf(extra, ids, aId).substr(0, cut);
              });
          CheckResult(target, seen);
        }
      }
    }
  }
}

// The extra refusal announces a body longer than all that follows it. Guards
// against "not run" before the request's own response is found in that body.
TEST_CASE("a refusal whose body contains the response is not the result") {
  FaultyTarget target;
  Extra extra = RefusalOf(503, true);
  extra.head =
      "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\n" + kMark + "Content-Length: 5000\r\n";
  extra.body = "a part of the body";
  for (const auto& ids : kIds) {
    for (const Place place :
         {Place::Before, Place::BeforeInOwnRead, Place::NewConnection}) {
      CAPTURE(ToText(ids));
      CAPTURE(kPlaces.at(place));
      const ReceivedResponse seen = target.Aim(
          "/once/", place,
          [&](const std::string& aId) { return BytesOf(extra, ids, aId); });
      CheckResult(target, seen);
    }
  }
  CHECK(target.CountsFault(ResponseFault::Contradicted));
}
