// StreamPipe: a bounded buffer between one writer and one reader thread.
#include "mangovalve/online/stream_pipe.h"

namespace mangovalve {

auto StreamPipe::PutHead(const EndpointResponseHead& aHead) -> bool
{
  const absl::MutexLock lock(&mMutex);
  mHead = aHead;
  mChanged.SignalAll();
  return !mReaderClosed;
}

auto StreamPipe::PutData(std::string_view aData) -> bool
{
  const absl::MutexLock lock(&mMutex);
  while (mData.size() >= mMaxBytes && !mReaderClosed) {
    mChanged.Wait(&mMutex);
  }
  mData.append(aData);
  mChanged.SignalAll();
  return !mReaderClosed;
}

auto StreamPipe::End(Result<EndpointResponse, Refusal> aResult) -> void
{
  const absl::MutexLock lock(&mMutex);
  mResult = std::move(aResult);
  mChanged.SignalAll();
}

auto StreamPipe::WaitForHead() -> std::optional<EndpointResponseHead>
{
  const absl::MutexLock lock(&mMutex);
  while (!mHead && !mResult) {
    mChanged.Wait(&mMutex);
  }
  return mHead;
}

auto StreamPipe::Take(TimePoint aUntil, std::string& aData) -> Next
{
  const absl::MutexLock lock(&mMutex);
  while (mData.empty() && !mResult) {
    const auto remaining = aUntil - Clock::now();
    if (remaining <= Duration::zero()) {
      return Next::Nothing;
    }
    mChanged.WaitWithTimeout(&mMutex, absl::FromChrono(remaining));
  }
  if (mData.empty()) {
    return Next::Ended;
  }
  aData.clear();
  aData.swap(mData);
  mChanged.SignalAll();
  return Next::Data;
}

auto StreamPipe::FinalResult() -> Result<EndpointResponse, Refusal>
{
  const absl::MutexLock lock(&mMutex);
  return *mResult;
}

auto StreamPipe::CloseReader() -> void
{
  const absl::MutexLock lock(&mMutex);
  mReaderClosed = true;
  mChanged.SignalAll();
}

} // namespace mangovalve
