// StreamPipe: a streamed answer on its way from the thread that reads it from
// an endpoint to the server worker that writes it to the caller. Bounded, so
// that a slow caller slows the endpoint down instead of filling memory.
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

  // Writer side. False when the reader is gone.
  auto PutHead(const EndpointResponseHead& aHead) -> bool;
  auto PutData(std::string_view aData) -> bool;
  auto End(Result<EndpointResponse, Refusal> aResult) -> void;

  // Reader side. Waits for a streamed head or for the end.
  auto WaitForHead() -> std::optional<EndpointResponseHead>;
  enum class Next
  {
    Data,
    Nothing, // nothing came until aUntil
    Ended,
  };
  // Takes all waiting data.
  auto Take(TimePoint aUntil, std::string& aData) -> Next;
  // After Ended, or after WaitForHead returned nothing.
  auto Ending() -> Result<EndpointResponse, Refusal>;
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
