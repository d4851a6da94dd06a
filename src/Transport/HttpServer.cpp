#include "Transport/HttpServer.h"

#include <fmt/format.h>

#include <atomic>
#include <future>
#include <mutex>
#include <restinio/all.hpp>
#include <unordered_map>
#include <vector>

#include "Core/Error.h"
#include "Log/Log.h"

namespace fescueline {
/// Tag of a response builder whose user writes the framing of the body.
struct RawOutput {};
}  // namespace fescueline

namespace restinio {

/// RESTinio's own streaming builders cannot end a chunked response without the
/// last chunk, which would make a truncated response look complete.
template <>
class response_builder_t<fescueline::RawOutput> final
    : public base_response_builder_t<
          response_builder_t<fescueline::RawOutput>> {
 public:
  using base_response_builder_t<
      response_builder_t<fescueline::RawOutput>>::base_response_builder_t;

  /// Sends the header if it has not been sent, then the bytes unchanged.
  void Send(std::string aBytes, write_status_cb_t aOnWritten) {
    this->Write(std::move(aBytes), response_parts_attr_t::not_final_parts,
                this->m_header.should_keep_alive(), std::move(aOnWritten));
  }

  /// Sends the last bytes; closes the connection unless aKeepAlive.
  void Finish(std::string aBytes, bool aKeepAlive,
              write_status_cb_t aOnWritten) {
    this->Write(std::move(aBytes), response_parts_attr_t::final_parts,
                aKeepAlive && this->m_header.should_keep_alive(),
                std::move(aOnWritten));
    this->m_connection.reset();
  }

 private:
  void Write(std::string aBytes, response_parts_attr_t aParts, bool aKeepAlive,
             write_status_cb_t aOnWritten) {
    if (!this->m_connection) {
      return;
    }
    writable_items_container_t items;
    size_t statusLineSize = 0;
    if (!this->headerSent) {
      this->headerSent = true;
      statusLineSize = this->calculate_status_line_size();
      items.emplace_back(impl::create_header_string(
          this->m_header,
          impl::content_length_field_presence_t::skip_content_length));
    }
    if (!aBytes.empty()) {
      items.emplace_back(std::move(aBytes));
    }
    write_group_t group{std::move(items)};
    group.status_line_size(statusLineSize);
    if (aOnWritten) {
      group.after_write_notificator(std::move(aOnWritten));
    }
    this->m_connection->write_response_parts(
        this->m_request_id,
        response_output_flags_t{aParts, response_connection_attr(aKeepAlive)},
        std::move(group));
  }

  bool headerSent = false;
};

}  // namespace restinio

namespace fescueline {

namespace {

constexpr size_t kMaxUrlBytes = size_t{8} * 1024;
constexpr size_t kMaxFieldNameBytes = 256;
constexpr size_t kMaxFieldValueBytes = size_t{16} * 1024;
constexpr size_t kMaxFieldCount = 100;
/// With a limit of one RESTinio does not read while a response is pending, and
/// would not notice that the caller has disconnected.
constexpr size_t kMaxPipelinedRequests = 2;
constexpr std::chrono::seconds kIdleTimeout{300};
/// Maximum wait for the worker threads to close the acceptor.
constexpr std::chrono::seconds kCloseTimeout{1};
constexpr std::chrono::seconds kWriteTimeout{30};
/// Longer than the longest request deadline, so that it never fires first.
constexpr std::chrono::seconds kHandlerTimeout{3700};

class ExchangeImpl;

/// Exchanges by connection, to abort them when their connection ends.
class ConnectionRegistry {
 public:
  void Add(restinio::connection_id_t aConnection,
           const std::shared_ptr<ExchangeImpl>& aExchange);
  void state_changed(const restinio::connection_state::notice_t& aNotice);

