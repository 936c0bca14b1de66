#ifndef DOTTERELSHED_HOST_H_
#define DOTTERELSHED_HOST_H_

#include "dotterelshed/settings.h"

/// @file
/// One host's process.

namespace dotterelshed {

/// Exit codes of RunHost.
enum class HostExit : int {
  kStopped = 0,       ///< Drained; no request was cut off.
  kNotStarted = 1,    ///< An address, chart or file could not be used.
  kDrainTimeout = 3,  ///< The drain timeout passed with requests open.
};

/// Runs a host until SIGTERM or SIGINT, or until an operator drains it.
/// SIGUSR1 writes a state dump to standard output. Call it from a process's
/// first thread, before any other thread runs.
auto RunHost(const Settings& settings) -> HostExit;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_HOST_H_
