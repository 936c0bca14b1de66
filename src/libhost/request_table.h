#ifndef DOTTERELSHED_LIBHOST_REQUEST_TABLE_H_
#define DOTTERELSHED_LIBHOST_REQUEST_TABLE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <mutex>

#include "dotterelshed/ids.h"
#include "request_entry.h"

/// @file
/// All requests that this host knows by id.

namespace dotterelshed::pvt {

using RequestEntryPtr = std::shared_ptr<RequestEntry>;

struct RequestTableOptions {
  /// Finished requests kept, so that they can be asked for again.
  std::size_t m_max_finished = 4096;
  std::size_t m_max_finished_bytes = std::size_t{8} * 1024 * 1024;
};

/// Finds or makes the entry of a request. Finished entries are forgotten from
/// the oldest on when a limit is reached; the home's records still answer.
class RequestTable {
 public:
  explicit RequestTable(const RequestTableOptions& options)
      : m_options(options) {}

  struct Opened {
    RequestEntryPtr m_entry;
    /// True when this call made it: the caller has to run the request.
    bool m_created = false;
  };
  auto Open(const RequestId& request, const Digest& content) -> Opened;
  auto Find(const RequestId& request) const -> RequestEntryPtr;

  /// Ends a request. An answer that leaves the request free to be asked again
  /// (not run, or unknown) is given to its readers and not kept.
  auto Finish(const CallAnswer& answer, std::string_view text) -> void;

  /// Ends every open request as unknown, when the process has to stop.
  auto FinishAll(ReasonCode reason) -> void;

  /// Requests without an answer.
  auto OpenCount() const -> std::size_t;

 private:
  auto Trim() -> void;

  const RequestTableOptions m_options;
  mutable std::mutex m_mutex;
  std::map<RequestId, RequestEntryPtr> m_entries;
  std::deque<std::pair<RequestId, std::size_t>> m_finished;
  std::size_t m_finished_bytes = 0;
};

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBHOST_REQUEST_TABLE_H_
