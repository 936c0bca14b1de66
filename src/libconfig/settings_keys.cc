#include <array>

#include "key_schema.h"

namespace dotterelshed::pvt {

namespace {

constexpr std::int64_t kMicrosPerMs = 1000;
constexpr std::int64_t kMicrosPerS = 1000 * kMicrosPerMs;
constexpr std::int64_t kMicrosPerHour = 3600 * kMicrosPerS;
constexpr std::int64_t kBytesPerKib = 1024;
constexpr std::int64_t kBytesPerGib =
    kBytesPerKib * kBytesPerKib * kBytesPerKib;

constexpr auto kKeys = std::to_array<KeySpec>({
    {.m_path = "host",
     .m_type = ValueType::kName,
     .m_required = true,
     .m_meaning = "Name of this host, unique among all hosts."},
    {.m_path = "domain",
     .m_type = ValueType::kName,
     .m_required = true,
     .m_meaning = "Failure domain that it stands in."},
    {.m_path = "http_address",
     .m_type = ValueType::kAddress,
     .m_default = "127.0.0.1:0",
     .m_meaning = "Where callers and operators reach it; port 0 lets the "
                  "system choose."},
    {.m_path = "peer_address",
     .m_type = ValueType::kAddress,
     .m_default = "127.0.0.1:0",
     .m_meaning = "Where it listens for other hosts."},
    {.m_path = "peer_advertised",
     .m_type = ValueType::kAddress,
     .m_meaning = "Where other hosts reach it, if that is another address "
                  "than the one that it listens on."},
    {.m_path = "platform_address",
     .m_type = ValueType::kAddress,
     .m_required = true,
     .m_meaning = "The platform's object API."},
    {.m_path = "seed_peers",
     .m_type = ValueType::kAddressList,
     .m_default = "[]",
     .m_meaning = "Peer addresses to ask for configuration when the platform "
                  "can't be reached at start."},
    {.m_path = "token_secret",
     .m_type = ValueType::kText,
     .m_required = true,
     .m_meaning = "Secret that signs continuation tokens; the same on all "
                  "hosts."},
    {.m_path = "charts_dir",
     .m_type = ValueType::kText,
     .m_required = true,
     .m_meaning = "Directory with the state charts."},
    {.m_path = "data_dir",
     .m_type = ValueType::kText,
     .m_meaning = "Data directory of a host with a disk; leave out on the "
                  "others."},
    {.m_path = "ready_file",
     .m_type = ValueType::kText,
     .m_meaning = "File that gets the real addresses once the host listens."},
    {.m_path = "trace_file",
     .m_type = ValueType::kText,
     .m_meaning = "File that traffic is recorded to, in the replay's format."},
    {.m_path = "log_level",
     .m_type = ValueType::kChoice,
     .m_default = "info",
     .m_choices = "debug|info|warning|error",
     .m_meaning = "Least level of events that are logged."},
    {.m_path = "heartbeat_interval",
     .m_type = ValueType::kDuration,
     .m_default = "500ms",
     .m_min = 10 * kMicrosPerMs,
     .m_max = 60 * kMicrosPerS,
     .m_meaning = "Time between heartbeats; the same on all hosts."},
    {.m_path = "missed_heartbeats",
     .m_type = ValueType::kCount,
     .m_default = "4",
     .m_min = 2,
     .m_max = 100,
     .m_meaning = "Missed heartbeats after which a host counts as down."},
    {.m_path = "tick",
     .m_type = ValueType::kDuration,
     .m_default = "20ms",
     .m_min = kMicrosPerMs,
     .m_max = kMicrosPerS,
     .m_meaning = "Longest time between two looks at timers."},
    {.m_path = "drain_timeout",
     .m_type = ValueType::kDuration,
     .m_default = "30s",
     .m_min = 100 * kMicrosPerMs,
     .m_max = 24 * kMicrosPerHour,
     .m_meaning = "Longest planned stop; what is open then is cut off."},
    {.m_path = "max_open_requests",
     .m_type = ValueType::kCount,
     .m_default = "512",
     .m_min = 1,
     .m_max = 100000,
     .m_meaning = "Open requests of callers; each holds a thread. More are "
                  "refused with 503."},
    {.m_path = "max_programs",
     .m_type = ValueType::kCount,
     .m_default = "100000",
     .m_min = 1,
     .m_max = 10000000,
     .m_meaning = "Programs under way that this host keeps."},
    {.m_path = "max_stored_answers",
     .m_type = ValueType::kCount,
     .m_default = "64",
     .m_min = 1,
     .m_max = 100000,
     .m_meaning = "Answers kept for each program, for callers that ask again; "
                  "older turns keep their digest only."},
    {.m_path = "max_body",
     .m_type = ValueType::kBytes,
     .m_default = "4MiB",
     .m_min = kBytesPerKib,
     .m_max = kBytesPerGib,
     .m_meaning = "Largest request body; larger ones are refused with 413."},
});

}  // namespace

auto SettingsKeys() -> KeyTable {
  return kKeys;
}

}  // namespace dotterelshed::pvt
