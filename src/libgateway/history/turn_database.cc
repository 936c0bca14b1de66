#include "history/turn_database.h"

#include <fcntl.h>
#include <sqlite3.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <filesystem>
#include <map>
#include <set>
#include <system_error>
#include <utility>

#include "dotterelshed/log_events.h"

namespace dotterelshed {

namespace {

namespace fs = std::filesystem;

constexpr const char* kFileName = "turns.db";
/// The write-ahead log is flushed on each commit, and its index is kept in the
/// process, since no other process opens the database.
constexpr const char* kSetUp =
    "PRAGMA locking_mode = EXCLUSIVE;"
    "PRAGMA journal_mode = WAL;"
    "PRAGMA synchronous = FULL;"
    "PRAGMA temp_store = MEMORY;"
    "PRAGMA cache_size = -2000;"
    "CREATE TABLE IF NOT EXISTS turns (sequence INTEGER PRIMARY KEY,"
    " turn TEXT, previous TEXT, program TEXT, text BLOB, expires_ms INTEGER);"
    "CREATE TABLE IF NOT EXISTS substitutes (sequence INTEGER, host TEXT,"
    " PRIMARY KEY (sequence, host)) WITHOUT ROWID;"
    "CREATE TABLE IF NOT EXISTS origin (intact_since_ms INTEGER);";
constexpr const char* kInsert =
    "INSERT OR REPLACE INTO turns VALUES (?, ?, ?, ?, ?, ?)";
constexpr const char* kInsertSubstitute =
    "INSERT OR REPLACE INTO substitutes VALUES (?, ?)";
constexpr const char* kDelete = "DELETE FROM turns WHERE sequence = ?";
constexpr const char* kDeleteSubstitutes =
    "DELETE FROM substitutes WHERE sequence = ?";
constexpr const char* kSelect =
    "SELECT sequence, turn, previous, program, text, expires_ms FROM turns"
    " ORDER BY sequence";
constexpr const char* kSelectSubstitutes =
    "SELECT sequence, host FROM substitutes";

struct StatementCloser {
  auto operator()(sqlite3_stmt* statement) const -> void {
    sqlite3_finalize(statement);
  }
};
using Statement = std::unique_ptr<sqlite3_stmt, StatementCloser>;

auto UnixMs() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

auto DatabaseError(sqlite3* database) -> tl::unexpected<Error> {
  return Fail(
      ErrorCode::kUnavailable,
      database == nullptr ? "cannot be opened" : sqlite3_errmsg(database),
      kFileName);
}

auto Execute(sqlite3* database, const char* sql) -> Status {
  if (sqlite3_exec(database, sql, nullptr, nullptr, nullptr) != SQLITE_OK) {
    return DatabaseError(database);
  }
  return {};
}

auto Prepare(sqlite3* database, const char* sql) -> Result<Statement> {
  sqlite3_stmt* statement = nullptr;
  if (sqlite3_prepare_v2(database, sql, -1, &statement, nullptr) != SQLITE_OK) {
    return DatabaseError(database);
  }
  return Statement(statement);
}

/// Runs a statement that returns no rows, and resets it.
auto Run(sqlite3* database, sqlite3_stmt* statement) -> Status {
  const auto code = sqlite3_step(statement);
  sqlite3_reset(statement);
  if (code != SQLITE_DONE) {
    return DatabaseError(database);
  }
  return {};
}

auto BindText(sqlite3_stmt* statement, int column, const std::string& text)
    -> void {
  sqlite3_bind_text(statement, column, text.data(),
                    static_cast<int>(text.size()), SQLITE_STATIC);
}

auto ColumnBytes(sqlite3_stmt* statement, int column) -> std::string {
  const auto* bytes = sqlite3_column_blob(statement, column);
  const auto size = sqlite3_column_bytes(statement, column);
  return {static_cast<const char*>(bytes), static_cast<std::size_t>(size)};
}

auto Insert(sqlite3* database, sqlite3_stmt* statement, const StoredTurn& turn)
    -> Status {
  const auto& record = turn.m_record;
  const auto lifetime_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(record.m_lifetime)
          .count();
  sqlite3_bind_int64(statement, 1, static_cast<sqlite3_int64>(turn.m_sequence));
  BindText(statement, 2, record.m_turn.value());
  BindText(statement, 3, record.m_previous.value());
  BindText(statement, 4, record.m_program.value());
  sqlite3_bind_blob(statement, 5, record.m_text.data(),
                    static_cast<int>(record.m_text.size()), SQLITE_STATIC);
  sqlite3_bind_int64(statement, 6, UnixMs() + lifetime_ms);
  return Run(database, statement);
}

auto InsertSubstitutes(sqlite3* database,
                       sqlite3_stmt* statement,
                       const StoredTurn& turn) -> Status {
  for (const auto& host : turn.m_record.m_substitutes) {
    sqlite3_bind_int64(statement, 1,
                       static_cast<sqlite3_int64>(turn.m_sequence));
    BindText(statement, 2, host.value());
    auto stored = Run(database, statement);
    if (!stored) {
      return stored;
    }
  }
  return {};
}

auto DeleteRow(sqlite3* database,
               sqlite3_stmt* statement,
               std::uint64_t sequence) -> Status {
  sqlite3_bind_int64(statement, 1, static_cast<sqlite3_int64>(sequence));
  return Run(database, statement);
}

/// Reads the hosts that store turns in place of others, by the turns'
/// sequence numbers.
auto ReadSubstitutes(sqlite3* database)
    -> Result<std::map<std::uint64_t, std::set<HostId>>> {
  const auto select = Prepare(database, kSelectSubstitutes);
  if (!select) {
    return tl::unexpected(select.error());
  }
  std::map<std::uint64_t, std::set<HostId>> substitutes;
  auto code = SQLITE_ROW;
  while ((code = sqlite3_step(select->get())) == SQLITE_ROW) {
    const auto sequence = sqlite3_column_int64(select->get(), 0);
    substitutes[static_cast<std::uint64_t>(sequence)].insert(
        HostId(ColumnBytes(select->get(), 1)));
  }
  if (code != SQLITE_DONE) {
    return DatabaseError(database);
  }
  return substitutes;
}

auto ReadTurn(sqlite3_stmt* statement, std::int64_t now_ms) -> StoredTurn {
  const auto expires_ms = sqlite3_column_int64(statement, 5);
  const auto left_ms = std::max<std::int64_t>(expires_ms - now_ms, 0);
  return {.m_sequence =
              static_cast<std::uint64_t>(sqlite3_column_int64(statement, 0)),
          .m_record = {.m_turn = RequestId(ColumnBytes(statement, 1)),
                       .m_previous = RequestId(ColumnBytes(statement, 2)),
                       .m_program = ProgramId(ColumnBytes(statement, 3)),
                       .m_text = ColumnBytes(statement, 4),
                       .m_lifetime = std::chrono::milliseconds(left_ms)}};
}

/// A new file is only found after a power failure if its folder was flushed.
auto FlushFolder(const std::string& folder) -> Status {
  const auto descriptor = open(folder.c_str(), O_RDONLY | O_DIRECTORY);
  const auto flushed = descriptor >= 0 && fsync(descriptor) == 0;
  if (descriptor >= 0) {
    close(descriptor);
  }
  if (!flushed) {
    return Fail(ErrorCode::kUnavailable, "cannot be flushed", folder);
  }
  return {};
}

auto LogDiskFailure(const Error& error) -> void {
  LogEvent(LogEventId::kReplicaDiskFailed,
           {{"reason", error.m_message}, {"outcome", "refused"}});
}

}  // namespace

auto TurnDatabase::DatabaseCloser::operator()(sqlite3* database) const -> void {
  sqlite3_close(database);
}

TurnDatabase::TurnDatabase(EventLoop& loop, TurnDatabaseOptions options)
    : m_loop(loop), m_options(std::move(options)), m_disk_thread(1) {}

TurnDatabase::~TurnDatabase() {
  Close();
}

auto TurnDatabase::Close() -> void {
  m_disk_thread.join();
  m_writing = true;
  if (m_database && !m_waiting.empty()) {
    const auto status = WriteBatch(m_waiting);
    if (!status) {
      LogDiskFailure(status.error());
    }
  }
  m_waiting = {};
  m_database.reset();
}

auto TurnDatabase::Open() -> Result<TurnDatabaseContents> {
  std::error_code error;
  fs::create_directories(m_options.m_folder, error);
  auto contents = OpenDatabase().and_then([this] { return ReadContents(); });
  if (contents || !m_database) {
    return contents;
  }
  const auto code = sqlite3_errcode(m_database.get());
  const auto damaged = code == SQLITE_CORRUPT || code == SQLITE_NOTADB;
  m_database.reset();
  if (!damaged) {
    return contents;
  }
  LogEvent(LogEventId::kReplicaDiskFailed,
           {{"reason", contents.error().m_message}, {"outcome", "replaced"}});
  RemoveFiles();
  m_options.m_first_start = false;
  return OpenDatabase().and_then([this] { return ReadContents(); });
}

auto TurnDatabase::OpenDatabase() -> Status {
  const auto file = m_options.m_folder + "/" + kFileName;
  sqlite3* database = nullptr;
  const auto code = sqlite3_open_v2(
      file.c_str(), &database,
      SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_FULLMUTEX,
      nullptr);
  m_database.reset(database);
  if (code != SQLITE_OK) {
    return DatabaseError(database);
  }
  return Execute(database, kSetUp).and_then([this] {
    return FlushFolder(m_options.m_folder);
  });
}

auto TurnDatabase::RemoveFiles() const -> void {
  for (const auto* suffix : {"", "-wal", "-shm", "-journal"}) {
    std::error_code error;
    fs::remove(m_options.m_folder + "/" + kFileName + suffix, error);
  }
}

auto TurnDatabase::ReadOrigin(std::int64_t now_ms) -> Result<std::int64_t> {
  auto* database = m_database.get();
  const auto origin = Prepare(database, "SELECT intact_since_ms FROM origin");
  if (!origin) {
    return tl::unexpected(origin.error());
  }
  const auto code = sqlite3_step(origin->get());
  if (code == SQLITE_ROW) {
    return sqlite3_column_int64(origin->get(), 0);
  }
  if (code != SQLITE_DONE) {
    return DatabaseError(database);
  }
  const auto intact_since_ms = m_options.m_first_start ? 0 : now_ms;
  const auto sql =
      "INSERT INTO origin VALUES (" + std::to_string(intact_since_ms) + ")";
  const auto stored = Execute(database, sql.c_str());
  if (!stored) {
    return tl::unexpected(stored.error());
  }
  return intact_since_ms;
}

auto TurnDatabase::ReadContents() -> Result<TurnDatabaseContents> {
  auto* database = m_database.get();
  const auto now_ms = UnixMs();
  const auto intact_since_ms = ReadOrigin(now_ms);
  if (!intact_since_ms) {
    return tl::unexpected(intact_since_ms.error());
  }
  TurnDatabaseContents contents;
  contents.m_intact_for = std::chrono::milliseconds(
      std::max<std::int64_t>(now_ms - *intact_since_ms, 0));
  const auto select = Prepare(database, kSelect);
  if (!select) {
    return tl::unexpected(select.error());
  }
  auto substitutes = ReadSubstitutes(database);
  if (!substitutes) {
    return tl::unexpected(substitutes.error());
  }
  auto code = SQLITE_ROW;
  while ((code = sqlite3_step(select->get())) == SQLITE_ROW) {
    auto turn = ReadTurn(select->get(), now_ms);
    const auto found = substitutes->find(turn.m_sequence);
    if (found != substitutes->end()) {
      turn.m_record.m_substitutes = std::move(found->second);
    }
    contents.m_turns.push_back(std::move(turn));
  }
  if (code != SQLITE_DONE) {
    return DatabaseError(database);
  }
  return contents;
}

auto TurnDatabase::Store(StoredTurn turn, StoredCallback done) -> void {
  m_waiting.m_added.push_back(std::move(turn));
  m_waiting.m_done.push_back(std::move(done));
  WriteNextBatch();
}

auto TurnDatabase::Remove(std::vector<std::uint64_t> sequences) -> void {
  auto& removed = m_waiting.m_removed;
  removed.insert(removed.end(), sequences.begin(), sequences.end());
  WriteNextBatch();
}

auto TurnDatabase::WriteNextBatch() -> void {
  if (m_writing || m_waiting.empty()) {
    return;
  }
  m_writing = true;
  auto batch = std::make_shared<const Batch>(std::exchange(m_waiting, {}));
  boost::asio::post(m_disk_thread, [this, batch] {
    const auto status = WriteBatch(*batch);
    boost::asio::post(m_loop, [this, batch, status] {
      m_writing = false;
      if (!status && batch->m_done.empty()) {
        LogDiskFailure(status.error());
      }
      for (const auto& done : batch->m_done) {
        done(status);
      }
      WriteNextBatch();
    });
  });
}

auto TurnDatabase::WriteBatch(const Batch& batch) -> Status {
  auto* database = m_database.get();
  if (database == nullptr) {
    return DatabaseError(database);
  }
  auto status =
      Execute(database, "BEGIN IMMEDIATE")
          .and_then([&] { return WriteChanges(database, batch); })
          .and_then([database] { return Execute(database, "COMMIT"); });
  if (!status && sqlite3_get_autocommit(database) == 0) {
    const auto undone = Execute(database, "ROLLBACK");
    if (!undone) {
      LogDiskFailure(undone.error());
    }
  }
  return status;
}

auto TurnDatabase::WriteChanges(sqlite3* database, const Batch& batch)
    -> Status {
  const auto insert = Prepare(database, kInsert);
  const auto insert_substitute = Prepare(database, kInsertSubstitute);
  const auto remove = Prepare(database, kDelete);
  const auto remove_substitutes = Prepare(database, kDeleteSubstitutes);
  if (!insert || !insert_substitute || !remove || !remove_substitutes) {
    return DatabaseError(database);
  }
  for (const auto& turn : batch.m_added) {
    auto stored = Insert(database, insert->get(), turn).and_then([&] {
      return InsertSubstitutes(database, insert_substitute->get(), turn);
    });
    if (!stored) {
      return stored;
    }
  }
  for (const auto sequence : batch.m_removed) {
    auto removed = DeleteRow(database, remove->get(), sequence).and_then([&] {
      return DeleteRow(database, remove_substitutes->get(), sequence);
    });
    if (!removed) {
      return removed;
    }
  }
  return {};
}

}  // namespace dotterelshed