 private:
  /// Guards `exchanges`.
  std::mutex mutex;
  std::unordered_map<restinio::connection_id_t,
                     std::vector<std::weak_ptr<ExchangeImpl>>>
      exchanges;
};

struct ServerTraits : public restinio::default_traits_t {
  using connection_state_listener_t = ConnectionRegistry;
};

restinio::http_status_line_t StatusLine(int aStatus) {
  const auto code = static_cast<restinio::http_status_code_t>(aStatus);
  switch (aStatus) {
    case 200:
      return restinio::status_ok();
    case 404:
      return restinio::status_not_found();
    case 429:
      return restinio::status_too_many_requests();
    case 503:
      return restinio::status_service_unavailable();
    default:
      return {code, fmt::format("Status {}", aStatus)};
  }
}

/// Runs a function once: on Run, or else in the destructor.
class OnceCallback {
 public:
  explicit OnceCallback(std::function<void()> aFunction)
      : function(std::move(aFunction)) {}
  OnceCallback(const OnceCallback&) = delete;
  OnceCallback& operator=(const OnceCallback&) = delete;
  ~OnceCallback() { this->Run(); }

  void Run() {
    const std::function<void()> run = std::exchange(this->function, nullptr);
    if (run) {
      run();
    }
  }

 private:
  /// The function; empty once it has run.
  std::function<void()> function;
};

class ExchangeImpl final : public HttpExchange {
 public:
  ExchangeImpl(restinio::request_handle_t aHandle,
               std::shared_ptr<const std::atomic<bool>> aServerAlive,
               std::shared_ptr<const std::atomic<bool>> aServerStopping)
      : handle(std::move(aHandle)),
        serverAlive(std::move(aServerAlive)),
        serverStopping(std::move(aServerStopping)) {
    this->request.method = this->handle->header().method().c_str();
    this->request.target = this->handle->header().request_target();
    this->handle->header().for_each_field([this](const auto& aField) {
      this->request.headers.push_back({aField.name(), aField.value()});
    });
    this->request.body = this->handle->body();
  }
  ExchangeImpl(const ExchangeImpl&) = delete;
  ExchangeImpl& operator=(const ExchangeImpl&) = delete;

  ~ExchangeImpl() override {
    // The io_context may be destroyed together with the server.
    if (!*this->serverAlive) {
      return;
    }
    try {
      if (this->builder) {
        this->EndStream(false, {});
      } else if (!this->finished) {
        this->Respond({.status = 500, .headers = {}, .body = {}}, {});
      }
    } catch (const std::exception& failure) {
      // A destructor must not throw. The caller sees its connection end.
      Log(LogLevel::Warning, "response not ended",
          {{"target", this->request.target}, {"error", failure.what()}});
    }
  }

  HttpRequest& Request() override { return this->request; }

  void OnAbort(std::function<void()> aAbort) override {
    {
      const std::lock_guard lock(this->abortMutex);
      if (!this->aborted) {
        this->abort = std::move(aAbort);
        return;
      }
    }
    aAbort();
  }

  void Abort() {
    std::function<void()> run;
    {
      const std::lock_guard lock(this->abortMutex);
      this->aborted = true;
      if (!this->finished) {
        run = std::move(this->abort);
      }
    }
    if (run) {
      run();
    }
  }

  void Respond(HttpResponse aResponse, std::function<void()> aOnSent) override {
    if (this->LacksBody(aResponse.status)) {
      // create_response would send the body.
      std::optional<uint64_t> length;
      if (!IsBodiless(aResponse.status)) {
        length = aResponse.body.size();
      }
      this->StartStream(aResponse.status, std::move(aResponse.headers), length);
      this->EndStream(true, std::move(aOnSent));
      return;
    }
    // Runs the function even if RESTinio discards the notification.
    const auto sent = std::make_shared<OnceCallback>(std::move(aOnSent));
    if (!this->Finish()) {
      return;
    }
    auto response = this->handle->create_response(StatusLine(aResponse.status));
    for (HttpHeader& header : aResponse.headers) {
      response.append_header(std::move(header.name), std::move(header.value));
    }
    if (*this->serverStopping) {
      response.connection_close();
    }
    response.set_body(std::move(aResponse.body));
    response.done([sent](const auto&) { sent->Run(); });
  }

