#include <catch2/catch.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "crash/crash_messages.h"
#include "dotterelshed/http_parser.h"
#include "dotterelshed/log_events.h"
#include "dotterelshed/steady_time.h"
#include "history/replica_messages.h"
#include "lead/lead_messages.h"
#include "limit/limit_messages.h"
#include "platform/call_headers.h"
#include "platform/object_codec.h"
#include "stream/stream_messages.h"
#include "view/view_messages.h"

/// @file
/// Randomized: every parser of what other processes send gets changed messages,
/// and every message builder gets ids of any bytes. A parser returns an error
/// or a value and throws nothing; a builder's message is read back unchanged.

namespace dotterelshed {
namespace {

using Json = nlohmann::json;

constexpr int kRounds = 3000;

class Source {
 public:
  explicit Source(unsigned int seed) : m_random(seed) {}

  auto Below(std::size_t bound) -> std::size_t { return m_random() % bound; }

  auto Bytes(std::size_t longest) -> std::string {
    std::string bytes(Below(longest + 1), '\0');
    for (auto& byte : bytes) {
      byte = static_cast<char>(m_random());
    }
    return bytes;
  }

  /// Changes @p text in one to four places.
  auto Change(std::string text) -> std::string {
    static const std::vector<std::string> kPieces = {
        "null",      "-1",
        "1e400",     "9223372036854775807",
        "\"",        "{}",
        "[",         "[[[",
        "\\u0000",   "\xff",
        "\r\n",      "true",
        "\x1fhex:f", "18446744073709551615",
        ":",         ","};
    for (auto changes = 1 + Below(4); changes > 0; --changes) {
      const auto at = Below(text.size() + 1);
      const auto length = Below(8);
      switch (Below(4)) {
        case 0:
          text.insert(at, Bytes(4));
          break;
        case 1:
          text.replace(at, length, kPieces[Below(kPieces.size())]);
          break;
        case 2:
          text.erase(at, length);
          break;
        default:
          text.insert(at, text.substr(Below(text.size() + 1), length * 4));
          break;
      }
    }
    return text;
  }

