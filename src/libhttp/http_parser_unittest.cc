#include "dotterelshed/http_parser.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>

namespace dotterelshed {
namespace {

struct Collected {
  ResponseHead m_head;
  std::string m_body;
  int m_heads = 0;
};

auto MakeResponseParser(Collected& into, bool bodyless = false)
    -> ResponseParser {
  return ResponseParser(
      {}, bodyless,
      {.m_on_head =
           [&into](ResponseHead& head) {
             into.m_head = head;
             ++into.m_heads;
           },
       .m_on_body = [&into](std::string_view bytes) { into.m_body += bytes; }});
}

TEST_CASE("a request is whole at its last byte, however it is cut") {
  const std::string text =
      "POST /a/b?c=d HTTP/1.1\r\nHost: x.example\r\nContent-Length: 5\r\n\r\n"
      "helloGET ";
  const auto length = text.size() - 4;
  for (std::size_t cut = 0; cut < length; ++cut) {
    RequestParser parser({});
    auto used = parser.Feed(text.substr(0, cut));
    CHECK(used == cut);
    CHECK(parser.state() != ParseState::kDone);
    used += parser.Feed(text.substr(cut));
    REQUIRE(parser.state() == ParseState::kDone);
    CHECK(used == length);
    CHECK(parser.head().m_method == "POST");
    CHECK(parser.head().m_target == "/a/b?c=d");
    CHECK(parser.body() == "hello");
  }
}

TEST_CASE("chunked bodies are joined") {
  RequestParser parser({});
  const std::string text =
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
  CHECK(parser.Feed(text) == text.size());
  CHECK(parser.state() == ParseState::kDone);
  CHECK(parser.body() == "abcde");
}

TEST_CASE("ambiguous framing is malformed") {
  const auto head = GENERATE(
      "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
      "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: identity\r\n",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
      "Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: +5\r\n",
      "Content-Length : 5\r\n", "Content-Length: -1\r\n");
  RequestParser parser({});
  CAPTURE(head);
  parser.Feed("POST / HTTP/1.1\r\nHost: x\r\n" + std::string(head) +
              "\r\nabcde");
  CHECK(parser.state() == ParseState::kMalformed);
}

TEST_CASE("limits of head and body are enforced") {
  RequestParser large_head({.m_max_header_bytes = 100});
  large_head.Feed("GET / HTTP/1.1\r\nA: " + std::string(200, 'a'));
  CHECK(large_head.state() == ParseState::kHeaderTooLarge);
  RequestParser large_body({.m_max_body_bytes = 4});
  large_body.Feed("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde");
  CHECK(large_body.state() == ParseState::kBodyTooLarge);
}

TEST_CASE("a response without length ends with its connection") {
  Collected got;
  auto parser = MakeResponseParser(got);
  parser.Feed("HTTP/1.1 200 OK\r\nA: b\r\n\r\nhel");
  parser.Feed("lo");
  CHECK(parser.state() == ParseState::kBody);
  parser.FeedEnd();
  CHECK(parser.state() == ParseState::kDone);
  CHECK_FALSE(parser.keep_alive());
  CHECK(got.m_body == "hello");
}

TEST_CASE("a response cut short never looks complete") {
  const std::string text = GENERATE(
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
      "0\r\n\r\n");
  for (std::size_t cut = 0; cut < text.size(); ++cut) {
    Collected got;
    auto parser = MakeResponseParser(got);
    parser.Feed(text.substr(0, cut));
    parser.FeedEnd();
    CHECK(parser.state() == ParseState::kMalformed);
  }
}

TEST_CASE("interim responses are passed over") {
  Collected got;
  auto parser = MakeResponseParser(got);
  const std::string text =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n";
  const auto used = parser.Feed(text);
  CHECK(parser.state() == ParseState::kDone);
  CHECK(got.m_heads == 1);
  CHECK(got.m_head.m_status == 200);
  CHECK(got.m_body == "ok");
  CHECK(text.substr(used) == "HTTP/1.1 200 OK\r\n");
}

TEST_CASE("an answer to HEAD has no body") {
  Collected got;
  auto parser = MakeResponseParser(got, true);
  const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n";
  CHECK(parser.Feed(text) == text.size());
  CHECK(parser.state() == ParseState::kDone);
}

TEST_CASE("spoilt bytes never crash the parsers") {
  const std::string request =
      "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\nabcd\r\n0\r\n\r\n";
  const std::string response =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n"
      "0\r\n\r\n";
  std::mt19937 random(20261204);
  for (int round = 0; round < 3000; ++round) {
    auto spoilt = round % 2 == 0 ? request : response;
    for (auto changes = random() % 4; changes > 0; --changes) {
      spoilt[random() % spoilt.size()] = static_cast<char>(random() % 256);
    }
    Collected got;
    RequestParser as_request({});
    auto as_response = MakeResponseParser(got);
    std::size_t at = 0;
    while (at < spoilt.size()) {
      const auto piece = spoilt.substr(at, 1 + random() % 9);
      as_request.Feed(piece);
      as_response.Feed(piece);
      at += piece.size();
    }
    as_response.FeedEnd();
    CHECK(as_response.state() != ParseState::kBody);
  }
}

TEST_CASE("nothing of an answer with a rejected head is passed on") {
  const auto* head =
      GENERATE("HTTP/1.1 000 X\r\nContent-Length: 5\r\n",
               "HTTP/1.1 099 X\r\nContent-Length: 5\r\n",
               "HTTP/1.1 101 X\r\nContent-Length: 5\r\n",
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n",
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n");
  int heads = 0;
  std::string body;
  ResponseParser parser(
      {}, false,
      {.m_on_head = [&heads](ResponseHead& /*head*/) { ++heads; },
       .m_on_body = [&body](std::string_view bytes) { body += bytes; }});
  parser.Feed(std::string(head) + "\r\nwrong");
  CHECK(parser.state() == ParseState::kMalformed);
  CHECK(heads == 0);
  CHECK(body.empty());
}

}  // namespace
}  // namespace dotterelshed
