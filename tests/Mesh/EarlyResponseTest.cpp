#include <fmt/format.h>

#include "Mesh/TargetPath.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

/// How the target ends its connection.
enum class End : uint8_t { Close, Reset };

/// How much of the upload the target reads before it responds.
enum class Read : uint8_t { Head, Half, All };

struct EarlyCase {
  const char* framing;
  /// Header fields after the identifier.
  std::string fields;
  /// Whether only the close of the connection ends the body.
  bool untilClose = false;
};

const std::vector<EarlyCase> kFramings = {
    {"without a length", "", true},
    {"with a length", "Content-Length: 300000\r\n"},
    {"chunked", "Transfer-Encoding: chunked\r\n\r\n30000\r\n"}};

/// Longer than the socket buffers of both ends, so that the node is still
/// writing when the target responds.
constexpr size_t kUploadBytes = 1'000'000;

size_t BytesToRead(Read aRead, size_t aRequestBytes) {
  switch (aRead) {
    case Read::Head:
      return 1;
    case Read::Half:
      return aRequestBytes / 2;
    case Read::All:
      return aRequestBytes;
  }
  return 0;
}

}  // namespace

// A target responds at once to a long upload, sends a part of its body, and
// closes or resets the connection. Writing the rest of the upload then fails
// and takes the socket's error, so that the next read reports an orderly close.
// Guards against that part being passed on as a complete response.
TEST_CASE("a part of an early response is never a complete response") {
  const std::string upload(kUploadBytes, 'u');
  for (const EarlyCase& row : kFramings) {
    for (const End end : {End::Close, End::Reset}) {
      for (const Read read : {Read::Head, Read::Half, Read::All}) {
        // The entry node buffers a short part and streams a long one.
        for (const size_t part : {size_t{1000}, size_t{150'000}}) {
          for (const std::string version : {"1.0", "1.1"}) {
            CAPTURE(row.framing);
            CAPTURE(static_cast<int>(end));
            CAPTURE(static_cast<int>(read));
            CAPTURE(part);
            CAPTURE(version);
            const std::string request = TargetPath::Request(
                "POST", "/once/", "r1",
                fmt::format("Content-Length: {}\r\n", upload.size()), version);
            TargetPath path([&](TargetConnection& aConnection,
                                const std::string&) {
              aConnection.Send("HTTP/1.1 200 OK\r\nX-Id: r1\r\n" + row.fields +
                                   "\r\n" + std::string(part, 'x'),
                               [self = aConnection.shared_from_this(), end] {
                                 end == End::Reset ? self->Reset()
                                                   : self->Close();
                               });
            });
            path.UseSmallWindows();
            path.requestBytes = BytesToRead(read, kUploadBytes);
            RawPeer& caller = path.NewCaller();
            caller.SendLater(request + upload);
            ReceivedResponse seen;
            REQUIRE(RunPromptly(path.io, [&] {
              seen = ReceivedResponse::Of(caller.received, false,
                                          caller.closed && !caller.reset);
              return seen.complete || caller.closed;
            }));
            const bool isWhole =
                row.untilClose && end == End::Close && read == Read::All;
            if (isWhole) {
              CHECK(seen.complete);
              CHECK(seen.status == 200);
              CHECK(seen.body.size() == part);
            } else {
              CHECK((!seen.complete || seen.status == 502));
            }
          }
        }
      }
    }
  }
}
