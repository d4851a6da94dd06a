#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "Core/EnumNames.h"
#include "Core/Identifiers.h"
#include "Transport/HttpMessage.h"

/// Messages of the peer protocol (docs/design.md, section 2.2). Enumerations
/// are encoded as plain integers, which the receiver validates before use.

namespace fescueline {

/// First element of every frame.
enum class FrameType : uint8_t {
  Hello,
  HelloAck,
  HelloConfirm,
  Request,
  ResponseHead,
  ResponseData,
  ResponseEnd,
  Refusal,
  Credit,
  Cancel,
  AttemptQuery,
  AttemptReply,
  Ping,
  Pong,
  StateUpdate,
  PeerSync,
  TokenRequest,
  TokenGrant
};

/// Highest valid FrameType value.
inline constexpr uint8_t kMaxFrameType =
    static_cast<uint8_t>(FrameType::TokenGrant);

/// Header field on the wire.
struct HeaderWire {
  std::string name;
  std::string value;
  MSGPACK_DEFINE_ARRAY(name, value)
};

/// First frame of a connection, sent by the dialling node.
struct HelloFrame {
  static constexpr FrameType kType = FrameType::Hello;
  std::string nodeId;
  /// Incarnation of the sender as 32 hexadecimal digits.
  std::string incarnation;
  /// 16 random bytes.
  std::string nonce;
  MSGPACK_DEFINE_ARRAY(nodeId, incarnation, nonce)
};

/// Response to Hello with the acceptor's proof that it has the fleet secret.
struct HelloAckFrame {
  static constexpr FrameType kType = FrameType::HelloAck;
  std::string nodeId;
  std::string incarnation;
  std::string nonce;
  std::string proof;
  MSGPACK_DEFINE_ARRAY(nodeId, incarnation, nonce, proof)
};

/// The dialling node's proof that it has the fleet secret. Requests may follow
/// immediately.
struct HelloConfirmFrame {
  static constexpr FrameType kType = FrameType::HelloConfirm;
  std::string proof;
  MSGPACK_DEFINE_ARRAY(proof)
};

/// Starts an attempt on a new stream.
struct RequestFrame {
  static constexpr FrameType kType = FrameType::Request;
  uint64_t stream = 0;
  /// Signed context token.
  std::string context;
  /// Number of retries that the receiver may spend or pass on.
  uint32_t retries = 0;
  /// Send time on the sender's monotonic clock, microseconds.
  int64_t sentAt = 0;
  std::string method;
  std::string target;
  std::vector<HeaderWire> headers;
  std::string body;
  MSGPACK_DEFINE_ARRAY(stream, context, retries, sentAt, method, target,
                       headers, body)
};

/// Status and headers of the target's response.
struct ResponseHeadFrame {
  static constexpr FrameType kType = FrameType::ResponseHead;
  uint64_t stream = 0;
  uint16_t status = 0;
  std::vector<HeaderWire> headers;
  /// Body length in bytes, -1 if unknown.
  int64_t contentLength = -1;
  MSGPACK_DEFINE_ARRAY(stream, status, headers, contentLength)
};

/// Part of the body, at most 64 KiB.
struct ResponseDataFrame {
  static constexpr FrameType kType = FrameType::ResponseData;
  uint64_t stream = 0;
  std::string data;
  MSGPACK_DEFINE_ARRAY(stream, data)
};

/// Admission threshold of a service for one organisation.
struct ThresholdWire {
  std::string service;
  std::string organisation;
  /// Least important class that is at least partly admitted.
  uint8_t importance = 3;
  /// Requests of that class are admitted if the hash of their root id is below
  /// this.
  uint16_t cutoff = UINT16_MAX;
  /// Time since the threshold was computed, microseconds.
  int64_t age = 0;
  MSGPACK_DEFINE_ARRAY(service, organisation, importance, cutoff, age)
};

/// Body bytes of one response that may be sent before the first credit.
inline constexpr int64_t kInitialCredit = int64_t{256} * 1024;
/// Maximum number of body bytes in one ResponseData frame.
inline constexpr size_t kMaxDataBytes = size_t{64} * 1024;

/// End of a response.
struct ResponseEndFrame {
  static constexpr FrameType kType = FrameType::ResponseEnd;
  uint64_t stream = 0;
  /// False if the target's response was truncated.
  bool complete = false;
  /// Retries from RequestFrame::retries that were not spent.
  uint32_t unspentRetries = 0;
  /// Thresholds of this service and of the services it calls.
  std::vector<ThresholdWire> thresholds;
  MSGPACK_DEFINE_ARRAY(stream, complete, unspentRetries, thresholds)
};

/// Ends a stream on which the attempt got no response from the target.
struct RefusalFrame {
  static constexpr FrameType kType = FrameType::Refusal;
  uint64_t stream = 0;
  uint8_t outcome = 0;
  uint8_t cause = 0;
  /// Suggested wait before another request, milliseconds.
  uint32_t retryAfter = 0;
  uint32_t unspentRetries = 0;
  std::vector<ThresholdWire> thresholds;
  MSGPACK_DEFINE_ARRAY(stream, outcome, cause, retryAfter, unspentRetries,
                       thresholds)
};

/// Flow control: allows the sender of a response to send more body bytes.
struct CreditFrame {
  static constexpr FrameType kType = FrameType::Credit;
  uint64_t stream = 0;
  uint64_t bytes = 0;
  MSGPACK_DEFINE_ARRAY(stream, bytes)
};

/// The caller no longer wants the response.
struct CancelFrame {
  static constexpr FrameType kType = FrameType::Cancel;
  uint64_t stream = 0;
  MSGPACK_DEFINE_ARRAY(stream)
};

/// Queries the outcome of an attempt that was sent on another connection.
struct AttemptQueryFrame {
  static constexpr FrameType kType = FrameType::AttemptQuery;
  uint64_t stream = 0;
  /// Attempt id as 32 hexadecimal digits.
  std::string attempt;
  /// Time since the attempt was sent, microseconds.
  int64_t age = 0;
  MSGPACK_DEFINE_ARRAY(stream, attempt, age)
};

/// Outcome of the queried attempt. If the attempt has finished and its response
/// is stored, ResponseHead, ResponseData and ResponseEnd are sent instead.
struct AttemptReplyFrame {
  static constexpr FrameType kType = FrameType::AttemptReply;
  uint64_t stream = 0;
  uint8_t outcome = 0;
  MSGPACK_DEFINE_ARRAY(stream, outcome)
};

/// Liveness check.
struct PingFrame {
  static constexpr FrameType kType = FrameType::Ping;
  uint64_t sequence = 0;
  /// Additional time until the next ping, beyond the usual period,
  /// milliseconds.
  uint32_t extraPeriod = 0;
  MSGPACK_DEFINE_ARRAY(sequence, extraPeriod)
};

/// State of the target that the sending node serves.
struct StateWire {
  std::string service;
  /// TargetState value.
  uint8_t state = 0;
  /// Requests in flight and queued.
  uint32_t load = 0;
  /// Current concurrency limit.
  uint32_t limit = 0;
  std::vector<ThresholdWire> thresholds;
  /// Configuration version in force at the sender; 0 if none.
  uint64_t configVersion = 0;
  /// Time since that version was last known to be the newest, microseconds;
  /// negative if never.
  int64_t configAge = -1;
  /// Whether the sender is the node that issues tokens of the organisations'
  /// rates.
  bool isIssuer = false;
  /// Value of `failureRate` if all recent requests failed.
  static constexpr double kFailureRateUnits = 10'000;
  /// Share of recent requests that failed because of the target itself, in
  /// units of 1/10,000.
  uint32_t failureRate = 0;
  /// Version of the store up to which the sender knows the member rows; 0 if
  /// the receiver is not to learn them from the sender.
  uint64_t membersReadUpTo = 0;
  /// Digest of the member rows that the sender knows.
  uint32_t membersDigest = 0;
  /// Time since the member rows were last known to be current, milliseconds;
  /// negative if never.
  int64_t membersAge = -1;
  MSGPACK_DEFINE_ARRAY(service, state, load, limit, thresholds, configVersion,
                       configAge, isIssuer, failureRate, membersReadUpTo,
                       membersDigest, membersAge)
};

/// Response to Ping.
struct PongFrame {
  static constexpr FrameType kType = FrameType::Pong;
  uint64_t sequence = 0;
  StateWire state;
  MSGPACK_DEFINE_ARRAY(sequence, state)
};

/// Pushed when the target's state changes.
struct StateUpdateFrame {
  static constexpr FrameType kType = FrameType::StateUpdate;
  StateWire state;
  MSGPACK_DEFINE_ARRAY(state)
};

/// One row of the fleet's shared state, forwarded between nodes.
struct FleetRowWire {
  std::string key;
  std::string value;
  /// Version of the row in the store, or of its removal.
  uint64_t version = 0;
  bool removed = false;
  MSGPACK_DEFINE_ARRAY(key, value, version, removed)
};

/// Request for the configuration and the changes of member rows that the sender
/// lacks, or a reply to one.
struct PeerSyncFrame {
  static constexpr FrameType kType = FrameType::PeerSync;
  /// Version of the configuration; 0 if the sender has none.
  uint64_t configVersion = 0;
  /// The configuration as stored; empty in a request, and if the receiver has
  /// it.
  std::string config;
  std::vector<FleetRowWire> rows;
  /// Whether the frame is a request.
  bool wantsReply = false;
  /// Version of the store after which changes of rows are requested or begin.
  uint64_t since = 0;
  /// Version of the store up to which the sender knows the rows.
  uint64_t readUpTo = 0;
  /// Whether `rows` are all rows instead of the changed ones.
  bool complete = false;
  /// Whether further frames of the reply follow.
  bool more = false;
  /// Time since the configuration was last known to be the newest,
  /// microseconds; negative if never.
  int64_t configAge = -1;
  /// Digest of all member rows that the sender knows.
  uint32_t digest = 0;
  MSGPACK_DEFINE_ARRAY(configVersion, config, rows, wantsReply, since, readUpTo,
                       complete, more, configAge, digest)
};

/// Requests tokens of an organisation's rate from the issuer.
struct TokenRequestFrame {
  static constexpr FrameType kType = FrameType::TokenRequest;
  std::string organisation;
  /// Number of tokens requested.
  uint32_t tokens = 0;
  /// Request id, copied into the response.
  uint64_t requestId = 0;
  MSGPACK_DEFINE_ARRAY(organisation, tokens, requestId)
};

/// Response to TokenRequest; may grant no tokens.
struct TokenGrantFrame {
  static constexpr FrameType kType = FrameType::TokenGrant;
  std::string organisation;
  uint32_t tokens = 0;
  /// Whether a grant of 0 tokens means that the organisation exceeds its rate.
  bool mayRefuse = false;
  /// Request id of the TokenRequest; 0 from nodes of versions without request
  /// ids.
  uint64_t requestId = 0;
  MSGPACK_DEFINE_ARRAY(organisation, tokens, mayRefuse, requestId)
};

}  // namespace fescueline
