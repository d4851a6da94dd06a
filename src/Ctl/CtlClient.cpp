#include "Ctl/CtlClient.h"

#include <curl/curl.h>
#include <fmt/format.h>

#include <memory>
#include <mutex>
#include <utility>

#include "Core/Error.h"
#include "Core/ResponseHeadTracker.h"

namespace fescueline {

namespace {
// Bounds memory if the server is faulty. The largest valid body, a list of
// 10,000 members, is about 3 MB.
constexpr size_t kMaxBodyBytes = 64UL * 1024 * 1024;
constexpr long kConnectTimeoutMs = 5'000;

using CurlHandle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;

/// Owns a header list of libcurl.
class HeaderList {
 public:
  HeaderList() = default;
  HeaderList(const HeaderList&) = delete;
  HeaderList& operator=(const HeaderList&) = delete;
  ~HeaderList() { curl_slist_free_all(this->list); }

  void Add(const std::string& aLine) {
    curl_slist* longer = curl_slist_append(this->list, aLine.c_str());
    if (longer == nullptr) {
      throw Error("ctl.send", "", "out of memory");
    }
    this->list = longer;
  }
  curl_slist* Get() const { return this->list; }

 private:
  curl_slist* list = nullptr;
};

size_t AppendBody(char* aData, size_t aSize, size_t aCount, void* aBody) {
  auto& body = *static_cast<std::string*>(aBody);
  const size_t bytes = aSize * aCount;
  if (body.size() + bytes > kMaxBodyBytes) {
    return 0;
  }
  body.append(aData, bytes);
  return bytes;
}

size_t TrackHead(char* aData, size_t aSize, size_t aCount, void* aHead) {
  const std::string_view line(aData, aSize * aCount);
  const bool isValid =
      static_cast<ResponseHeadTracker*>(aHead)->AddLine(line).empty();
  return isValid ? line.size() : 0;
}

bool FailedBeforeSending(CURLcode aCode) {
  return aCode == CURLE_COULDNT_CONNECT || aCode == CURLE_COULDNT_RESOLVE_HOST;
}
}  // namespace

CtlClient::CtlClient(Options aOptions) : options(std::move(aOptions)) {
  std::string& url = this->options.url;
  const bool valid =
      (url.starts_with("http://") || url.starts_with("https://")) &&
      url.find_first_of("@?# \r\n\t") == std::string::npos;
  if (!valid) {
    throw Error("ctl.connect", "",
                "--node must be a URL http://host:port without user name, "
                "query or fragment");
  }
  while (url.ends_with('/')) {
    url.pop_back();
  }
  static std::once_flag sInitialised;
  std::call_once(sInitialised, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

CtlResponse CtlClient::Send(const CtlRequest& aRequest) const {
  CtlResponse response;
  const CurlHandle handle(curl_easy_init(), &curl_easy_cleanup);
  if (handle == nullptr) {
    throw Error("ctl.send", "", "libcurl cannot be initialised");
  }
  HeaderList headers;
  headers.Add("Authorization: Bearer " + this->options.credential.Reveal());
  headers.Add("Content-Type: application/json");
  headers.Add("Expect:");
  if (aRequest.expectedVersion) {
    headers.Add(fmt::format("If-Match: {}", *aRequest.expectedVersion));
  }
  if (!aRequest.token.empty()) {
    headers.Add("Fescueline-Token: " + aRequest.token);
  }
  const std::string url = this->options.url + aRequest.path;
  const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->options.timeout);
  CURL* curl = handle.get();
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http,https");
  // A proxy taken from the environment would see the credential.
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, aRequest.method.c_str());
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.Get());
  curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(timeout.count()));
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &response.body);
  if (!aRequest.body.empty()) {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, aRequest.body.data());
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(aRequest.body.size()));
  }
  ResponseHeadTracker head;
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, &TrackHead);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, &head);
  CURLcode code = curl_easy_perform(curl);
  if (code == CURLE_OK && !head.IsComplete()) {
    code = CURLE_PARTIAL_FILE;
  }
  if (code != CURLE_OK) {
    response.delivery =
        FailedBeforeSending(code) ? CtlDelivery::NotSent : CtlDelivery::Lost;
    response.error = curl_easy_strerror(code);
    response.body.clear();
    return response;
  }
  response.delivery = CtlDelivery::Responded;
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &response.status);
  return response;
}

}  // namespace fescueline
