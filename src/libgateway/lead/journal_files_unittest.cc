#include "lead/journal_files.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace dotterelshed {
namespace {

const DomainId kDomain("z");

struct Folder {
  Folder() {
    char name[] = "/tmp/dotterelshed_journal_XXXXXX";
    m_path = mkdtemp(name);
  }
  ~Folder() { std::filesystem::remove_all(m_path); }
  Folder(const Folder&) = delete;
  auto operator=(const Folder&) -> Folder& = delete;

  std::string m_path;
};

auto MakeEntry(std::int64_t claim, std::int64_t write) -> JournalEntry {
  return {.m_domain = kDomain,
          .m_claim = ResourceVersion(claim),
          .m_ledger = {.m_host = HostId("h"),
                       .m_incarnation = Incarnation(3),
                       .m_write = write,
                       .m_record = {{{ProgramId("p"), Tokens(135)}}}}};
}

TEST_CASE("the newest entry is read after a restart") {
  const Folder folder;
  {
    auto files = OpenJournal(folder.m_path);
    REQUIRE(WriteJournal(files, MakeEntry(5, 1)));
    REQUIRE(WriteJournal(files, MakeEntry(5, 2)));
  }
  auto files = OpenJournal(folder.m_path);
  const auto entry = ReadJournal(files, kDomain, ResourceVersion(5));
  REQUIRE(entry);
  CHECK(entry->m_ledger.m_write == 2);
  CHECK(entry->m_ledger.m_record.m_bounds.at(ProgramId("p")) == Tokens(135));
}

TEST_CASE("writes of a replaced lead are rejected") {
  const Folder folder;
  auto files = OpenJournal(folder.m_path);
  REQUIRE(WriteJournal(files, MakeEntry(5, 1)));
  REQUIRE(ReadJournal(files, kDomain, ResourceVersion(6)));
  CHECK(WriteJournal(files, MakeEntry(5, 2)).error().m_code ==
        ErrorCode::kConflict);
  CHECK(WriteJournal(files, MakeEntry(6, 1)));
}

TEST_CASE("a truncated file loses only its own entry") {
  const Folder folder;
  {
    auto files = OpenJournal(folder.m_path);
    REQUIRE(WriteJournal(files, MakeEntry(5, 1)));
  }
  std::ofstream(folder.m_path + "/other.journal") << "{\"domain\":";
  auto files = OpenJournal(folder.m_path);
  CHECK(files.m_entries.size() == 1);
}

TEST_CASE("a folder that can't be written is an error") {
  auto files = OpenJournal("/dev/null/none");
  CHECK(WriteJournal(files, MakeEntry(1, 1)).error().m_code ==
        ErrorCode::kUnavailable);
}

TEST_CASE("a domain's name stays within the folder") {
  const Folder folder;
  auto entry = MakeEntry(5, 1);
  entry.m_domain = DomainId(GENERATE("../z", "a/b", "..", "n\xc3\xa9", "%"));
  {
    auto files = OpenJournal(folder.m_path + "/inner");
    REQUIRE(WriteJournal(files, entry));
  }
  CHECK(std::distance(std::filesystem::directory_iterator(folder.m_path),
                      std::filesystem::directory_iterator()) == 1);
  auto files = OpenJournal(folder.m_path + "/inner");
  CHECK(ReadJournal(files, entry.m_domain, ResourceVersion(5)));
}

TEST_CASE("of two files of a domain the newer entry is used") {
  const Folder folder;
  const auto older_claim = GENERATE(4, 5);
  {
    auto files = OpenJournal(folder.m_path);
    REQUIRE(WriteJournal(files, MakeEntry(older_claim, 1)));
    std::filesystem::rename(folder.m_path + "/z.journal",
                            folder.m_path + "/0.journal");
    REQUIRE(WriteJournal(files, MakeEntry(5, 2)));
    std::filesystem::copy(folder.m_path + "/0.journal",
                          folder.m_path + "/zz.journal");
  }
  auto files = OpenJournal(folder.m_path);
  CHECK(ReadJournal(files, kDomain, ResourceVersion(5))->m_ledger.m_write == 2);
}

}  // namespace
}  // namespace dotterelshed
