// Thread: a thin owner of a pthread_t.
#include "mangovalve/base/thread.h"

#include <cstdlib>
#include <memory>
#include <utility>

namespace mangovalve {
namespace {

struct StartArgument
{
  std::string mName;
  std::function<void()> mBody;
};

extern "C" auto RunThread(void* aArgument) -> void*
{
  const std::unique_ptr<StartArgument> start(
    static_cast<StartArgument*>(aArgument));
  pthread_setname_np(pthread_self(), start->mName.c_str());
  start->mBody();
  return nullptr;
}

} // namespace

Thread::Thread(const std::string& aName, std::function<void()> aBody)
{
  auto start = std::make_unique<StartArgument>(
    StartArgument{ aName.substr(0, 15), std::move(aBody) });
  if (pthread_create(&mHandle, nullptr, RunThread, start.get()) != 0) {
    std::abort();
  }
  static_cast<void>(start.release());
  mJoinable = true;
}

Thread::~Thread()
{
  Join();
}

Thread::Thread(Thread&& aOther) noexcept
  : mHandle(aOther.mHandle)
  , mJoinable(std::exchange(aOther.mJoinable, false))
{
}

auto Thread::operator=(Thread&& aOther) noexcept -> Thread&
{
  if (this != &aOther) {
    Join();
    mHandle = aOther.mHandle;
    mJoinable = std::exchange(aOther.mJoinable, false);
  }
  return *this;
}

auto Thread::Join() -> void
{
  if (std::exchange(mJoinable, false)) {
    pthread_join(mHandle, nullptr);
  }
}

} // namespace mangovalve
