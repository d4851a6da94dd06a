#include "Platform/HttpSession.h"

#include <curl/curl.h>
#include <fmt/format.h>

#include <charconv>
#include <new>

#include "Core/ResponseHeadTracker.h"

namespace fescueline {

namespace {

constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;
constexpr int kServiceUnavailable = 503;
constexpr std::string_view kTagHeader = "etag:";

/// Collects one response, on the calling thread.
struct Receiver {
  HttpReply reply;
  /// Maximum size of the body.
  size_t maxBytes = 0;
  /// Tracks whether the response head is complete.
  ResponseHeadTracker head = {};
};

struct HeaderListDeleter {
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};
using HeaderList = std::unique_ptr<curl_slist, HeaderListDeleter>;

size_t ReceiveBody(char* aBytes, size_t aSize, size_t aCount, void* aReceiver) {
  auto& receiver = *static_cast<Receiver*>(aReceiver);
  const size_t bytes = aSize * aCount;
  if (bytes > receiver.maxBytes - receiver.reply.body.size()) {
    return 0;  // libcurl then fails the transfer with CURLE_WRITE_ERROR.
  }
  receiver.reply.body.append(aBytes, bytes);
  return bytes;
}

size_t ReceiveHeader(char* aBytes, size_t aSize, size_t aCount,
                     void* aReceiver) {
  const std::string_view line(aBytes, aSize * aCount);
  if (!static_cast<Receiver*>(aReceiver)->head.AddLine(line).empty()) {
    return 0;
  }
  if (line.size() > kTagHeader.size() &&
      curl_strnequal(aBytes, kTagHeader.data(), kTagHeader.size()) != 0) {
    const size_t open = line.find('"');
    const size_t close = line.rfind('"');
    if (open != std::string_view::npos && close > open) {
      static_cast<Receiver*>(aReceiver)->reply.tag =
          line.substr(open + 1, close - open - 1);
    }
  }
  return line.size();
}

HeaderList MakeHeaders(const std::vector<std::string>& aLines) {
  // An empty "Expect" header stops libcurl from waiting up to a second for
  // "100 Continue" before it sends the body.
  HeaderList list(curl_slist_append(nullptr, "Expect:"));
  for (const std::string& line : aLines) {
    curl_slist* longer = curl_slist_append(list.get(), line.c_str());
    if (longer == nullptr) {
      throw std::bad_alloc();
    }
    static_cast<void>(list.release());
    list.reset(longer);
  }
  return list;
}

long Milliseconds(Duration aDuration) {
  return static_cast<long>(
      std::chrono::ceil<std::chrono::milliseconds>(aDuration).count());
}

/// Whether the error proves that no byte of the request was sent.
bool FailedBeforeSending(CURL* aHandle, int aCode) {
  switch (aCode) {
    case CURLE_URL_MALFORMAT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_COULDNT_CONNECT:
      return true;
    // Also reported for a response with a malformed status line.
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_OPERATION_TIMEDOUT: {
      long sent = 0;
      curl_easy_getinfo(aHandle, CURLINFO_REQUEST_SIZE, &sent);
      return sent == 0;
    }
    default:
      return false;
  }
}

}  // namespace

void HttpSession::HandleDeleter::operator()(void* aHandle) const {
  curl_easy_cleanup(aHandle);
}

HttpSession::HttpSession(Options aOptions) : options(std::move(aOptions)) {
  static const CURLcode kInitialised = curl_global_init(CURL_GLOBAL_DEFAULT);
  this->handle.reset(kInitialised == CURLE_OK ? curl_easy_init() : nullptr);
  if (this->handle == nullptr) {
    throw this->MakeError(Failure::Unavailable, "http.open",
                          "libcurl cannot be initialised");
  }
}

PlatformError HttpSession::MakeError(Failure aFailure, std::string_view aStep,
                                     std::string_view aMessage) const {
  return {aFailure, aStep, this->options.baseUrl, aMessage};
}

void HttpSession::Prepare(const HttpCall& aCall) {
  CURL* curl = this->handle.get();
  curl_easy_reset(curl);
  curl_easy_setopt(curl, CURLOPT_URL,
                   (this->options.baseUrl + aCall.path).c_str());
  curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_FOLLOWLOCATION, 0L);
  // libcurl would otherwise remove "..", which is a valid key, from the path.
  curl_easy_setopt(curl, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
                   Milliseconds(this->options.connectTimeout));
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
                   Milliseconds(this->options.totalTimeout));
  // Responses carry no request id, so on a reused connection a late duplicate
  // of a response would be taken for the response to the next call. libcurl
  // would also resend a request when a reused connection closes before the
  // response.
  curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, ReceiveBody);
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, ReceiveHeader);
  if (aCall.verb != HttpVerb::Get) {
    curl_easy_setopt(curl, CURLOPT_POST, 1L);
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, aCall.body.data());
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(aCall.body.size()));
  }
  if (aCall.verb == HttpVerb::Put) {
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, "PUT");
  }
}