 private:
  std::mt19937 m_random;
};

/// Parses a text and does nothing with the result.
using Parser = std::function<void(const std::string&)>;

struct Row {
  Parser m_parse;
  std::vector<std::string> m_texts;
};

template <typename Decode>
auto Ignore(Decode decode) -> Parser {
  return [decode](const std::string& text) { (void)decode(text); };
}

auto ParseHttpRequest(const std::string& text) -> void {
  RequestParser parser({});
  parser.Feed(text);
  if (parser.state() == ParseState::kDone) {
    (void)ParseCallHeaders(parser.head());
    (void)MakeEndpointFields(parser.head().m_fields, {});
    (void)FormatLogLine(LogEventId::kRequestEnded,
                        {{"target", parser.head().m_target}});
  }
}

auto ParseHttpResponse(const std::string& text) -> void {
  ResponseParser parser(
      {}, false,
      {.m_on_head =
           [](ResponseHead& head) { (void)ParseEndpointAnswerHeaders(head); },
       .m_on_body = [](std::string_view) {}});
  parser.Feed(text);
  parser.FeedEnd();
}

auto ParseStoredObject(const std::string& text) -> void {
  if (const auto object = ReadObject(text)) {
    (void)DecodeEndpoint(*object);
    (void)DecodeRoutes(*object);
    (void)DecodeLeadEntry(object->m_spec);
    (void)DecodeStoredLedger(object->m_spec);
    (void)DecodeReplicaHost(object->m_spec);
  }
}

auto MakeLedger(const std::string& id) -> StoredLedger {
  return {.m_host = HostId("h"),
          .m_incarnation = Incarnation(5),
          .m_write = 3,
          .m_record = {{{ProgramId(id), Tokens(270)}},
                       {{ProgramId(id), RequestId(id), Tokens(5)}}}};
}

auto MakeCrashUpdate(TimePoint now) -> CrashUpdate {
  SuspectContent content;
  content.m_last_seen = now;
  content.m_lost.push_back({.m_id = {7}, .m_at = now});
  content.m_quarantine = Quarantine{.m_since = now, .m_until = now};
  return {.m_version = 2, .m_contents = {{ContentDigest{1, 2}, content}}};
}

auto WrapSpec(const Json& spec) -> std::string {
  return Json{{"metadata", {{"name", "a"}, {"revision", 3}}}, {"spec", spec}}
      .dump();
}

auto MakeRows() -> std::vector<Row> {
  const auto now = SteadyTime();
  const KnownLead lead{.m_domain = DomainId("z"),
                       .m_entry = {.m_host = HostId("h")}};
  const auto server = WrapSpec(Json::parse(
      R"({"service":"s","address":"127.0.0.9:8080","zone":"z","version":"v1",
          "slots":4,"state":"ready","coldLeftMs":0,"seq":4,"born":17})"));
  const auto config = WrapSpec(Json::parse(
      R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/a/",
          "kind":"stream","timeoutMs":5000,"maxAttempts":2,"service":"s"}],
          "services":[{"name":"s","engine":{"tokensPerEvent":3}}],
          "limits":{"headerBytes":1000,"maxBodyBytes":2000}})"));
  const auto ledger = WrapSpec(EncodeStoredLedger(MakeLedger("p")));
  const auto listing = R"({"items":[)" + server + "," + config +
                       R"(],"hasMore":false,"storeRevision":9})";
  const auto changes = R"({"storeRevision":9,"events":[{"removed":false,)"
                       R"("object":)" +
                       server + "}]}";
  const auto leads = WrapSpec(EncodeLeadEntry(lead.m_entry));
  const auto disks = WrapSpec(EncodeReplicaHost({.m_host = HostId("d")}));
  const TurnRecord turn{.m_turn = RequestId("r"), .m_text = "text"};
  return {
      {Ignore(DecodeTurnGrantRequest), {EncodeTurnGrantRequest({})}},
      {Ignore(DecodeTurnGrantResponse),
       {EncodeTurnGrantResponse({.m_lead = lead})}},
      {Ignore(DecodeFindAccountRequest), {EncodeFindAccountRequest({})}},
      {Ignore(DecodeFindAccountResponse),
       {EncodeFindAccountResponse({.m_lead = lead})}},
      {Ignore(DecodeSettlements), {EncodeSettlements({{}, {}})}},
      {Ignore(DecodeKnownLead), {EncodeKnownLead(lead)}},
      {Ignore(DecodeJournalEntry),
       {EncodeJournalEntry({.m_ledger = MakeLedger("p")})}},
      {[now](const std::string& text) { (void)DecodeCrashUpdate(text, now); },
       {EncodeCrashUpdate(MakeCrashUpdate(now), now)}},
      {Ignore(DecodeCrashUpdateRequest), {EncodeCrashUpdateRequest({})}},
      {Ignore(DecodeViewRequest), {EncodeViewRequest({})}},
      {Ignore(DecodeStreamBegun), {EncodeStreamBegun({})}},
      {Ignore(DecodeStreamQuestion), {EncodeStreamQuestion({})}},
      {Ignore(DecodeStreamAnswer),
       {EncodeStreamAnswer({}),
        EncodeStreamAnswer({.m_software = SoftwareVersion("v")})}},
      {[now](const std::string& text) { (void)DecodeLimitAsk(text, now); },
       {EncodeLimitAsk({.m_statements = {{EndpointId("e"), {}}}}, now)}},
      {[now](const std::string& text) { (void)DecodeLimitAnswer(text, now); },
       {EncodeLimitAnswer({.m_states = {{EndpointId("e"), {}}}}, now)}},
      {Ignore(DecodeViewResponse),
       {EncodeViewResponse({.m_removed = {"a"}}, "[" + server + "]")}},
      {Ignore(DecodeTurnRecords), {EncodeTurnRecords({&turn})}},
      {Ignore(DecodeTurnReadRequest), {EncodeTurnReadRequest({})}},
      {Ignore(DecodeTurnListRequest), {EncodeTurnListRequest({})}},
      {Ignore(DecodeTurnListResponse), {EncodeTurnListResponse({})}},
      {Ignore(DecodeTurnIds), {EncodeTurnIds({RequestId("r")})}},
      {Ignore(DecodeCopyRequest), {EncodeCopyRequest(HostId("d"))}},
      {Ignore(DecodeTurnWithdrawal), {EncodeTurnWithdrawal({})}},
      {ParseStoredObject, {server, config, ledger, leads, disks}},
      {Ignore(ReadListing), {listing}},
      {Ignore(ReadChanges), {changes}},
      {ParseHttpRequest,
       {"POST /turn/x HTTP/1.1\r\nHost: desk\r\nRequest-Id: r\r\nProgram-Id: "
        "p\r\nToken-Budget: 100\r\nToken-Counts: 100,10\r\nLast-Event-Id: "
        "3\r\nContent-Length: 2\r\n\r\nab"}},
      {ParseHttpResponse,
       {"HTTP/1.1 200 OK\r\nRequest-Id: r\r\nKeep-Alive: timeout=5\r\n"
        "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"}},
  };
}

