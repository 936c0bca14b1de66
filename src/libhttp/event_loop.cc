#include "dotterelshed/event_loop.h"

#include <exception>
#include <string>

#include "dotterelshed/log_events.h"

namespace dotterelshed {

auto RunGuarded(std::string_view place, const std::function<void()>& work)
    -> bool {
  try {
    work();
    return true;
  } catch (const std::exception& error) {
    LogEvent(LogEventId::kHandlerFailed,
             {{"place", std::string(place)}, {"reason", error.what()}});
    return false;
  }
}

auto RunEventLoop(EventLoop& loop) -> void {
  while (!RunGuarded("event_loop", [&loop] { loop.run(); })) {
  }
}

}  // namespace dotterelshed
