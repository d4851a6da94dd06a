#include "Log/Log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/trivial.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>
#include <chrono>
#include <mutex>
#include <nlohmann/json.hpp>

#include "Log/EventLimiter.h"
#include "Log/LineWriter.h"

namespace fescueline {

namespace {
/// Limit per event: enough lines to show how a burst begins, about 10 KB.
constexpr uint32_t kMaxLinesPerSecond = 40;

std::string_view NameOf(LogLevel aLevel) {
  switch (aLevel) {
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      return "error";
    default:
      return "info";
  }
}

std::string FormatTime() {
  const auto now = std::chrono::system_clock::now();
  const auto seconds = std::chrono::time_point_cast<std::chrono::seconds>(now);
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(now - seconds);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:06}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)),
                     micros.count());
}

std::string FormatLine(LogLevel aLevel, std::string_view aEvent,
                       const std::vector<LogField>& aFields) {
  nlohmann::ordered_json object;
  object["time"] = FormatTime();
  object["level"] = NameOf(aLevel);
  object["event"] = aEvent;
  for (const LogField& field : aFields) {
    object[std::string(field.key)] = field.value;
  }
  // Values come from callers and need not be valid UTF-8.
  return object.dump(-1, ' ', false,
                     nlohmann::ordered_json::error_handler_t::replace);
}

/// Boost.Log backend that never blocks on the reader of the log.
class LineBackend : public boost::log::sinks::basic_formatted_sink_backend<
                        char, boost::log::sinks::synchronized_feeding> {
 public:
  // Boost.Log requires this name.
  void consume(  // NOLINT(readability-identifier-naming)
      const boost::log::record_view&, const std::string& aLine) {
    const TimePoint now = SteadyClock().Now();
    this->writer.Write(aLine, now);
    if (const uint64_t dropped = this->writer.TakeDropped()) {
      this->unreportedDrops += dropped;
    } else if (this->unreportedDrops > 0) {
      const std::string count = std::to_string(this->unreportedDrops);
      this->unreportedDrops = 0;
      this->writer.Write(FormatLine(LogLevel::Warning, "log lines dropped",
                                    {{"count", count}}),
                         now);
    }
  }
  void Flush() { this->writer.Flush(SteadyClock().Now()); }

 private:
  LineWriter writer{LineWriter::Settings{}};
  /// Dropped lines that have not been reported yet.
  uint64_t unreportedDrops = 0;
};

using Sink = boost::log::sinks::synchronous_sink<LineBackend>;

/// Log of the process.
struct LogState {
  LogState() : sink(boost::make_shared<Sink>()) {
    this->sink->set_formatter(boost::log::expressions::stream
                              << boost::log::expressions::message);
    boost::log::core::get()->add_sink(this->sink);
  }

  boost::shared_ptr<Sink> sink;
  /// Guards the limiter; no other lock is taken while it is held.
  std::mutex mutex;
  EventLimiter limiter{kMaxLinesPerSecond};
};

LogState& State() {
  // Never destroyed, as threads may log until the process ends.
  static auto* const sState = new LogState();
  return *sState;
}

void Emit(LogLevel aLevel, std::string_view aEvent,
          const std::vector<LogField>& aFields) {
  BOOST_LOG_STREAM(boost::log::trivial::logger::get())
      << FormatLine(aLevel, aEvent, aFields);
}

void EmitSuppressed(LogState& aState, TimePoint aNow) {
  std::vector<EventLimiter::Suppressed> suppressed;
  {
    const std::lock_guard lock(aState.mutex);
    suppressed = aState.limiter.TakeSuppressed(aNow);
  }
  for (const auto& [event, count] : suppressed) {
    Emit(LogLevel::Warning, "log lines suppressed",
         {{"of", event}, {"count", std::to_string(count)}});
  }
}
}  // namespace

void Log(LogLevel aLevel, std::string_view aEvent,
         const std::vector<LogField>& aFields) {
  LogState& state = State();
  const TimePoint now = SteadyClock().Now();
  EmitSuppressed(state, now);
  {
    const std::lock_guard lock(state.mutex);
    if (!state.limiter.Allow(aEvent, now)) {
      return;
    }
  }
  Emit(aLevel, aEvent, aFields);
}

void FlushLog() {
  LogState& state = State();
  EmitSuppressed(state, SteadyClock().Now());
  state.sink->locked_backend()->Flush();
}

void DisableLog() { boost::log::core::get()->set_logging_enabled(false); }

}  // namespace fescueline
