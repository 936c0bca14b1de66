#ifndef DOTTERELSHED_TURN_DATABASE_H_
#define DOTTERELSHED_TURN_DATABASE_H_

#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dotterelshed/byte_stream.h"
#include "dotterelshed/error.h"
#include "dotterelshed/turn_record.h"

struct sqlite3;

/// @file
/// Turns on a disk host's disk, in an SQLite database. All changes that arrive
/// while the disk is busy are written by the next transaction together, so that
/// a slow disk makes batches larger and not the queue longer. The disk has a
/// thread of its own; the event loop never waits for it.

namespace dotterelshed {

struct StoredTurn {
  /// Position in the order of arrival, unique on this disk.
  std::uint64_t m_sequence = 0;
  TurnRecord m_record;
};

struct TurnDatabaseContents {
  /// In the order of their sequence numbers, with the lifetimes that are left.
  std::vector<StoredTurn> m_turns;
  /// Time for which this disk has not lost any turn.
  Duration m_intact_for{0};
};

struct TurnDatabaseOptions {
  std::string m_folder;
  /// An absent database means that nothing has been stored yet, and not that
  /// the disk was replaced.
  bool m_first_start = false;
};

class TurnDatabase {
 public:
  using StoredCallback = std::function<void(const Status&)>;

  TurnDatabase(EventLoop& loop, TurnDatabaseOptions options);
  ~TurnDatabase();
  TurnDatabase(const TurnDatabase&) = delete;
  auto operator=(const TurnDatabase&) -> TurnDatabase& = delete;

  /// Opens the database and reads it; a damaged one is replaced by an empty
  /// one. Waits for the disk. Errors: kUnavailable if the disk refuses.
  auto Open() -> Result<TurnDatabaseContents>;
  /// Writes what is waiting and closes the files.
  auto Close() -> void;
  /// Stores a turn; @p done runs on the event loop when it is on the disk.
  auto Store(StoredTurn turn, StoredCallback done) -> void;
  /// Removes turns; they may come back if the power fails soon after.
  auto Remove(std::vector<std::uint64_t> sequences) -> void;

 private:
  struct Batch {
    std::vector<StoredTurn> m_added;
    std::vector<std::uint64_t> m_removed;
    std::vector<StoredCallback> m_done;
    auto empty() const -> bool { return m_added.empty() && m_removed.empty(); }
  };
  struct DatabaseCloser {
    auto operator()(sqlite3* database) const -> void;
  };

  auto OpenDatabase() -> Status;
  auto RemoveFiles() const -> void;
  /// Returns the Unix time in milliseconds since when no turn was lost, and
  /// records it in a new database.
  auto ReadOrigin(std::int64_t now_ms) -> Result<std::int64_t>;
  auto ReadContents() -> Result<TurnDatabaseContents>;
  auto WriteNextBatch() -> void;
  /// Runs on the disk's thread.
  auto WriteBatch(const Batch& batch) -> Status;
  static auto WriteChanges(sqlite3* database, const Batch& batch) -> Status;

  EventLoop& m_loop;
  TurnDatabaseOptions m_options;
  std::unique_ptr<sqlite3, DatabaseCloser> m_database;
  Batch m_waiting;
  bool m_writing = false;
  /// Ends before the members that its tasks use.
  boost::asio::thread_pool m_disk_thread;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_TURN_DATABASE_H_
