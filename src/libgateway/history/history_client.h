#ifndef DOTTERELSHED_HISTORY_CLIENT_H_
#define DOTTERELSHED_HISTORY_CLIENT_H_

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "dotterelshed/copy_rule.h"
#include "entry_context.h"
#include "history/history_cache.h"
#include "history/replica_directory.h"
#include "history/replica_messages.h"

/// @file
/// Histories of conversations as an entry host uses them: reads the turns that
/// a new one continues from, and writes a completed one on the disk hosts.
///
/// A turn counts as stored once its copies survive what may be lost at the same
/// time, see copy_rule.h. Hosts that don't answer are passed over for others.
/// It is sent to the other replicas as well, until they have it.

namespace dotterelshed {

enum class HistoryOutcome {
  kFound,
  kAbsent,   ///< No such turn exists.
  kUnknown,  ///< The turn may exist, but cannot be read now.
};

struct HistoryReadResult {
  HistoryOutcome m_outcome = HistoryOutcome::kUnknown;
  /// With kFound: texts of the turns, oldest first.
  HistoryText m_text;
};

struct HistoryReadRequest {
  RequestId m_turn;
  ProgramId m_program;
  /// Time for which turns are kept.
  Duration m_retention{0};
};

class HistoryClient {
 public:
  using ReadCallback = std::function<void(const HistoryReadResult&)>;
  using StoredCallback = std::function<void()>;

  explicit HistoryClient(EntryContext& context);

  /// Begins to follow the list of disk hosts; later calls do nothing.
  auto Start() -> void { m_directory.Start(); }
  /// Watcher of the list of disk hosts, which other hosts may read through this
  /// one.
  auto watcher() -> ObjectWatcher& { return m_directory.watcher(); }
  /// Disk hosts, which are known after Start().
  auto disk_hosts() -> ReplicaDirectory& { return m_directory; }
  /// Returns true if enough disk hosts can be reached for a turn to count as
  /// stored.
  auto available() const -> bool;

  /// Reads a turn and all that it continues from; responds within about a
  /// second.
  auto Read(const HistoryReadRequest& request, ReadCallback respond) -> void;
  /// Stores a turn. @p stored is called once the turn counts as stored; it may
  /// never be, so that the caller has to enforce a deadline.
  auto Store(TurnRecord record, StoredCallback stored) -> void;
  /// Removes a turn whose response did not reach its caller.
  auto Withdraw(const TurnRecord& record) -> void;
  /// Remembers the history up to a turn that was stored and answered.
  auto Remember(const RequestId& turn, HistoryText text) -> void {
    m_cache.Put(turn, std::move(text));
  }
  /// Sends turns to replicas that lack them; call several times per second.
  auto Tick(TimePoint now) -> void;

 private:
  struct PendingRead;
  struct PendingWrite;

  auto AskNext(const std::shared_ptr<PendingRead>& read) -> void;
  auto AskAll(const std::shared_ptr<PendingRead>& read) -> void;
  auto ArmHedge(const std::shared_ptr<PendingRead>& read) -> void;
  auto OnReadReply(const std::shared_ptr<PendingRead>& read,
                   const HostId& host,
                   const Result<TurnReadResponse>& reply) -> void;
  auto FinishRead(const std::shared_ptr<PendingRead>& read,
                  HistoryOutcome outcome) -> void;
  auto SendToReplicas(const std::shared_ptr<PendingWrite>& write) -> void;
  auto SendToReplica(const std::shared_ptr<PendingWrite>& write,
                     const ReplicaHost& host,
                     TimePoint now) -> void;
  /// Sends the turn's substitutes to hosts that stored it before they were
  /// chosen.
  auto SendSubstitutes(const std::shared_ptr<PendingWrite>& write,
                       TimePoint now) -> void;
  auto OnWriteReply(const std::shared_ptr<PendingWrite>& write,
                    const HostId& host,
                    std::size_t substitutes,
                    bool stored) -> void;
  auto CheckWritten(const std::shared_ptr<PendingWrite>& write, TimePoint now)
      -> void;
  auto IsOver(const PendingWrite& write, TimePoint now) const -> bool;
  /// The disk hosts as seen by this host's calls.
  /// @param failing  Those that are taken not to answer.
  auto View(std::set<HostId> failing) const -> ReplicaView;
  auto Rule() const -> CopyRule;

  EntryContext& m_context;
  ReplicaDirectory m_directory;
  HistoryCache m_cache;
  std::list<std::shared_ptr<PendingWrite>> m_writes;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_HISTORY_CLIENT_H_
