#include "Http1/HttpWriter.h"

#include <fmt/format.h>
#include <http_parser.h>

namespace fescueline {

namespace {
void AppendHeaders(std::string& aText, const HttpHeaders& aHeaders,
                   const HttpFraming& aFraming) {
  for (const HttpHeader& header : aHeaders) {
    aText += header.name;
    aText += ": ";
    aText += header.value;
    aText += "\r\n";
  }
  if (aFraming.chunked) {
    aText += "Transfer-Encoding: chunked\r\n";
  } else if (aFraming.length) {
    aText += "Content-Length: ";
    aText += std::to_string(*aFraming.length);
    aText += "\r\n";
  }
  if (aFraming.close) {
    aText += "Connection: close\r\n";
  }
  aText += "\r\n";
}
}  // namespace

std::string WriteRequestHead(std::string_view aMethod, std::string_view aTarget,
                             const HttpHeaders& aHeaders,
                             const HttpFraming& aFraming) {
  std::string text;
  text.reserve(512);
  text += aMethod;
  text += ' ';
  text += aTarget;
  text += " HTTP/1.1\r\n";
  AppendHeaders(text, aHeaders, aFraming);
  return text;
}

std::string WriteResponseHead(int aStatus, const HttpHeaders& aHeaders,
                              const HttpFraming& aFraming) {
  std::string text =
      fmt::format("HTTP/1.1 {} {}\r\n", aStatus,
                  http_status_str(static_cast<http_status>(aStatus)));
  AppendHeaders(text, aHeaders, aFraming);
  return text;
}

std::string WriteChunk(std::string_view aPart) {
  return fmt::format("{:x}\r\n{}\r\n", aPart.size(), aPart);
}

}  // namespace fescueline
