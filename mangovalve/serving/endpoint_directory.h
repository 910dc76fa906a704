// Directory of the endpoints that a daemon knows from their registrations.
//
// During an outage of the store, endpoints can't renew their registrations, so
// a registration may expire although its endpoint runs. The endpoint registers
// again shortly after the store recovers, so such a removal is delayed until
// then. All other changes take effect at once: a leaving endpoint must get no
// new work.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mangovalve/base/time.h"

namespace mangovalve {

struct Registration
{
  std::string mId; // usually changes when the endpoint restarts
  std::string mService;
  std::string mAddress;
  std::string mDomain;
  std::uint32_t mSlots = 1;    // maximum number of concurrent requests
  bool mLeaving = false;       // finishes its requests, then exits
  std::int64_t mStartedMs = 0; // start of this incarnation, Unix time
  // How much longer the endpoint was cold when it wrote the registration.
  std::chrono::milliseconds mColdFor{ 0 };

  auto operator==(const Registration&) const -> bool = default;
};

struct DirectoryEntry
{
  Registration mRegistration;
  // Set while a removal is pending: when it takes effect.
  std::optional<TimePoint> mRemoveAt;
};

struct EndpointDirectory
{
  std::map<std::string, DirectoryEntry> mEntries; // by id
  bool mLoaded = false; // the whole table has been read, or copied
  bool mStoreReachable = true;
  TimePoint mStoreRecoveredAt{}; // end of the last outage of the store
  // Increases whenever a registration is added, changed or removed.
  std::uint64_t mRevision = 0;
};

auto Register(EndpointDirectory& aDirectory, Registration aRegistration)
  -> void;

// Renews an unchanged registration, which cancels its pending removal.
auto Renew(EndpointDirectory& aDirectory, const std::string& aId) -> void;

// Schedules the removal of the id: at once, or after a grace period when the
// registration may have expired because of an outage of the store.
auto Unregister(EndpointDirectory& aDirectory,
                const std::string& aId,
                TimePoint aNow) -> void;

// Registers these endpoints and unregisters all others, subject to the same
// grace period.
auto ReplaceAll(EndpointDirectory& aDirectory,
                std::vector<Registration> aRegistrations,
                TimePoint aNow) -> void;

// Records whether the store answered the last read.
auto RecordStoreContact(EndpointDirectory& aDirectory,
                        bool aAnswered,
                        TimePoint aNow) -> void;

// Applies the removals that are due; returns the ids removed.
auto ApplyRemovals(EndpointDirectory& aDirectory, TimePoint aNow)
  -> std::vector<std::string>;

} // namespace mangovalve