  void StartStream(int aStatus, HttpHeaders aHeaders,
                   std::optional<uint64_t> aContentLength) override {
    const std::lock_guard lock(this->mutex);
    if (this->finished || this->builder) {
      return;
    }
    this->builder.emplace(
        this->handle->create_response<RawOutput>(StatusLine(aStatus)));
    for (HttpHeader& header : aHeaders) {
      this->builder->append_header(std::move(header.name),
                                   std::move(header.value));
    }
    if (*this->serverStopping) {
      this->builder->connection_close();
    }
    // A response without a body has no Transfer-Encoding.
    this->chunked = !aContentLength && !this->LacksBody(aStatus);
    if (aContentLength) {
      this->builder->append_header("Content-Length",
                                   std::to_string(*aContentLength));
    } else if (this->chunked) {
      this->builder->append_header("Transfer-Encoding", "chunked");
    }
  }

  void Write(std::string aData, std::function<void()> aOnWritten) override {
    const std::lock_guard lock(this->mutex);
    if (this->finished || !this->builder || aData.empty()) {
      return;
    }
    if (this->chunked) {
      aData = fmt::format("{:x}\r\n", aData.size()) + aData + "\r\n";
    }
    this->builder->Send(std::move(aData),
                        [written = std::move(aOnWritten)](const auto&) {
                          if (written) {
                            written();
                          }
                        });
  }

  void EndStream(bool aComplete, std::function<void()> aOnSent) override {
    const auto sent = std::make_shared<OnceCallback>(std::move(aOnSent));
    if (!this->Finish()) {
      return;
    }
    const std::lock_guard lock(this->mutex);
    if (!this->builder) {
      return;
    }
    const char* end = aComplete && this->chunked ? "0\r\n\r\n" : "";
    this->builder->Finish(end, aComplete, [sent](const auto&) { sent->Run(); });
    this->builder.reset();
  }

 private:
  /// Whether the caller expects no body, regardless of the headers.
  bool LacksBody(int aStatus) const {
    return IsBodiless(aStatus) || this->request.method == "HEAD";
  }

  /// Marks the response as ended; false if it had ended already.
  bool Finish() {
    const std::lock_guard lock(this->abortMutex);
    const bool first = !this->finished;
    this->finished = true;
    this->abort = nullptr;
    return first;
  }

  restinio::request_handle_t handle;
  std::shared_ptr<const std::atomic<bool>> serverAlive;
  /// Whether the server has stopped accepting. Responses then close their
  /// connections, so that callers do not send on one that is about to be
  /// closed.
  std::shared_ptr<const std::atomic<bool>> serverStopping;
  HttpRequest request;
  /// Guards `builder` and `chunked`. Held while bytes are passed to RESTinio.
  std::mutex mutex;
  /// Streamed response, if one was started.
  std::optional<restinio::response_builder_t<RawOutput>> builder;
  /// Whether the streamed body is chunked.
  bool chunked = false;
  /// Guards `abort` and `aborted`. Not held while bytes are passed to RESTinio,
  /// which may close the connection within that call and thereby call Abort.
  std::mutex abortMutex;
  /// Called when the connection ends before the response.
  std::function<void()> abort;
  bool aborted = false;
  std::atomic<bool> finished{false};
};

void ConnectionRegistry::Add(restinio::connection_id_t aConnection,
                             const std::shared_ptr<ExchangeImpl>& aExchange) {
  const std::lock_guard lock(this->mutex);
  auto& list = this->exchanges[aConnection];
  std::erase_if(list, [](const auto& aEntry) { return aEntry.expired(); });
  list.push_back(aExchange);
}

void ConnectionRegistry::state_changed(
    const restinio::connection_state::notice_t& aNotice) {
  if (!std::holds_alternative<restinio::connection_state::closed_t>(
          aNotice.cause())) {
    return;
  }
  std::vector<std::weak_ptr<ExchangeImpl>> ended;
  {
    const std::lock_guard lock(this->mutex);
    auto node = this->exchanges.extract(aNotice.connection_id());
    if (!node.empty()) {
      ended = std::move(node.mapped());
    }
  }
  for (const auto& entry : ended) {
    if (const auto exchange = entry.lock()) {
      exchange->Abort();
    }
  }
}

/// Whether a message has two lengths, or a length and a transfer coding: a sign
/// of request smuggling (RFC 9112, section 6.1).
bool HasConflictingFraming(const HttpHeaders& aHeaders) {
  const size_t lengths = CountHeader(aHeaders, "content-length");
  return lengths > 1 ||
         (lengths == 1 && CountHeader(aHeaders, "transfer-encoding") > 0);
}

}  // namespace

struct HttpServer::Impl {
  explicit Impl(asio::io_context& aIo) : io(aIo) {}

