#ifndef SOAK_POISON_CALLER_H_
#define SOAK_POISON_CALLER_H_

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "callers.h"

/// @file
/// A caller whose only request ends each endpoint that begins to run it. It
/// sends the request again and again, through any host, under new ids.

namespace dotterelshed::soak {

class PoisonCaller : public std::enable_shared_from_this<PoisonCaller> {
 public:
  PoisonCaller(EventLoop& loop,
               Promises& promises,
               const std::vector<Door>& doors,
               unsigned seed);

  auto Start() -> void { Send(); }
  auto Stop() -> void { m_stopped = true; }

 private:
  struct Open;

  auto Send() -> void;
  auto Exchange(const std::shared_ptr<Open>& call) -> void;
  auto Finish(const std::shared_ptr<Open>& call) -> void;

  EventLoop& m_loop;
  Promises& m_promises;
  const std::vector<Door>& m_doors;
  std::mt19937 m_random;
  CallKind m_kind;
  int m_calls = 0;
  bool m_stopped = false;
};

}  // namespace dotterelshed::soak

#endif  // SOAK_POISON_CALLER_H_
