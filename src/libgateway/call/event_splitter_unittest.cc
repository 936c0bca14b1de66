#include "call/event_splitter.h"

#include <catch2/catch.hpp>
#include <vector>

namespace dotterelshed {
namespace {

TEST_CASE("events are complete wherever the stream is split") {
  const std::string text =
      "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\n\n";
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    EventSplitter splitter;
    std::vector<StreamEvent> events;
    for (const auto& piece : {text.substr(0, cut), text.substr(cut)}) {
      splitter.Add(piece);
      while (auto event = splitter.Next()) {
        events.push_back(*event);
      }
    }
    REQUIRE(events.size() == 4);
    CHECK(events[0].m_id == 1);
    CHECK(events[1].m_id == 2);
    CHECK_FALSE(events[2].m_id);
    CHECK(events[3].m_id == 3);
    CHECK(events[0].m_text + events[1].m_text + events[2].m_text +
              events[3].m_text ==
          text);
    CHECK(splitter.empty());
  }
}

TEST_CASE("an incomplete event isn't returned") {
  EventSplitter splitter;
  splitter.Add("id: 1\ndata: a\n");
  CHECK_FALSE(splitter.Next());
  CHECK_FALSE(splitter.empty());
}

}  // namespace
}  // namespace dotterelshed
