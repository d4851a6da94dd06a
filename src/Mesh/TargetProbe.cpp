#include "Mesh/TargetProbe.h"

#include <charconv>
#include <memory>

#include "Http1/HttpWriter.h"
#include "Log/Log.h"

namespace fescueline {

namespace {
/// Maximum number of probes until Renew. A target that answers none of them is
/// discovered by its next report.
constexpr uint32_t kMaxProbes = 3;
/// Shorter than the shortest report interval, after which the target is known
/// anyway.
constexpr Duration kResponseTimeout = std::chrono::seconds(1);
/// Short, as the target is on this host.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
/// Maximum response body in bytes. Only the head is evaluated.
constexpr size_t kMaxBodyBytes = size_t{64} * 1024;
constexpr int kOk = 200;
}  // namespace

std::optional<uint32_t> ParseSlots(std::string_view aText) {
  const size_t waiting = aText.find(',');
  const size_t slotsAt = waiting == std::string_view::npos
                             ? waiting
                             : aText.find(',', waiting + 1);
  if (slotsAt == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view rest = aText.substr(slotsAt + 1);
  // A fourth figure, the speed of the target's machine, may follow.
  const std::string_view digits = rest.substr(0, rest.find(','));
  uint32_t slots = 0;
  const auto result =
      std::from_chars(digits.data(), digits.data() + digits.size(), slots);
  const bool allParsed = result.ptr == digits.data() + digits.size();
  if (result.ec != std::errc() || !allParsed || slots == 0) {
    return std::nullopt;
  }
  return slots;
}

Duration ParseColdTime(std::string_view aText) {
  constexpr uint32_t kMillisecondsPerDay = 24 * 3600 * 1000;
  uint32_t milliseconds = 0;
  const auto result =
      std::from_chars(aText.data(), aText.data() + aText.size(), milliseconds);
  // A fraction of a millisecond is ignored.
  if (result.ec != std::errc() || milliseconds > kMillisecondsPerDay) {
    return Duration::zero();
  }
  return std::chrono::milliseconds(milliseconds);
}

void TargetProbe::Start(const std::string& aPath) {
  if (this->sentProbes >= kMaxProbes || aPath.empty()) {
    return;
  }
  ++this->sentProbes;
  const auto connection =
      std::make_shared<HttpClientConnection>(this->settings.io);
  connection->Connect(this->settings.target, kConnectTimeout,
                      [this, connection, aPath](const std::string& aError) {
                        if (aError.empty()) {
                          this->Send(connection, aPath);
                        } else {
                          Log(LogLevel::Info, "target not reached by a probe",
                              {{"error", aError}});
                        }
                      });
}

void TargetProbe::Send(const ConnectionPtr& aConnection,
                       const std::string& aPath) {
  const auto timer =
      std::make_shared<asio::steady_timer>(this->settings.io, kResponseTimeout);
  timer->async_wait([connection = std::weak_ptr(aConnection)](
                        const asio::error_code& aError) {
    const auto open = connection.lock();
    if (!aError && open) {
      open->Close("probe timed out");
    }
  });
  const auto answer = std::make_shared<std::optional<ProbeResult>>();
  aConnection->Send(
      WriteRequestHead("GET", aPath, {{"Host", this->settings.host}}, {}),
      false,
      {.onHead =
           [this, answer](const HttpHead& aHead) {
             *answer = this->Read(aHead);
             return ResponseVerdict::Accept;
           },
       .onBody =
           [this, connection = std::weak_ptr(aConnection),
            bytes = size_t{0}](std::string_view aPart) mutable {
             const bool fitted = bytes <= kMaxBodyBytes;
             bytes += aPart.size();
             if (fitted && bytes > kMaxBodyBytes) {
               // Posted, as the connection must not be closed within its own
               // read callback.
               asio::post(this->settings.io, [connection] {
                 if (const auto open = connection.lock()) {
                   open->Close("response body of probe too long");
                 }
               });
             }
           },
       .onDone =
           [this, timer, aConnection,
            answer](const ClientExchangeResult& aResult) {
             timer->cancel();
             aConnection->Close("probe done");
             if (!aResult.complete) {
               Log(LogLevel::Info, "probe not answered",
                   {{"error", aResult.error}});
             }
             if (aResult.complete && *answer) {
               this->settings.onReady(**answer);
             }
           }});
}

std::optional<ProbeResult> TargetProbe::Read(const HttpHead& aHead) const {
  const HeaderNames& names = this->settings.headers;
  const auto id = FindHeader(aHead.headers, names.targetId);
  const auto load = FindHeader(aHead.headers, names.load);
  if (aHead.status != kOk || !id) {
    Log(LogLevel::Info, "target not ready by a probe",
        {{"target", std::string(id.value_or(""))},
         {"status", std::to_string(aHead.status)}});
    return std::nullopt;
  }
  const auto cold = FindHeader(aHead.headers, names.coldTime);
  return ProbeResult{.id = std::string(*id),
                     .slots = load ? ParseSlots(*load) : std::nullopt,
                     .coldFor = ParseColdTime(cold.value_or(""))};
}

}  // namespace fescueline
