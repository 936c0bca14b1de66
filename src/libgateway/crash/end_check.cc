#include "crash/end_check.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "dotterelshed/log_events.h"
#include "dotterelshed/steady_time.h"
#include "dotterelshed/tcp_connector.h"

namespace dotterelshed {

namespace {

/// Delays after the loss, and after a first check that showed nothing: the
/// sockets of a process that ends aren't all closed at once.
constexpr Duration kFirstDelay = std::chrono::milliseconds(50);
constexpr Duration kSecondDelay = std::chrono::milliseconds(250);
constexpr int kMaxRounds = 2;

/// Returns another endpoint of the same failure domain; nothing if there is
/// none.
auto FindNeighbour(EntryContext& context, const EndpointEntry& entry)
    -> const EndpointEntry* {
  std::vector<const EndpointEntry*> neighbours;
  for (const auto& [id, other] : context.m_directory.m_entries) {
    if (id != entry.m_id && other.m_domain == entry.m_domain &&
        !other.m_leaving && !context.m_checked_for_end.contains(id)) {
      neighbours.push_back(&other);
    }
  }
  if (neighbours.empty()) {
    return nullptr;
  }
  const auto count = static_cast<double>(neighbours.size());
  return neighbours.at(
      static_cast<std::size_t>(context.RandomFraction() * count));
}

/// Outcome of connecting to an endpoint.
enum class Outcome { kReached, kRefused, kUnknown };

class EndCheck : public std::enable_shared_from_this<EndCheck> {
 public:
  EndCheck(EntryContext& context, EndpointId endpoint)
      : m_context(context),
        m_endpoint(std::move(endpoint)),
        m_lost_at(SteadyTime()),
        m_timer(context.m_loop) {}

  /// Connects to the endpoint and to another one after @p delay.
  auto BeginRound(Duration delay) -> void {
    m_timer.expires_after(delay);
    m_timer.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error) {
            self->RunRound();
          }
        });
  }

 private:
  auto RunRound() -> void {
    const auto* entry = FindEndpoint(m_context.m_directory, m_endpoint);
    const auto* neighbour =
        entry == nullptr ? nullptr : FindNeighbour(m_context, *entry);
    // Without an entry the end is known, or it left as planned.
    if (neighbour == nullptr || entry->m_leaving) {
      End();
      return;
    }
    const auto address = ParseTcpAddress(entry->m_address);
    const auto other_address = ParseTcpAddress(neighbour->m_address);
    if (!address || !other_address) {
      End();
      return;
    }
    ++m_rounds;
    m_open = 2;
    m_neighbour = neighbour->m_id;
    Connect(*address, [this](Outcome outcome) {
      m_refused = outcome == Outcome::kRefused;
    });
    Connect(*other_address, [this](Outcome outcome) {
      m_neighbour_reached = outcome == Outcome::kReached;
    });
  }

  auto Connect(const TcpAddress& address, std::function<void(Outcome)> take)
      -> void {
    const auto connector = std::make_shared<TcpConnector>(m_context.m_loop);
    connector->Connect(
        address, {},
        [self = shared_from_this(), connector = connector.get(),
         take = std::move(take)](const std::optional<TcpSocket>& socket) {
          take(socket                 ? Outcome::kReached
               : connector->refused() ? Outcome::kRefused
                                      : Outcome::kUnknown);
          self->OnConnected();
        });
  }

  auto OnConnected() -> void {
    if (--m_open > 0) {
      return;
    }
    if (m_refused && m_neighbour_reached) {
      NoteEnd();
    } else if (m_rounds < kMaxRounds) {
      BeginRound(kSecondDelay);
    } else {
      End();
    }
  }

  auto NoteEnd() -> void {
    LogEvent(LogEventId::kEndpointEndFound,
             {{"endpoint", m_endpoint.value()},
              {"neighbour", m_neighbour.value()},
              {"lost_ms", FormatMs(SteadyTime() - m_lost_at)}});
    NoteEndpointEnded(m_context.m_crash_ledger, m_endpoint, SteadyTime());
    End();
  }

  auto End() -> void { m_context.m_checked_for_end.erase(m_endpoint); }

  EntryContext& m_context;
  EndpointId m_endpoint;
  EndpointId m_neighbour;
  TimePoint m_lost_at;
  boost::asio::steady_timer m_timer;
  int m_rounds = 0;
  /// Connections of this round that are being made.
  int m_open = 0;
  bool m_refused = false;
  bool m_neighbour_reached = false;
};

}  // namespace

auto CheckForEnd(EntryContext& context, const EndpointId& endpoint) -> void {
  if (context.m_checked_for_end.insert(endpoint).second) {
    std::make_shared<EndCheck>(context, endpoint)->BeginRound(kFirstDelay);
  }
}

}  // namespace dotterelshed
