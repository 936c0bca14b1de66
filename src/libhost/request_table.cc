#include "request_table.h"

#include <utility>
#include <vector>

namespace dotterelshed::pvt {

namespace {

/// Whether the same request may be run, or looked up at its home, again.
auto MayAskAgain(const CallAnswer& answer) -> bool {
  return answer.m_outcome == OutcomeKind::kNotRun ||
         answer.m_outcome == OutcomeKind::kUnknown;
}

}  // namespace

auto RequestTable::Open(const RequestId& request, const Digest& content)
    -> Opened {
  const std::lock_guard lock(m_mutex);
  auto& entry = m_entries[request];
  const auto created = entry == nullptr;
  if (created) {
    entry = std::make_shared<RequestEntry>(content);
  }
  return {.m_entry = entry, .m_created = created};
}

auto RequestTable::Find(const RequestId& request) const -> RequestEntryPtr {
  const std::lock_guard lock(m_mutex);
  const auto found = m_entries.find(request);
  return found == m_entries.end() ? nullptr : found->second;
}

auto RequestTable::Finish(const CallAnswer& answer, std::string_view text)
    -> void {
  RequestEntryPtr entry;
  {
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(answer.m_request);
    if (found == m_entries.end() || found->second->finished()) {
      return;
    }
    entry = found->second;
    if (MayAskAgain(answer)) {
      m_entries.erase(found);
    }
  }
  entry->Finish(answer, text);
  if (MayAskAgain(answer)) {
    return;
  }
  const std::lock_guard lock(m_mutex);
  const auto size = entry->size();
  m_finished.emplace_back(answer.m_request, size);
  m_finished_bytes += size;
  Trim();
}

auto RequestTable::FinishAll(ReasonCode reason) -> void {
  std::vector<RequestId> open;
  {
    const std::lock_guard lock(m_mutex);
    for (const auto& [request, entry] : m_entries) {
      if (!entry->finished()) {
        open.push_back(request);
      }
    }
  }
  for (const auto& request : open) {
    Finish({.m_request = request,
            .m_outcome = OutcomeKind::kUnknown,
            .m_reason = reason,
            .m_message = "the host stopped before the answer came"},
           "");
  }
}

auto RequestTable::OpenCount() const -> std::size_t {
  const std::lock_guard lock(m_mutex);
  return m_entries.size() - m_finished.size();
}

auto RequestTable::Trim() -> void {
  while (m_finished.size() > m_options.m_max_finished ||
         m_finished_bytes > m_options.m_max_finished_bytes) {
    const auto& [request, size] = m_finished.front();
    m_entries.erase(request);
    m_finished_bytes -= size;
    m_finished.pop_front();
  }
}

}  // namespace dotterelshed::pvt
