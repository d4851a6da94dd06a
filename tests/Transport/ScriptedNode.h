#pragma once

#include <algorithm>
#include <asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "Membership/TargetState.h"
#include "Transport/PeerServer.h"

namespace fescueline::test {

using SessionPtr = PeerServer::SessionPtr;

/// A node for a target of service "fees" that handles each attempt, and each
/// attempt query, by a script. Runs on the loop.
struct ScriptedNode {
  /// Sends the frames of a stream.
  using Script = std::function<void(const SessionPtr&, uint64_t aStream)>;

  ScriptedNode(asio::io_context& aIo, const std::string& aName,
               const Script& aScript, const Script& aOnQuery = {})
      : server({.io = aIo,
                .self = {aName, Id128::Generate(), "secret"},
                .host = "127.0.0.1",
                .sendsStateOnConnect = true,
                .handlers = {
                    .onRequest =
                        [this, aScript](const SessionPtr& aSession,
                                        const RequestFrame& aFrame, Duration) {
                          ++this->attempts;
                          aScript(aSession, aFrame.stream);
                        },
                    .onCredit = [](const SessionPtr&, const CreditFrame&) {},
                    .onCancel = [](const SessionPtr&, uint64_t) {},
                    .onQuery =
                        [this, aOnQuery](const SessionPtr& aSession,
                                         const AttemptQueryFrame& aFrame) {
                          ++this->queries;
                          aOnQuery(aSession, aFrame.stream);
                        },
                    .onClosed = [](const SessionPtr&) {},
                    .state =
                        [] {
                          return StateWire{
                              .service = "fees",
                              .state = static_cast<uint8_t>(TargetState::Ready),
                              .limit = 5};
                        }}}) {
    this->server.Start();
  }

  size_t attempts = 0;
  size_t queries = 0;
  PeerServer server;
};

inline void SendHead(const SessionPtr& aSession, uint64_t aStream,
                     int64_t aLength, uint16_t aStatus = 200) {
  aSession->Send(ResponseHeadFrame{
      .stream = aStream, .status = aStatus, .contentLength = aLength});
}

inline void SendBody(const SessionPtr& aSession, uint64_t aStream,
                     size_t aBytes, char aByte = 'x') {
  for (size_t sent = 0; sent < aBytes; sent += kMaxDataBytes) {
    const size_t size = std::min(kMaxDataBytes, aBytes - sent);
    aSession->Send(
        ResponseDataFrame{.stream = aStream, .data = std::string(size, aByte)});
  }
}

inline void SendEnd(const SessionPtr& aSession, uint64_t aStream,
                    bool aComplete = true) {
  aSession->Send(ResponseEndFrame{.stream = aStream, .complete = aComplete});
}

/// Closes a session after 50 ms, when the frames sent on it have been written.
inline void CloseSoon(const SessionPtr& aSession) {
  const auto timer = std::make_shared<asio::steady_timer>(
      aSession->GetStrand().get_inner_executor(),
      std::chrono::milliseconds(50));
  timer->async_wait([timer, aSession](const asio::error_code&) {
    aSession->Close("closed by the test");
  });
}

}  // namespace fescueline::test
