#include "Mesh/ResponseRelay.h"

#include <cassert>
#include <utility>

namespace fescueline {

namespace {
/// Responses up to this size are passed on only when they are whole. Longer
/// ones are streamed, which bounds the memory of a request.
constexpr size_t kMaxHeldBack = size_t{128} * 1024;
}  // namespace

void ResponseRelay::OnHead(const ResponseHeadFrame& aFrame) {
  assert(!this->streamed);
  this->status = aFrame.status;
  this->headers.clear();
  for (const HeaderWire& header : aFrame.headers) {
    this->headers.push_back({header.name, header.value});
  }
  this->length.reset();
  if (aFrame.contentLength >= 0) {
    this->length = static_cast<uint64_t>(aFrame.contentLength);
  }
  this->body.clear();
}

void ResponseRelay::OnData(std::string aData,
                           const std::function<void()>& aTaken) {
  if (!this->streamed) {
    this->body += aData;
    if (this->body.size() <= kMaxHeldBack) {
      aTaken();
      return;
    }
    this->streamed = true;
    this->exchange->StartStream(this->status, std::move(this->headers),
                                this->length);
    aData = std::exchange(this->body, {});
  }
  this->exchange->Write(std::move(aData), aTaken);
}

HttpResponse ResponseRelay::Take() {
  return {.status = this->status,
          .headers = std::move(this->headers),
          .body = std::move(this->body)};
}

}  // namespace fescueline