TEST_CASE("no message of another process makes a parser throw (randomized)") {
  Source source(GENERATE(1U, 2U, 3U));
  REQUIRE(StartLogging({.m_level = LogLevel::kError}));
  const auto rows = MakeRows();
  for (std::size_t i = 0; i < rows.size(); ++i) {
    CAPTURE(i);
    for (int round = 0; round < kRounds / 10; ++round) {
      for (const auto& text : rows[i].m_texts) {
        const auto changed = source.Change(text);
        INFO(changed);
        REQUIRE_NOTHROW(rows[i].m_parse(changed));
      }
    }
  }
}

TEST_CASE("ids of any bytes pass between hosts unchanged (randomized)") {
  Source source(GENERATE(1U, 2U, 3U));
  for (int round = 0; round < kRounds; ++round) {
    const auto id = source.Bytes(40);
    const auto request = DecodeTurnGrantRequest(EncodeTurnGrantRequest(
        {.m_grant = {.m_program = ProgramId(id), .m_request = RequestId(id)},
         .m_service = ServiceId(id)}));
    REQUIRE(request);
    REQUIRE(request->m_grant.m_program.value() == id);
    REQUIRE(request->m_grant.m_request.value() == id);
    REQUIRE(request->m_service.value() == id);
    const auto find = DecodeFindAccountRequest(
        EncodeFindAccountRequest({.m_program = ProgramId(id)}));
    REQUIRE(find->m_program.value() == id);
    const auto settled = DecodeSettlements(
        EncodeSettlements({.m_settlements = {{.m_program = ProgramId(id),
                                              .m_request = RequestId(id)}}}));
    REQUIRE(settled->m_settlements.at(0).m_request.value() == id);
    const auto journal =
        DecodeJournalEntry(EncodeJournalEntry({.m_ledger = MakeLedger(id)}));
    REQUIRE(journal->m_ledger.m_record.m_bounds.contains(ProgramId(id)));
    const auto turns = DecodeTurnIds(EncodeTurnIds({RequestId(id)}));
    REQUIRE(turns->at(0).value() == id);
    const TurnRecord record{
        .m_turn = RequestId(id), .m_program = ProgramId(id), .m_text = id};
    const auto records = DecodeTurnRecords(EncodeTurnRecords({&record}));
    REQUIRE(records->at(0).m_text == id);
  }
}

}  // namespace
}  // namespace dotterelshed
