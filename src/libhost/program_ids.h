#ifndef DOTTERELSHED_LIBHOST_PROGRAM_IDS_H_
#define DOTTERELSHED_LIBHOST_PROGRAM_IDS_H_

#include <string>

#include "dotterelshed/ids.h"

/// @file
/// Ids that hosts give out. A program's id is "<domain>.<hex>", a sub-agent's
/// is "<root>-<hex>", and a request's is "<program>:<hex>", so that any host
/// finds the home of each without asking.

namespace dotterelshed::pvt {

/// 16 hex digits from the system's random device.
auto RandomHex() -> std::string;

auto NewProgramId(const DomainId& domain, const std::string& hex) -> ProgramId;
auto NewSubProgramId(const ProgramId& parent, const std::string& hex)
    -> ProgramId;
auto NewRequestId(const ProgramId& program) -> RequestId;

/// Root of a program's tree; the program itself if it is no sub-agent.
auto RootOf(const ProgramId& program) -> ProgramId;

/// Program of a request id that a host gave out; empty for any other id.
auto ProgramOf(const RequestId& request) -> ProgramId;

/// Whether @p program has the form of an id that a host gave out.
auto IsProgramId(const ProgramId& program) -> bool;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBHOST_PROGRAM_IDS_H_
