#ifndef DOTTERELSHED_TURN_RECORD_H_
#define DOTTERELSHED_TURN_RECORD_H_

#include <set>
#include <string>
#include <string_view>

#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// One completed turn of a conversation whose history the system keeps. A
/// conversation is a tree: each turn names the one that it continues from, and
/// several turns may continue from the same one.

namespace dotterelshed {

struct TurnRecord {
  /// Id of the request that ran the turn.
  RequestId m_turn;
  /// Turn that it continues from; empty at the start of a conversation.
  RequestId m_previous;
  /// Program that the turn belongs to. All turns of a conversation have the
  /// same one, so that it decides where they are stored.
  ProgramId m_program;
  /// What the turn adds to the prompt of the turns after it: its input, then
  /// the data of each of its events, each followed by a line feed.
  std::string m_text;
  /// Time for which the turn can still be continued.
  Duration m_lifetime{0};
  /// Hosts that store it in place of replicas of the program that did not
  /// answer. They copy it again if they lose their disk.
  std::set<HostId> m_substitutes;
};

/// Returns the data of an event of an event stream: the values of its data
/// fields, joined by line feeds.
/// @param event  Text of one event, including the terminating empty line.
auto EventData(std::string_view event) -> std::string;

/// Memory that a record takes, in bytes, with its share of the index.
auto SizeInMemory(const TurnRecord& record) -> std::size_t;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_TURN_RECORD_H_
