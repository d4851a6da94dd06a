#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "Platform/TableCodec.h"

using namespace fescueline;

namespace {

/// A transaction with special characters and extreme numbers.
const TableTransaction kTransaction{
    "t\"\\", {{"a", 0}, {"b", UINT64_MAX}}, {{"é", "{}"}, {"b", std::nullopt}}};

/// Whether the text is rejected with TableFormatError.
bool IsRejected(const std::string& aText) {
  try {
    TableCodec::DecodeTransaction(aText);
    return false;
  } catch (const TableFormatError&) {
    return true;
  }
}

}  // namespace

// Guards against messages that lose or change a field.
TEST_CASE("messages keep all fields when encoded and decoded") {
  CHECK(TableCodec::DecodeTransaction(TableCodec::Encode(kTransaction)) ==
        kTransaction);
  const TransactResult result{TransactStatus::Conflict, 3, "k", UINT64_MAX};
  CHECK(TableCodec::DecodeResult(TableCodec::Encode(result)) == result);
  const TableChanges changes{
      9, {{"a", "1", 7, false}, {"b", "", 9, true}}, true};
  CHECK(TableCodec::DecodeChanges(TableCodec::Encode(changes), 6) == changes);
  CHECK(TableCodec::DecodeRecords(TableCodec::Encode(changes.records)) ==
        changes.records);
  CHECK(TableCodec::DecodeRecord(TableCodec::Encode(changes.records[0])) ==
        changes.records[0]);
}

// Guards against a truncated transaction that is taken for a shorter one.
TEST_CASE("every truncation of a message is rejected") {
  const std::string text = TableCodec::Encode(kTransaction);
  for (size_t length = 0; length < text.size(); ++length) {
    CAPTURE(length);
    CHECK(IsRejected(text.substr(0, length)));
  }
}

// Guards against numbers and types that are silently converted.
TEST_CASE("wrong types and ranges are rejected") {
  const std::vector<std::string> cases = {
      R"({"token":1,"checks":[],"writes":[]})",
      R"({"token":"t","checks":{},"writes":[]})",
      R"({"token":"t","checks":[],"writes":[{"key":"a"}]})",
      R"({"token":"t","checks":[],"writes":[{"key":"a","value":1}]})",
      R"({"token":"t","checks":[],"writes":["a"]})",
      R"({"token":"t","checks":[{"key":"a","version":-1}],"writes":[]})",
      R"({"token":"t","checks":[{"key":"a","version":1.5}],"writes":[]})",
      R"({"token":"t","checks":[{"key":"a","version":"1"}],"writes":[]})",
      R"({"token":"t","checks":[{"key":"a","version":1e99}],"writes":[]})",
      R"({"token":"t","checks":[{"key":null,"version":1}],"writes":[]})",
      R"({"token":"t","writes":[]})",
      R"({"token":"t","checks":[],"writes":[]} {})",
      "{\"token\":\"\xc3\",\"checks\":[],\"writes\":[]}",
      "null",
      std::string(100'000, '['),
  };
  for (const std::string& text : cases) {
    CAPTURE(text.substr(0, 100));
    CHECK(IsRejected(text));
  }
}

// Guards against an uncaught exception of the JSON library, which would end
// the node.
TEST_CASE("corrupted messages raise no other exception") {
  const std::string text = TableCodec::Encode(kTransaction);
  const bool holds = rc::check([&text] {
    std::string damaged = text;
    const auto changes = *rc::gen::nonEmpty<std::vector<uint8_t>>();
    for (const uint8_t byte : changes) {
      damaged[*rc::gen::inRange<size_t>(0, damaged.size())] =
          static_cast<char>(byte);
    }
    IsRejected(damaged);
  });
  CHECK(holds);
}
