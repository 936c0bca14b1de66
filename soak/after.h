#ifndef SOAK_AFTER_H_
#define SOAK_AFTER_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "dotterelshed/byte_stream.h"
#include "dotterelshed/units.h"

namespace dotterelshed::soak {

/// Runs @p step once @p wait is over; nobody can take it back.
template <typename Step>
auto After(EventLoop& loop, Duration wait, Step step) -> void {
  auto timer = std::make_shared<boost::asio::steady_timer>(loop, wait);
  timer->async_wait(
      [timer, step = std::move(step)](
          const boost::system::error_code& /*error*/) mutable { step(); });
}

}  // namespace dotterelshed::soak

#endif  // SOAK_AFTER_H_