  asio::io_context& io;
  std::shared_ptr<ConnectionRegistry> registry =
      std::make_shared<ConnectionRegistry>();
  std::shared_ptr<std::atomic<bool>> alive =
      std::make_shared<std::atomic<bool>>(true);
  std::shared_ptr<std::atomic<bool>> stopping =
      std::make_shared<std::atomic<bool>>(false);
  std::atomic<uint16_t> port{0};
  std::unique_ptr<restinio::http_server_t<ServerTraits>> server;
};

HttpServer::HttpServer(Settings aSettings)
    : impl(std::make_unique<Impl>(aSettings.io)) {
  auto handler = [registry = this->impl->registry, alive = this->impl->alive,
                  stopping = this->impl->stopping,
                  onRequest = std::move(aSettings.onRequest)](
                     const restinio::request_handle_t& aHandle) {
    auto exchange = std::make_shared<ExchangeImpl>(aHandle, alive, stopping);
    registry->Add(aHandle->connection_id(), exchange);
    if (HasConflictingFraming(exchange->Request().headers)) {
      exchange->Respond({.status = 400,
                         .headers = {},
                         .body = "Content-Length: conflicting framing\n"},
                        {});
    } else {
      onRequest(std::move(exchange));
    }
    return restinio::request_accepted();
  };
  try {
    this->impl->server =
        std::make_unique<restinio::http_server_t<ServerTraits>>(
            restinio::external_io_context(aSettings.io),
            restinio::server_settings_t<ServerTraits>{}
                .address(aSettings.host)
                .port(aSettings.port)
                .connection_state_listener(this->impl->registry)
                .acceptor_post_bind_hook(
                    [this](restinio::asio_ns::ip::tcp::acceptor& aAcceptor) {
                      this->impl->port = aAcceptor.local_endpoint().port();
                    })
                .max_pipelined_requests(kMaxPipelinedRequests)
                .read_next_http_message_timelimit(kIdleTimeout)
                .write_http_response_timelimit(kWriteTimeout)
                .handle_request_timeout(kHandlerTimeout)
                .incoming_http_msg_limits(
                    restinio::incoming_http_msg_limits_t{}
                        .max_url_size(kMaxUrlBytes)
                        .max_field_name_size(kMaxFieldNameBytes)
                        .max_field_value_size(kMaxFieldValueBytes)
                        .max_field_count(kMaxFieldCount)
                        .max_body_size(aSettings.maxBody))
                .request_handler(std::move(handler)));
    this->impl->server->open_sync();
  } catch (const std::exception& failure) {
    throw Error("http.listen",
                fmt::format("{}:{}", aSettings.host, aSettings.port),
                failure.what());
  }
}

HttpServer::~HttpServer() {
  if (!this->impl->io.stopped()) {
    // The worker threads still run and must close the acceptor.
    const auto closed = std::make_shared<std::promise<void>>();
    this->impl->server->close_async(
        [closed]() noexcept { closed->set_value(); },
        [closed](const std::exception_ptr&) noexcept { closed->set_value(); });
    closed->get_future().wait_for(kCloseTimeout);
  }
  *this->impl->alive = false;
}

uint16_t HttpServer::Port() const { return this->impl->port; }

void HttpServer::StopAccepting() {
  *this->impl->stopping = true;
  // The acceptor is used by the worker threads; closing it from this thread
  // would race with an accept in progress.
  this->impl->server->close_async([]() noexcept {},
                                  [](const std::exception_ptr&) noexcept {});
}

}  // namespace fescueline
