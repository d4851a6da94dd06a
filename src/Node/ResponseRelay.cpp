#include "Node/ResponseRelay.h"

#include <algorithm>
#include <utility>

#include "Core/HttpLineGrammar.h"
#include "Node/Headers.h"

namespace fescueline {

namespace {
/// Responses up to this size are buffered until they are complete. Longer ones
/// are streamed, which bounds the memory of a request.
constexpr size_t kMaxBuffered = size_t{128} * 1024;
/// Limit of unwritten body bytes: the initial credit of a sender, and one read
/// that it had already started.
constexpr uint64_t kMaxUnwritten = kInitialCredit + kMaxDataBytes;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;

bool IsValidField(const HeaderWire& aField) {
  return IsFieldName(aField.name) && IsFieldValue(aField.value);
}
}  // namespace

void ResponseRelay::Begin() {
  this->status = 0;
  this->headers.clear();
  this->length.reset();
  this->received = 0;
  this->body.clear();
}

bool ResponseRelay::OnHead(const ResponseHeadFrame& aFrame) {
  if (this->HasHead() || this->streamed || aFrame.status < kFirstFinalStatus ||
      aFrame.status > kLastStatus ||
      !std::all_of(aFrame.headers.begin(), aFrame.headers.end(),
                   IsValidField)) {
    return false;
  }
  this->status = aFrame.status;
  this->headers = FromWire(aFrame.headers);
  if (aFrame.contentLength >= 0) {
    this->length = static_cast<uint64_t>(aFrame.contentLength);
  }
  return true;
}

bool ResponseRelay::OnData(std::string aData,
                           const std::function<void()>& aTaken) {
  const size_t size = aData.size();
  const uint64_t pending = this->unwritten->load();
  if (!this->HasHead() || this->headRequest || IsBodiless(this->status) ||
      size > kMaxUnwritten - std::min(kMaxUnwritten, pending) ||
      (this->length && size > *this->length - this->received)) {
    return false;
  }
  this->received += size;
  if (!this->streamed) {
    this->body += aData;
    if (this->body.size() <= kMaxBuffered) {
      aTaken();
      return true;
    }
    this->streamed = true;
    this->exchange->StartStream(this->status, std::move(this->headers),
                                this->length);
    aData = std::exchange(this->body, {});
  }
  *this->unwritten += size;
  this->exchange->Write(std::move(aData),
                        [unwritten = this->unwritten, size, aTaken] {
                          *unwritten -= size;
                          aTaken();
                        });
  return true;
}

bool ResponseRelay::IsComplete() const {
  const bool hasBody = !this->headRequest && !IsBodiless(this->status);
  return this->HasHead() &&
         (!hasBody || !this->length || *this->length == this->received);
}

HttpResponse ResponseRelay::Take() {
  return {.status = this->status,
          .headers = std::move(this->headers),
          .body = std::move(this->body)};
}

void ResponseRelay::Deliver(std::function<void()> aOnSent) {
  if (this->headRequest || IsBodiless(this->status)) {
    // The head states the length of a body that the target did not send.
    this->exchange->StartStream(this->status, std::move(this->headers),
                                this->length);
    this->exchange->EndStream(true, std::move(aOnSent));
    return;
  }
  this->exchange->Respond(this->Take(), std::move(aOnSent));
}

}  // namespace fescueline
