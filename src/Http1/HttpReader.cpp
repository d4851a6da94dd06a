#include "Http1/HttpReader.h"

#include <utility>

#include "Core/Error.h"

namespace fescueline {

namespace {
constexpr int kContinueParsing = 0;
constexpr int kNoBodyFollows = 1;
constexpr int kStopParsing = -1;
constexpr int kFirstStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr std::string_view kWhitespace = " \t";
constexpr std::string_view kTransferEncoding = "transfer-encoding";
constexpr std::string_view kChunked = "chunked";
}  // namespace

HttpReader::HttpReader(Settings aSettings)
    : settings(std::move(aSettings)), lines(this->settings.kind) {
  http_parser_init(&this->parser, this->settings.kind == HttpReaderKind::Request
                                      ? HTTP_REQUEST
                                      : HTTP_RESPONSE);
  this->parser.data = this;
}

const http_parser_settings& HttpReader::Callbacks() {
  static const http_parser_settings sCallbacks = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_message_begin = [](http_parser* aParser) {
      HttpReader& reader = Of(aParser);
      reader.head = HttpHead{};
      reader.reason.clear();
      reader.headBytes = 0;
      reader.fields = 0;
      reader.lastWasValue = false;
      reader.inMessage = true;
      reader.hasHead = false;
      reader.skipped = false;
      return kContinueParsing;
    };
    callbacks.on_url = [](http_parser* aParser, const char* aData,
                          size_t aSize) {
      HttpReader& reader = Of(aParser);
      reader.head.target.append(aData, aSize);
      reader.headBytes += aSize;
      return reader.CheckHeadSize();
    };
    callbacks.on_status = [](http_parser* aParser, const char* aData,
                             size_t aSize) {
      HttpReader& reader = Of(aParser);
      reader.reason.append(aData, aSize);
      reader.headBytes += aSize;
      return reader.CheckHeadSize();
    };
    callbacks.on_header_field = [](http_parser* aParser, const char* aData,
                                   size_t aSize) {
      HttpReader& reader = Of(aParser);
      reader.AppendField({aData, aSize});
      return reader.CheckHeadSize();
    };
    callbacks.on_header_value = [](http_parser* aParser, const char* aData,
                                   size_t aSize) {
      HttpReader& reader = Of(aParser);
      reader.AppendValue({aData, aSize});
      return reader.CheckHeadSize();
    };
    callbacks.on_headers_complete = [](http_parser* aParser) {
      return Of(aParser).Guard(
          [](HttpReader& aReader) { return aReader.OnHeadersComplete(); });
    };
    callbacks.on_body = [](http_parser* aParser, const char* aData,
                           size_t aSize) {
      return Of(aParser).Guard([aData, aSize](HttpReader& aReader) {
        return aReader.OnBody({aData, aSize});
      });
    };
    callbacks.on_message_complete = [](http_parser* aParser) {
      return Of(aParser).Guard(
          [](HttpReader& aReader) { return aReader.OnMessageComplete(); });
    };
    return callbacks;
  }();
  return sCallbacks;
}

template <typename F>
int HttpReader::Guard(F aCallback) {
  try {
    return aCallback(*this);
  } catch (const std::exception&) {
    // Rethrown by RethrowFailure, once the frames of the parser have returned.
    this->failure = std::current_exception();
    return kStopParsing;
  }
}

void HttpReader::RethrowFailure() {
  if (this->failure) {
    std::rethrow_exception(std::exchange(this->failure, nullptr));
  }
}

void HttpReader::AppendField(std::string_view aBytes) {
  if (this->head.headers.empty() || this->lastWasValue) {
    this->head.headers.emplace_back();
    ++this->fields;
    this->lastWasValue = false;
  }
  this->head.headers.back().name.append(aBytes);
  this->headBytes += aBytes.size();
}

int HttpReader::CheckHeadSize() {
  if (this->headBytes > this->settings.maxHeadBytes) {
    this->fault = "head too large";
  } else if (this->fields > this->settings.maxFields) {
    this->fault = "too many fields";
  }
  return this->fault.empty() ? kContinueParsing : kStopParsing;
}

void HttpReader::AppendValue(std::string_view aBytes) {
  this->lastWasValue = true;
  this->head.headers.back().value.append(aBytes);
  this->headBytes += aBytes.size();
}

std::string_view HttpReader::ValidateHead() {
  if (this->parser.http_major != 1) {
    return "unknown version";
  }
  if (this->settings.kind == HttpReaderKind::Response) {
    const auto status = static_cast<int>(this->parser.status_code);
    if (status < kFirstStatus || status == kSwitchingProtocols) {
      return "unexpected status";
    }
    if (ContainsStatusLine(this->reason)) {
      return "second response head within a head";
    }
    return this->ValidateFields();
  }
  const bool hasBody = (this->parser.flags & F_CHUNKED) != 0 ||
                       (this->parser.flags & F_CONTENTLENGTH) != 0;
  if (this->parser.method == HTTP_CONNECT && hasBody) {
    // http_parser would take the body for the next request.
    return "body of a CONNECT request";
  }
  if (this->parser.http_minor == 0 &&
      FindHeader(this->head.headers, kTransferEncoding)) {
    return "transfer coding in HTTP/1.0";
  }
  return this->ValidateFields();
}

