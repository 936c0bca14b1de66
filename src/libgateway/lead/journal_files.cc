#include "lead/journal_files.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

#include "dotterelshed/byte_text.h"
#include "dotterelshed/log_events.h"

namespace dotterelshed {

namespace {

namespace fs = std::filesystem;

constexpr std::string_view kSuffix = ".journal";

auto DiskError(const std::string& file) -> tl::unexpected<Error> {
  return Fail(ErrorCode::kUnavailable, "cannot be written", file);
}

auto SyncFolder(const std::string& folder) -> void {
  const auto descriptor = open(folder.c_str(), O_RDONLY | O_DIRECTORY);
  if (descriptor >= 0) {
    fsync(descriptor);
    close(descriptor);
  }
}

/// Replaces a file atomically: after a power failure it is either the old or
/// the new one.
auto ReplaceFile(const std::string& folder,
                 const std::string& name,
                 const std::string& text) -> Status {
  const auto file = folder + "/" + name;
  const auto fresh = file + ".new";
  const auto descriptor =
      open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
  if (descriptor < 0) {
    return DiskError(fresh);
  }
  const auto written = write(descriptor, text.data(), text.size());
  const auto whole =
      written == static_cast<ssize_t>(text.size()) && fsync(descriptor) == 0;
  close(descriptor);
  if (!whole || rename(fresh.c_str(), file.c_str()) != 0) {
    return DiskError(file);
  }
  SyncFolder(folder);
  return {};
}

auto FileName(const DomainId& domain) -> std::string {
  return EscapePathPart(domain.value()) + std::string(kSuffix);
}

/// Earlier versions named the file of some domains differently, so that there
/// may be two.
auto TakeNewer(JournalFiles& files, const JournalEntry& entry) -> void {
  const auto order = [](const JournalEntry& one) {
    return std::pair(one.m_claim, one.m_ledger.m_write);
  };
  const auto [known, is_new] =
      files.m_entries.try_emplace(entry.m_domain, entry);
  if (!is_new && order(known->second) < order(entry)) {
    known->second = entry;
  }
  files.m_fences[entry.m_domain] = known->second.m_claim;
}

}  // namespace

auto OpenJournal(std::string folder) -> JournalFiles {
  JournalFiles files;
  files.m_folder = std::move(folder);
  std::error_code error;
  fs::create_directories(files.m_folder, error);
  for (const auto& file : fs::directory_iterator(files.m_folder, error)) {
    if (file.path().extension() != kSuffix) {
      continue;
    }
    std::ifstream in(file.path());
    const std::string text((std::istreambuf_iterator<char>(in)), {});
    const auto entry = DecodeJournalEntry(text);
    if (!entry) {
      LogEvent(LogEventId::kJournalFailed,
               {{"file", file.path().filename().string()},
                {"reason", entry.error().m_message}});
      continue;
    }
    TakeNewer(files, *entry);
  }
  return files;
}

auto WriteJournal(JournalFiles& files, const JournalEntry& entry) -> Status {
  auto& fence = files.m_fences[entry.m_domain];
  if (entry.m_claim < fence) {
    return Fail(ErrorCode::kConflict,
                "entry was read or written by a newer lead",
                entry.m_domain.value());
  }
  auto written = ReplaceFile(files.m_folder, FileName(entry.m_domain),
                             EncodeJournalEntry(entry));
  if (written) {
    fence = entry.m_claim;
    files.m_entries[entry.m_domain] = entry;
  }
  return written;
}

auto ReadJournal(JournalFiles& files,
                 const DomainId& domain,
                 ResourceVersion claim) -> Result<JournalEntry> {
  auto& fence = files.m_fences[domain];
  fence = std::max(fence, claim);
  const auto found = files.m_entries.find(domain);
  if (found == files.m_entries.end()) {
    return Fail(ErrorCode::kNotFound, "no journal entry", domain.value());
  }
  return found->second;
}

}  // namespace dotterelshed