void HttpSession::ThrowTransferError(const HttpCall& aCall, int aCode) const {
  const bool noEffect = aCall.verb == HttpVerb::Get ||
                        FailedBeforeSending(this->handle.get(), aCode);
  throw this->MakeError(
      noEffect ? Failure::Unavailable : Failure::OutcomeUnknown, aCall.step,
      curl_easy_strerror(CURLcode(aCode)));
}

HttpReply HttpSession::Perform(const HttpCall& aCall) {
  this->Prepare(aCall);
  const HeaderList headers = MakeHeaders(aCall.headers);
  Receiver receiver{.reply = {}, .maxBytes = this->options.maxResponseBytes};
  CURL* curl = this->handle.get();
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &receiver);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, &receiver);
  const CURLcode code = curl_easy_perform(curl);
  if (code != CURLE_OK) {
    this->ThrowTransferError(aCall, code);
  }
  if (!receiver.head.IsComplete()) {
    this->ThrowTransferError(aCall, CURLE_PARTIAL_FILE);
  }
  long status = 0;
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
  receiver.reply.status = static_cast<int>(status);
  if (status == kTooManyRequests || status >= kFirstServerError) {
    // The server sends 429 and 503 before it writes anything; other errors may
    // follow a write.
    const bool noEffect = aCall.verb == HttpVerb::Get ||
                          status == kTooManyRequests ||
                          status == kServiceUnavailable;
    throw this->MakeError(
        noEffect ? Failure::Unavailable : Failure::OutcomeUnknown, aCall.step,
        fmt::format("HTTP status {}", status));
  }
  return std::move(receiver.reply);
}

std::string PercentEncode(std::string_view aText) {
  constexpr std::string_view kUnreserved =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";
  std::string encoded;
  encoded.reserve(aText.size());
  for (const char character : aText) {
    if (kUnreserved.find(character) != std::string_view::npos) {
      encoded.push_back(character);
    } else {
      encoded += fmt::format("%{:02X}", static_cast<unsigned char>(character));
    }
  }
  return encoded;
}

std::optional<std::string> PercentDecode(std::string_view aText) {
  constexpr size_t kDigits = 2;
  std::string decoded;
  decoded.reserve(aText.size());
  for (size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%') {
      decoded.push_back(aText[i]);
      continue;
    }
    const std::string_view digits = aText.substr(i + 1, kDigits);
    unsigned char byte = 0;
    const auto result =
        std::from_chars(digits.data(), digits.data() + digits.size(), byte, 16);
    if (digits.size() != kDigits || result.ec != std::errc() ||
        result.ptr != digits.data() + kDigits) {
      return std::nullopt;
    }
    decoded.push_back(static_cast<char>(byte));
    i += kDigits;
  }
  return decoded;
}

}  // namespace fescueline