std::string_view HttpReader::ValidateFields() {
  size_t codings = 0;
  for (HttpHeader& field : this->head.headers) {
    field.value.erase(field.value.find_last_not_of(kWhitespace) + 1);
    if (this->settings.kind == HttpReaderKind::Response &&
        ContainsStatusLine(field.value)) {
      return "second response head within a head";
    }
    if (EqualHeaderName(field.name, kTransferEncoding)) {
      ++codings;
      // Other codings would have to be decoded, since the field is not
      // forwarded.
      if (codings > 1 || !EqualHeaderName(field.value, kChunked)) {
        return "unknown transfer coding";
      }
    }
  }
  return {};
}

int HttpReader::OnHeadersComplete() {
  this->hasHead = true;
  this->headDone = true;
  this->fault = this->ValidateHead();
  if (!this->fault.empty()) {
    return kStopParsing;
  }
  if (this->settings.kind == HttpReaderKind::Request) {
    this->head.method =
        http_method_str(static_cast<http_method>(this->parser.method));
  } else {
    this->head.status = static_cast<int>(this->parser.status_code);
  }
  constexpr uint64_t kNoLength = UINT64_MAX;
  this->chunked = (this->parser.flags & F_CHUNKED) != 0;
  if (this->chunked) {
    this->lines.BeginChunks();
  }
  if (!this->chunked && this->parser.content_length != kNoLength) {
    this->head.length = this->parser.content_length;
  }
  this->head.endsAtClose = this->settings.kind == HttpReaderKind::Response &&
                           !this->chunked && !this->head.length;
  this->head.keepAlive = http_should_keep_alive(&this->parser) != 0;
  this->head.acceptsChunked = this->parser.http_minor > 0;
  if (this->settings.kind == HttpReaderKind::Response &&
      this->head.status < kFirstFinalStatus) {
    // Interim response; the final one follows.
    this->skipped = true;
    if (++this->interimCount > this->settings.maxInterim) {
      this->fault = "too many interim responses";
      return kStopParsing;
    }
    return kNoBodyFollows;
  }
  const bool bodiless = this->settings.kind == HttpReaderKind::Response &&
                        (this->noBody || IsBodiless(this->head.status));
  this->skipped = !this->settings.events.onHead(std::move(this->head));
  this->interimCount = 0;
  if (!this->skipped) {
    this->skippedCount = 0;
    this->skippedBytes = 0;
  } else if (++this->skippedCount > this->settings.maxSkipped) {
    this->fault = "too many responses to other requests";
    return kStopParsing;
  }
  return bodiless ? kNoBodyFollows : kContinueParsing;
}

int HttpReader::OnBody(std::string_view aBytes) {
  if (!this->skipped) {
    if (this->bodyPart.empty()) {
      this->bodyPart = aBytes;
    } else {
      // A server may send chunks of a single byte; reported one by one, each
      // would cost its receivers far more memory than its size.
      if (this->joinedBody.empty()) {
        this->joinedBody = this->bodyPart;
      }
      this->joinedBody.append(aBytes);
      this->bodyPart = this->joinedBody;
    }
    return kContinueParsing;
  }
  this->skippedBytes += aBytes.size();
  if (this->skippedBytes > this->settings.maxSkippedBytes) {
    this->fault = "response to another request too long";
    return kStopParsing;
  }
  return kContinueParsing;
}

void HttpReader::FlushBody() {
  const std::string joined = std::exchange(this->joinedBody, {});
  const std::string_view part = std::exchange(this->bodyPart, {});
  if (!part.empty()) {
    this->settings.events.onBody(joined.empty() ? part : joined);
  }
}

int HttpReader::OnMessageComplete() {
  this->messageDone = true;
  this->inMessage = false;
  this->hasHead = false;
  this->ended = !this->skipped;
  this->lines.BeginHead();
  http_parser_pause(&this->parser, 1);
  return kContinueParsing;
}

size_t HttpReader::Feed(std::string_view aBytes) {
  this->ended = false;
  size_t used = 0;
  while (used < aBytes.size() && !this->ended) {
    used += this->ParsePart(aBytes.substr(used));
  }
  this->FlushBody();
  if (this->ended) {
    // Called only here, since the handler may feed the next message.
    this->settings.events.onEnd();
  }
  return used;
}

size_t HttpReader::ParsePart(std::string_view aBytes) {
  const bool inHead = !this->hasHead;
  const bool hasLines = inHead || this->chunked;
  const size_t size = hasLines ? this->lines.Check(aBytes) : aBytes.size();
  const bool linesEnded = hasLines && this->lines.HasEnded();
  this->headDone = false;
  this->messageDone = false;
  const size_t used =
      http_parser_execute(&this->parser, &Callbacks(), aBytes.data(), size);
  this->RethrowFailure();
  if (this->messageDone) {
    http_parser_pause(&this->parser, 0);
  }
  const auto error = HTTP_PARSER_ERRNO(&this->parser);
  if (error != HPE_OK) {
    this->FlushBody();
    throw Error(
        "http.parse", "",
        this->fault.empty() ? http_errno_description(error) : this->fault);
  }
  const bool partEnded = inHead ? this->headDone : this->messageDone;
  if (hasLines && partEnded != linesEnded) {
    this->FlushBody();
    throw Error("http.parse", "",
                "parser and line checker disagree on the end of the message");
  }
  return used;
}

bool HttpReader::FinishAtEof() {
  if (!this->inMessage) {
    return false;
  }
  this->ended = false;
  http_parser_execute(&this->parser, &Callbacks(), nullptr, 0);
  this->RethrowFailure();
  if (this->ended) {
    this->settings.events.onEnd();
  }
  return this->ended;
}

}  // namespace fescueline
