// Dispatch of one batch item to an endpoint. An item of a model runs as a
// stream that can be stopped and resumed; an item of a service without a model
// runs as one HTTP exchange.
#pragma once

#include <string>

#include <absl/synchronization/mutex.h>

#include "mangovalve/base/result.h"
#include "mangovalve/base/thread.h"
#include "mangovalve/batch/ports.h"
#include "mangovalve/config/document.h"
#include "mangovalve/endpoint/client.h"

namespace mangovalve {

// Request body that the engine receives for a model item: the item's body with
// the job's model set and streaming enabled. Returns an error that describes
// the fault if the body is not a JSON object or has neither prompt nor
// messages.
auto ItemRequestBody(const std::string& aBody, const std::string& aModel)
  -> Result<std::string, std::string>;

// Joins the events of a streamed response into the JSON completion that the
// engine would have sent without streaming. Returns an error if an event is
// malformed or there is none.
auto JoinEvents(const std::string& aEvents) -> Result<std::string, std::string>;

// Number of complete events ("data: ..." up to an empty line). This is the
// position from which a stream is resumed.
auto CountEvents(const std::string& aEvents) -> std::uint64_t;

// Returns the text without an incomplete event at its end.
auto CompleteEvents(const std::string& aEvents) -> std::string;

// Polls the stop flags of running dispatches on its own thread and cancels the
// exchange of each dispatch whose flag is set. Thread-safe.
class StopWatcher
{
public:
  StopWatcher();
  ~StopWatcher();
  StopWatcher(const StopWatcher&) = delete;
  auto operator=(const StopWatcher&) -> StopWatcher& = delete;

  // Returns a ticket. Both arguments must stay valid until Remove is called
  // with it.
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

// Runs the item and blocks until it has an outcome; see BatchPorts::mDispatch.
auto RunBatchItem(EndpointClient& aClient,
                  StopWatcher& aWatcher,
                  const Document& aDocument,
                  const BatchDispatch& aDispatch,
                  const StopFlag& aStop) -> DispatchOutcome;

} // namespace mangovalve
