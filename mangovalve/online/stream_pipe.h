// StreamPipe: passes a streamed answer from the thread that reads it from an
// endpoint to the server worker that writes it to the caller. The buffer is
// bounded, so that a slow caller causes back pressure on the endpoint instead
// of filling memory.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <absl/synchronization/mutex.h>

#include "mangovalve/base/result.h"
#include "mangovalve/base/time.h"
#include "mangovalve/endpoint/client.h"
#include "mangovalve/online/refusal.h"

namespace mangovalve {

class StreamPipe
{
public:
  explicit StreamPipe(std::size_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }

  // Writer side. PutHead and PutData return false once the reader has closed;
  // PutData blocks while the buffer is full.
  auto PutHead(const EndpointResponseHead& aHead) -> bool;
  auto PutData(std::string_view aData) -> bool;
  auto End(Result<EndpointResponse, Refusal> aResult) -> void;

  // Reader side. Waits for the head of a streamed answer; nullopt if the answer
  // ended without one.
  auto WaitForHead() -> std::optional<EndpointResponseHead>;
  enum class Next
  {
    Data,
    Nothing, // no data was received until aUntil
    Ended,
  };
  // Waits for data and takes all that is buffered.
  auto Take(TimePoint aUntil, std::string& aData) -> Next;
  // May be called after Take returned Ended or WaitForHead returned nullopt.
  auto FinalResult() -> Result<EndpointResponse, Refusal>;
  auto CloseReader() -> void;

private:
  const std::size_t mMaxBytes;
  absl::Mutex mMutex;
  absl::CondVar mChanged;
  std::optional<EndpointResponseHead> mHead;
  std::string mData;
  std::optional<Result<EndpointResponse, Refusal>> mResult;
  bool mReaderClosed = false;
};

} // namespace mangovalve
