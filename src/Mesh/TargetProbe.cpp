#include "Mesh/TargetProbe.h"

#include <charconv>
#include <memory>

#include "Http1/HttpWriter.h"
#include "Log/Log.h"

namespace fescueline {

namespace {
/// Questions of one process. A target that answers none of them is found by
/// its next report.
constexpr uint32_t kMaxQuestions = 3;
constexpr int kOk = 200;
}  // namespace

std::optional<uint32_t> SlotsOfLoad(std::string_view aText) {
  const size_t last = aText.rfind(',');
  if (last == std::string_view::npos || aText.find(',') == last) {
    return std::nullopt;
  }
  const std::string_view digits = aText.substr(last + 1);
  uint32_t slots = 0;
  const auto result =
      std::from_chars(digits.data(), digits.data() + digits.size(), slots);
  const bool whole = result.ptr == digits.data() + digits.size();
  if (result.ec != std::errc() || !whole || slots == 0) {
    return std::nullopt;
  }
  return slots;
}

void TargetProbe::Ask(const std::string& aPath) {
  if (this->asked >= kMaxQuestions || aPath.empty()) {
    return;
  }
  ++this->asked;
  this->settings.pool.Acquire(Duration::zero(), [this, aPath](
                                                    const ConnectionPool::
                                                        ConnectionPtr&
                                                            aConnection,
                                                    const std::string& aError) {
    if (!aConnection) {
      Log(LogLevel::Info, "target not reached by a probe", {{"error", aError}});
      return;
    }
    const auto answer = std::make_shared<std::optional<ProbeAnswer>>();
    aConnection->Send(
        WriteRequestHead("GET", aPath, {{"Host", this->settings.host}}, {}),
        false,
        {.onHead =
             [this, answer](const HttpHead& aHead) {
               const HeaderVocabulary& names = this->settings.headers;
               const auto id = FindHeader(aHead.headers, names.targetId);
               const auto load = FindHeader(aHead.headers, names.load);
               const auto slots = load ? SlotsOfLoad(*load) : std::nullopt;
               if (aHead.status == kOk && id && slots) {
                 *answer = {.id = std::string(*id), .slots = *slots};
               }
               return true;
             },
         .onBody = [](std::string_view) {},
         .onDone =
             [this, aConnection, answer](const ClientExchangeResult& aResult) {
               if (aResult.reusable) {
                 this->settings.pool.Release(aConnection);
               }
               if (aResult.whole && *answer) {
                 this->settings.onReady(**answer);
               }
             }});
  });
}

}  // namespace fescueline
