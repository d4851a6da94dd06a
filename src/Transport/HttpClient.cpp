#include "Transport/HttpClient.h"

#include <curl/curl.h>

#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

#include "Core/Error.h"
#include "Core/ResponseHeadTracker.h"
#include "Transport/RepeatedHeadScanner.h"

namespace fescueline {

namespace {

constexpr int kPollMilliseconds = 1000;
constexpr long kMaxIdleConnections = 64;

struct CurlEasyDeleter {
  void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
};
struct CurlListDeleter {
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};
struct CurlMultiDeleter {
  void operator()(CURLM* aHandle) const { curl_multi_cleanup(aHandle); }
};
using CurlEasy = std::unique_ptr<CURL, CurlEasyDeleter>;
using CurlList = std::unique_ptr<curl_slist, CurlListDeleter>;
using CurlMulti = std::unique_ptr<CURLM, CurlMultiDeleter>;

/// Initialises libcurl, once and before any thread uses it.
struct CurlGlobal {
  CurlGlobal() { curl_global_init(CURL_GLOBAL_ALL); }
};

long Milliseconds(Duration aDuration) {
  const auto count =
      std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
  return count < 1 ? 1 : static_cast<long>(count);
}

/// One request and its response. Used on the client's thread only.
class Transfer {
 public:
  Transfer(uint64_t aNumber, HttpTransferRequest aRequest,
           HttpTransferHandlers aHandlers)
      : number(aNumber),
        request(std::move(aRequest)),
        handlers(std::move(aHandlers)),
        credit(this->request.credit),
        easy(curl_easy_init()) {
    if (this->request.idHeader) {
      this->scanner.emplace(this->request.idHeader->name,
                            this->request.idHeader->value);
    }
    this->SetOptions();
  }

  CURL* Handle() const { return this->easy.get(); }
  uint64_t Number() const { return this->number; }

  void AddCredit(int64_t aBytes) {
    if (this->credit < 0 && !this->hasCreditLimit) {
      return;
    }
    this->credit += aBytes;
    if (this->paused && this->credit > 0) {
      this->paused = false;
      curl_easy_pause(this->easy.get(), CURLPAUSE_CONT);
    }
  }

  void Finish(CURLcode aCode) {
    HttpTransferResult result;
    // libcurl also reports success if the connection closes within the head, or
    // before the whole request was sent.
    if (aCode == CURLE_OK && this->head.IsComplete() && this->IsBodyWhole()) {
      this->ReportHead();
      result.complete = true;
      result.mayHaveBeenSent = true;
    } else {
      result.error = this->ErrorText(aCode);
      result.timedOut = aCode == CURLE_OPERATION_TIMEDOUT;
      result.mayHaveBeenSent = this->sendCount > 0;
      result.sendRefused = this->sendRefused;
    }
    this->handlers.onDone(result);
  }

 private:
  template <typename T>
  void Set(CURLoption aOption, T aValue) {
    curl_easy_setopt(this->easy.get(), aOption, aValue);
  }

