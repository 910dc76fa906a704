// A named POSIX thread that is joined on destruction.
#pragma once

#include <functional>
#include <string>

#include <pthread.h>

namespace mangovalve {

// Owns one POSIX thread. Movable, not copyable.
class Thread
{
public:
  Thread() = default;

  // Starts a thread that runs aBody. The name is shown by debuggers and is cut
  // to 15 characters, the limit of pthread_setname_np. Aborts the process if
  // the system cannot start a thread.
  Thread(const std::string& aName, std::function<void()> aBody);
  ~Thread();

  Thread(Thread&& aOther) noexcept;
  auto operator=(Thread&& aOther) noexcept -> Thread&;
  Thread(const Thread&) = delete;
  auto operator=(const Thread&) -> Thread& = delete;

  // Waits until the thread has ended; no effect without a running thread.
  auto Join() -> void;

private:
  pthread_t mHandle{};
  bool mJoinable = false;
};

} // namespace mangovalve
