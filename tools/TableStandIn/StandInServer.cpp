#include "StandInServer.h"

#include <fmt/format.h>
#include <unistd.h>

#include <asio.hpp>
#include <csignal>
#include <cstdio>
#include <memory>
#include <restinio/all.hpp>
#include <utility>

#include "StandInService.h"

namespace fescueline {

namespace {

using Server =
    restinio::http_server_t<restinio::default_single_thread_traits_t>;
using Request = restinio::request_handle_t;

/// Well above the largest request; a batch of a thousand claims is about
/// 200 KB.
constexpr uint64_t kMaxBodyBytes = uint64_t{16} * 1024 * 1024;
/// Longer than any delay that a test injects.
constexpr auto kHandleTimeout = std::chrono::seconds(120);

std::string Unquote(std::string_view aText) {
  const bool quoted =
      aText.size() >= 2 && aText.front() == '"' && aText.back() == '"';
  return std::string(quoted ? aText.substr(1, aText.size() - 2) : aText);
}

StandInRequest Convert(const Request& aRequest) {
  const auto& header = aRequest->header();
  StandInRequest request{.method = header.method().c_str(),
                         .path = std::string(header.path()),
                         .query = std::string(header.query()),
                         .body = aRequest->body()};
  request.ifNoneMatch =
      header.opt_value_of(restinio::http_field::if_none_match) == "*";
  if (const auto tag = header.opt_value_of(restinio::http_field::if_match)) {
    request.ifMatch = Unquote(*tag);
  }
  return request;
}

void Send(const Request& aRequest, StandInResponse aResponse) {
  if (aResponse.lost) {
    // RESTinio closes a connection when its pending request is released
    // without a response.
    return;
  }
  auto response = aRequest->create_response(restinio::http_status_line_t(
      restinio::http_status_code_t(static_cast<uint16_t>(aResponse.status)),
      aResponse.status < 300 ? "OK" : "Error"));
  if (!aResponse.tag.empty()) {
    response.append_header(restinio::http_field::etag,
                           fmt::format("\"{}\"", aResponse.tag));
  }
  response.set_body(std::move(aResponse.body)).done();
}

/// Serves the request after the injected delay.
void ServeAfterDelay(asio::io_context& aContext, StandInService& aService,
                     const Request& aRequest) {
  StandInRequest request = Convert(aRequest);
  const Duration delay =
      StandInService::IsControl(request) ? Duration::zero() : aService.Delay();
  if (delay == Duration::zero()) {
    Send(aRequest, aService.Serve(request, SteadyClock().Now()));
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(aContext, delay);
  timer->async_wait([timer, aRequest, request = std::move(request),
                     &aService](const asio::error_code& aError) {
    if (!aError) {
      Send(aRequest, aService.Serve(request, SteadyClock().Now()));
    }
  });
}

}  // namespace

void RunStandInServer(const StandInServerOptions& aOptions) {
  StandInService service;
  asio::io_context context(1);
  uint16_t boundPort = aOptions.port;
  Server server(restinio::external_io_context(context), [&](auto& aSettings) {
    aSettings.address(aOptions.address)
        .port(aOptions.port)
        .handle_request_timeout(kHandleTimeout)
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t{}.max_body_size(kMaxBodyBytes))
        .acceptor_post_bind_hook(
            [&boundPort](asio::ip::tcp::acceptor& aAcceptor) {
              boundPort = aAcceptor.local_endpoint().port();
            })
        .request_handler([&](const Request& aRequest) {
          ServeAfterDelay(context, service, aRequest);
          return restinio::request_accepted();
        });
  });
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const asio::error_code&, int) { context.stop(); });
  asio::posix::stream_descriptor input(context);
  char unused = 0;
  if (aOptions.exitWithStdin) {
    input.assign(dup(STDIN_FILENO));
    input.async_read_some(
        asio::buffer(&unused, 1),
        [&](const asio::error_code&, size_t) { context.stop(); });
  }
  server.open_sync();
  fmt::print("listening {}:{}\n", aOptions.address, boundPort);
  std::fflush(stdout);
  context.run();
}

}  // namespace fescueline
