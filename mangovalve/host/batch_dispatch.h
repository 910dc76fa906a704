// Runs one batch item at an endpoint: model items as a stream that can be
// stopped and resumed, items of plain services as one exchange.
#pragma once

#include <string>

#include <absl/synchronization/mutex.h>

#include "mangovalve/base/result.h"
#include "mangovalve/base/thread.h"
#include "mangovalve/batch/ports.h"
#include "mangovalve/config/document.h"
#include "mangovalve/endpoint/client.h"

namespace mangovalve {

// Body of a model item as the engine gets it: the item's own with the job's
// model and streaming on. The error says what is wrong with the item.
auto ItemRequestBody(const std::string& aBody, const std::string& aModel)
  -> Result<std::string, std::string>;

// Joins the events of a streamed answer into one JSON completion, as the
// engine would have answered without streaming. The error names the malformed
// event.
auto JoinEvents(const std::string& aEvents) -> Result<std::string, std::string>;

// Number of whole events ("data: ..." up to an empty line) in the text, the
// position from which a stream is resumed.
auto CountEvents(const std::string& aEvents) -> std::uint64_t;

// Cuts an event that did not arrive whole from the end.
auto CompleteEvents(const std::string& aEvents) -> std::string;

// Watches the stop flags of running dispatches and cancels their exchanges.
class StopWatcher
{
public:
  StopWatcher();
  ~StopWatcher();
  StopWatcher(const StopWatcher&) = delete;
  auto operator=(const StopWatcher&) -> StopWatcher& = delete;

  // Both must stay valid until Remove with the same ticket.
  auto Add(const StopFlag& aFlag, Cancellation& aCancellation) -> std::uint64_t;
  auto Remove(std::uint64_t aTicket) -> void;

private:
  struct Watched
  {
    const StopFlag* mFlag = nullptr;
    Cancellation* mCancellation = nullptr;
  };

  auto Run() -> void;

  absl::Mutex mMutex;
  std::map<std::uint64_t, Watched> mWatched ABSL_GUARDED_BY(mMutex);
  std::uint64_t mNextTicket ABSL_GUARDED_BY(mMutex) = 1;
  bool mStopping ABSL_GUARDED_BY(mMutex) = false;
  Thread mThread;
};

// Runs the item to its end; see BatchPorts::mDispatch.
auto RunBatchItem(EndpointClient& aClient,
                  StopWatcher& aWatcher,
                  const Document& aDocument,
                  const BatchDispatch& aDispatch,
                  const StopFlag& aStop) -> DispatchOutcome;

} // namespace mangovalve
