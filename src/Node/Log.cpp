#include "Node/Log.h"

#include <boost/log/core.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>
#include <sstream>

namespace fescueline {

namespace {
boost::log::trivial::severity_level Severity(LogLevel aLevel) {
  switch (aLevel) {
    case LogLevel::Warning:
      return boost::log::trivial::warning;
    case LogLevel::Error:
      return boost::log::trivial::error;
    default:
      return boost::log::trivial::info;
  }
}

void SetUp() {
  boost::log::add_common_attributes();
  boost::log::add_console_log(
      std::clog,
      boost::log::keywords::format = "%TimeStamp% level=%Severity% %Message%");
}

/// Quotes a value so that it cannot break the line.
std::string Quote(std::string_view aValue) {
  std::string quoted = "\"";
  for (char character : aValue) {
    if (character == '"' || character == '\\') {
      quoted.push_back('\\');
    }
    const bool control = static_cast<unsigned char>(character) < ' ';
    quoted.push_back(control ? ' ' : character);
  }
  return quoted + "\"";
}
}  // namespace

void Log(LogLevel aLevel, std::string_view aEvent,
         const std::vector<LogField>& aFields) {
  static const bool sReady = (SetUp(), true);
  static_cast<void>(sReady);
  std::ostringstream line;
  line << "event=" << Quote(aEvent);
  for (const LogField& field : aFields) {
    line << ' ' << field.key << '=' << Quote(field.value);
  }
  BOOST_LOG_STREAM_WITH_PARAMS(
      boost::log::trivial::logger::get(),
      (boost::log::keywords::severity = Severity(aLevel)))
      << line.str();
}

void DisableLog() { boost::log::core::get()->set_logging_enabled(false); }

}  // namespace fescueline
