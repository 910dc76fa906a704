// The endpoints that a daemon knows, from their own registrations.
//
// A registration that lapsed because the store was away comes back within a
// short while of the store's return if the endpoint lives, so its removal is
// held back until then. Everything else takes effect at once: an endpoint that
// leaves may get no new work.
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
  std::string mId; // new with most starts of an endpoint
  std::string mService;
  std::string mAddress;
  std::string mDomain;
  std::uint32_t mSlots = 1;    // requests that it runs at once
  bool mLeaving = false;       // finishes its work and exits
  std::int64_t mStartedMs = 0; // start of this incarnation, Unix time
};

struct DirectoryEntry
{
  Registration mRegistration;
  // When a held-back removal takes effect.
  std::optional<TimePoint> mRemoveAt;
};

struct EndpointDirectory
{
  std::map<std::string, DirectoryEntry> mEntries; // by id
  bool mStoreReachable = true;
  TimePoint mStoreRecoveredAt{}; // last return of the store
};

auto Register(EndpointDirectory& aDirectory, Registration aRegistration)
  -> void;

// Takes the id out, at once or after the grace period.
auto Unregister(EndpointDirectory& aDirectory,
                const std::string& aId,
                TimePoint aNow) -> void;

// Makes the directory hold just these, with the same care for removals.
auto ReplaceAll(EndpointDirectory& aDirectory,
                std::vector<Registration> aRegistrations,
                TimePoint aNow) -> void;

auto RecordStoreContact(EndpointDirectory& aDirectory,
                        bool aAnswered,
                        TimePoint aNow) -> void;

// Applies removals whose time has come; returns the ids removed.
auto ApplyRemovals(EndpointDirectory& aDirectory, TimePoint aNow)
  -> std::vector<std::string>;

} // namespace mangovalve