  void SetOptions() {
    this->hasCreditLimit = this->credit >= 0;
    this->Set(CURLOPT_URL, this->request.url.c_str());
    this->Set(CURLOPT_CUSTOMREQUEST, this->request.method.c_str());
    this->Set(CURLOPT_PRIVATE, this);
    this->Set(CURLOPT_NOSIGNAL, 1L);
    this->Set(CURLOPT_PROXY, "");
    this->Set(CURLOPT_FOLLOWLOCATION, 0L);
    this->Set(CURLOPT_PROTOCOLS_STR, "http");
    this->Set(CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    this->Set(CURLOPT_TCP_NODELAY, 1L);
    this->Set(CURLOPT_TIMEOUT_MS, Milliseconds(this->request.timeout));
    this->Set(CURLOPT_CONNECTTIMEOUT_MS,
              Milliseconds(this->request.connectTimeout));
    this->Set(CURLOPT_HEADERFUNCTION, &Transfer::OnHeader);
    this->Set(CURLOPT_HEADERDATA, this);
    this->Set(CURLOPT_WRITEFUNCTION, &Transfer::OnBody);
    this->Set(CURLOPT_WRITEDATA, this);
    this->Set(CURLOPT_PREREQFUNCTION, &Transfer::OnBeforeSend);
    this->Set(CURLOPT_PREREQDATA, this);
    if (this->request.freshConnection) {
      this->Set(CURLOPT_FRESH_CONNECT, 1L);
    }
    // CheckRequestId allows reuse again if the response echoes the request id.
    if (this->request.freshConnection || this->request.idHeader) {
      this->Set(CURLOPT_FORBID_REUSE, 1L);
    }
    if (this->request.method == "HEAD") {
      this->Set(CURLOPT_NOBODY, 1L);
    } else if (!this->request.body.empty() || this->request.method == "POST" ||
               this->request.method == "PUT") {
      this->Set(CURLOPT_POSTFIELDSIZE_LARGE,
                static_cast<curl_off_t>(this->request.body.size()));
      this->Set(CURLOPT_POSTFIELDS, this->request.body.data());
    }
    this->SetHeaders();
  }

  void SetHeaders() {
    // An empty value removes a header that libcurl would add.
    std::vector<std::string> lines = {"Expect:"};
    for (const char* name : {"Accept", "Content-Type", "User-Agent"}) {
      if (!FindHeader(this->request.headers, name)) {
        lines.push_back(std::string(name) + ":");
      }
    }
    for (const HttpHeader& header : this->request.headers) {
      // libcurl sends a header with an empty value only in this notation.
      lines.push_back(header.value.empty() ? header.name + ";"
                                           : header.name + ": " + header.value);
    }
    for (const std::string& line : lines) {
      this->list.reset(curl_slist_append(this->list.release(), line.c_str()));
    }
    this->Set(CURLOPT_HTTPHEADER, this->list.get());
  }

  /// libcurl calls this before it sends the request on a connection. A second
  /// call is an automatic retry after a reused connection was closed.
  static int OnBeforeSend(void* aSelf, char*, char*, int, int) {
    auto* self = static_cast<Transfer*>(aSelf);
    if (self->sendCount == 0 && self->request.maySend &&
        !self->request.maySend()) {
      self->sendRefused = true;
      return CURL_PREREQFUNC_ABORT;
    }
    return ++self->sendCount == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
  }

  static size_t OnHeader(char* aData, size_t aSize, size_t aCount,
                         void* aSelf) {
    auto* self = static_cast<Transfer*>(aSelf);
    const std::string_view line(aData, aSize * aCount);
    const bool isTrailer = self->head.IsComplete();
    if (const std::string_view fault = self->head.AddLine(line);
        !fault.empty()) {
      self->failure = fault;
      return 0;  // libcurl ends the transfer with CURLE_WRITE_ERROR
    }
    if (isTrailer) {
      return line.size();
    }
    if (ContainsStatusLine(line.substr(1))) {
      self->failure = "second response head within a head";
      return 0;
    }
    if (self->head.IsComplete()) {
      self->endsAtClose = !FindHeader(self->headers, "content-length") &&
                          !FindHeader(self->headers, "transfer-encoding");
      return self->CheckRequestId() ? line.size() : 0;
    }
    self->AddHeaderLine(line);
    return line.size();
  }

  void AddHeaderLine(std::string_view aLine) {
    constexpr std::string_view kSpace = " \t\r\n";
    aLine = aLine.substr(0, aLine.find_last_not_of(kSpace) + 1);
    if (aLine.starts_with("HTTP/")) {
      this->headers.clear();  // drops those of an interim (1xx) response
      return;
    }
    const size_t colon = aLine.find(':');
    if (colon == std::string_view::npos) {
      return;
    }
    std::string_view value = aLine.substr(colon + 1);
    value.remove_prefix(
        std::min(value.size(), value.find_first_not_of(kSpace)));
    this->headers.push_back(
        {std::string(aLine.substr(0, colon)), std::string(value)});
  }

  /// Whether the response belongs to this request. Allows the connection to be
  /// reused if the response echoes the request id.
  bool CheckRequestId() {
    if (!this->request.idHeader) {
      return true;
    }
    bool echoed = false;
    for (const HttpHeader& header : this->headers) {
      if (!EqualHeaderName(header.name, this->request.idHeader->name)) {
        continue;
      }
      if (header.value != this->request.idHeader->value) {
        this->failure = "response belongs to another request";
        return false;
      }
      echoed = true;
    }
    long newConnections = 0;
    curl_easy_getinfo(this->easy.get(), CURLINFO_NUM_CONNECTS, &newConnections);
    if (!echoed && newConnections == 0) {
      // The server echoed the request id of the previous request, or the
      // connection would not have been reused.
      this->failure = "response without the request id on a reused connection";
      return false;
    }
    if (echoed && !this->request.freshConnection) {
      this->Set(CURLOPT_FORBID_REUSE, 0L);
    }
    return true;
  }

  /// Whether the body is whole although only the close of the connection ended
  /// it: after an unfinished request the close may have been a reset.
  bool IsBodyWhole() const {
    long status = 0;
    curl_off_t sent = 0;
    curl_easy_getinfo(this->easy.get(), CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(this->easy.get(), CURLINFO_SIZE_UPLOAD_T, &sent);
    return !this->endsAtClose || IsBodiless(static_cast<int>(status)) ||
           sent >= static_cast<curl_off_t>(this->request.body.size());
  }

  static size_t OnBody(char* aData, size_t aSize, size_t aCount, void* aSelf) {
    auto* self = static_cast<Transfer*>(aSelf);
    const size_t bytes = aSize * aCount;
    if (!self->head.IsComplete()) {
      self->failure = "body without a complete head";
      return 0;
    }
    self->ReportHead();
    if (self->hasCreditLimit && self->credit <= 0) {
      self->paused = true;
      return CURL_WRITEFUNC_PAUSE;
    }
    if (!self->CheckBody({aData, bytes})) {
      return 0;
    }
    self->credit -= static_cast<int64_t>(bytes);
    self->handlers.onData(std::string(aData, bytes));
    return bytes;
  }

  /// Whether the body is free of a second copy of the response.
  bool CheckBody(std::string_view aBytes) {
    if (!this->scanner) {
      return true;
    }
    this->scanner->Scan(aBytes);
    if (this->scanner->HasFound()) {
      this->failure = "response restarted within its body";
    }
    return !this->scanner->HasFound();
  }

  void ReportHead() {
    if (this->headReported) {
      return;
    }
    this->headReported = true;
    long status = 0;
    curl_off_t length = -1;
    curl_easy_getinfo(this->easy.get(), CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(this->easy.get(), CURLINFO_CONTENT_LENGTH_DOWNLOAD_T,
                      &length);
    this->handlers.onHead(static_cast<int>(status), std::move(this->headers),
                          length);
  }

  std::string ErrorText(CURLcode aCode) const {
    if (!this->failure.empty()) {
      return this->failure;
    }
    return aCode == CURLE_OK ? "connection closed before the end"
                             : curl_easy_strerror(aCode);
  }

  uint64_t number;
  /// Must outlive `easy`, since libcurl keeps pointers into it.
  HttpTransferRequest request;
  HttpTransferHandlers handlers;
  /// Body bytes that may still be delivered.
  int64_t credit;
  /// Whether `credit` limits the transfer.
  bool hasCreditLimit = false;
  /// Whether the transfer is paused until more credit arrives.
  bool paused = false;
  /// Number of times libcurl started to send the request.
  int sendCount = 0;
  /// Whether `maySend` refused the send.
  bool sendRefused = false;
  ResponseHeadTracker head;
  /// Detects a second copy of the response within the body; none if the request
  /// has no id header.
  std::optional<RepeatedHeadScanner> scanner;
  /// Whether the body ends with the connection.
  bool endsAtClose = false;
  /// Whether onHead was called.
  bool headReported = false;
  /// Error of the callback that ended the transfer; empty if none did.
  std::string failure;
  /// Response headers received so far.
  HttpHeaders headers;
  /// Request headers for libcurl; must outlive `easy`.
  CurlList list;
  CurlEasy easy;
};

}  // namespace

struct HttpClient::Impl {
  enum class CommandKind : uint8_t { Start, Credit, Cancel };
  struct Command {
    CommandKind kind = CommandKind::Start;
    uint64_t transfer = 0;
    int64_t credit = 0;
    HttpTransferRequest request;
    HttpTransferHandlers handlers;
  };

  Impl() : multi(curl_multi_init()) {
    curl_multi_setopt(this->multi.get(), CURLMOPT_MAXCONNECTS,
                      kMaxIdleConnections);
    this->thread = std::thread([this] { this->Run(); });
  }

  ~Impl() {
    {
      const std::lock_guard lock(this->mutex);
      this->stopping = true;
    }
    curl_multi_wakeup(this->multi.get());
    this->thread.join();
  }

  void Push(Command aCommand) {
    {
      const std::lock_guard lock(this->mutex);
      this->commands.push_back(std::move(aCommand));
    }
    curl_multi_wakeup(this->multi.get());
  }

  void Run() {
    while (this->RunCommands()) {
      int running = 0;
      curl_multi_perform(this->multi.get(), &running);
      this->CollectDone();
      curl_multi_poll(this->multi.get(), nullptr, 0, kPollMilliseconds,
                      nullptr);
    }
    while (!this->transfers.empty()) {
      this->End(this->transfers.begin()->first, CURLE_ABORTED_BY_CALLBACK);
    }
  }

  /// Runs the queued commands; false when the client stops.
  bool RunCommands() {
    std::vector<Command> batch;
    {
      const std::lock_guard lock(this->mutex);
      if (this->stopping) {
        return false;
      }
      batch.swap(this->commands);
    }
    for (Command& command : batch) {
      this->RunCommand(command);
    }
    return true;
  }

  void RunCommand(Command& aCommand) {
    const auto found = this->transfers.find(aCommand.transfer);
    switch (aCommand.kind) {
      case CommandKind::Start: {
        auto transfer = std::make_unique<Transfer>(
            aCommand.transfer, std::move(aCommand.request),
            std::move(aCommand.handlers));
        curl_multi_add_handle(this->multi.get(), transfer->Handle());
        this->transfers[aCommand.transfer] = std::move(transfer);
        break;
      }
      case CommandKind::Credit:
        if (found != this->transfers.end()) {
          found->second->AddCredit(aCommand.credit);
        }
        break;
      case CommandKind::Cancel:
        if (found != this->transfers.end()) {
          this->End(aCommand.transfer, CURLE_ABORTED_BY_CALLBACK);
        }
        break;
    }
  }

  void CollectDone() {
    int queued = 0;
    while (CURLMsg* message =
               curl_multi_info_read(this->multi.get(), &queued)) {
      if (message->msg == CURLMSG_DONE) {
        char* transfer = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        this->End(reinterpret_cast<Transfer*>(transfer)->Number(),
                  message->data.result);
      }
    }
  }

  void End(uint64_t aTransfer, CURLcode aCode) {
    auto node = this->transfers.extract(aTransfer);
    curl_multi_remove_handle(this->multi.get(), node.mapped()->Handle());
    node.mapped()->Finish(aCode);
  }

  CurlMulti multi;
  /// Transfers by id. Client's thread only.
  std::unordered_map<uint64_t, std::unique_ptr<Transfer>> transfers;
  /// Guards `commands` and `stopping`.
  std::mutex mutex;
  std::vector<Command> commands;
  bool stopping = false;
  std::atomic<uint64_t> nextTransfer{1};
  std::thread thread;
};

HttpClient::HttpClient() {
  static const CurlGlobal sGlobal;
  this->impl = std::make_unique<Impl>();
}

HttpClient::~HttpClient() = default;

uint64_t HttpClient::Start(HttpTransferRequest aRequest,
                           HttpTransferHandlers aHandlers) {
  const uint64_t number = this->impl->nextTransfer++;
  this->impl->Push({.kind = Impl::CommandKind::Start,
                    .transfer = number,
                    .request = std::move(aRequest),
                    .handlers = std::move(aHandlers)});
  return number;
}

void HttpClient::Credit(uint64_t aTransfer, int64_t aBytes) {
  this->impl->Push({.kind = Impl::CommandKind::Credit,
                    .transfer = aTransfer,
                    .credit = aBytes,
                    .request = {},
                    .handlers = {}});
}

void HttpClient::Cancel(uint64_t aTransfer) {
  this->impl->Push({.kind = Impl::CommandKind::Cancel,
                    .transfer = aTransfer,
                    .request = {},
                    .handlers = {}});
}

}  // namespace fescueline
