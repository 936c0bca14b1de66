#ifndef DOTTERELSHED_STREAM_ORIGIN_CLIENT_H_
#define DOTTERELSHED_STREAM_ORIGIN_CLIENT_H_

#include <functional>
#include <memory>
#include <optional>

#include "dotterelshed/stream_origins.h"
#include "entry_context.h"
#include "history/replica_directory.h"
#include "stream/stream_messages.h"

/// @file
/// An entry host's side of stream origins: keeps the software versions at which
/// its own streams began, tells disk hosts of them, which outlive a loss of all
/// entry hosts, and asks them about streams of other hosts.

namespace dotterelshed {

class StreamOriginClient {
 public:
  /// @p software is nothing if no host that answered knows the stream.
  using Respond =
      std::function<void(const std::optional<SoftwareVersion>& software)>;

  StreamOriginClient(EntryContext& context, ReplicaDirectory& disk_hosts);

  /// A stream has begun; to be called before its first event is passed on.
  auto NoteBegun(const StreamBegun& begun) -> void;
  /// Finds the version at which a stream began: at once if it was here, else
  /// within kAskTimeout.
  auto Find(const RequestId& attempt, Respond respond) -> void;

 private:
  static constexpr Duration kAskTimeout = std::chrono::milliseconds(200);

  /// A question to all disk hosts.
  struct PendingFind {
    RequestId m_attempt;
    Respond m_respond;
    TimePoint m_since;
    int m_asked = 0;
    int m_answered = 0;
    /// Hosts that have neither answered nor failed.
    int m_open = 0;
  };

  auto OnAnswer(const std::shared_ptr<PendingFind>& find,
                const Result<std::string>& reply) -> void;
  auto Finish(const std::shared_ptr<PendingFind>& find,
              const std::optional<SoftwareVersion>& software) -> void;

  EntryContext& m_context;
  ReplicaDirectory& m_disk_hosts;
  StreamOrigins m_own;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_STREAM_ORIGIN_CLIENT_H_
