// Directory of the endpoints that a daemon knows.
#include "mangovalve/serving/endpoint_directory.h"

#include <set>

namespace mangovalve {
namespace {

// Running endpoints register again within about 2 s of the store's recovery,
// according to the platform's specification.
constexpr auto kReregistrationGrace = std::chrono::milliseconds(2000);

auto RemovalIsImmediate(const EndpointDirectory& aDirectory, TimePoint aNow)
  -> bool
{
  return aDirectory.mStoreReachable &&
         aNow >= aDirectory.mStoreRecoveredAt + kReregistrationGrace;
}

} // namespace

auto Register(EndpointDirectory& aDirectory, Registration aRegistration) -> void
{
  auto& entry = aDirectory.mEntries[aRegistration.mId];
  entry.mRemoveAt.reset();
  if (entry.mRegistration != aRegistration) {
    entry.mRegistration = std::move(aRegistration);
    ++aDirectory.mRevision;
  }
}

auto Renew(EndpointDirectory& aDirectory, const std::string& aId) -> void
{
  const auto found = aDirectory.mEntries.find(aId);
  if (found != aDirectory.mEntries.end()) {
    found->second.mRemoveAt.reset();
  }
}

auto Unregister(EndpointDirectory& aDirectory,
                const std::string& aId,
                TimePoint aNow) -> void
{
  const auto found = aDirectory.mEntries.find(aId);
  if (found == aDirectory.mEntries.end()) {
    return;
  }
  // A leaving endpoint does not register again.
  if (RemovalIsImmediate(aDirectory, aNow) ||
      found->second.mRegistration.mLeaving) {
    found->second.mRemoveAt = aNow;
  } else if (!found->second.mRemoveAt) {
    found->second.mRemoveAt =
      (aDirectory.mStoreReachable ? aDirectory.mStoreRecoveredAt : aNow) +
      kReregistrationGrace;
  }
}

auto ReplaceAll(EndpointDirectory& aDirectory,
                std::vector<Registration> aRegistrations,
                TimePoint aNow) -> void
{
  aDirectory.mLoaded = true;
  std::set<std::string> present;
  for (auto& registration : aRegistrations) {
    present.insert(registration.mId);
    Register(aDirectory, std::move(registration));
  }
  for (const auto& [id, entry] : aDirectory.mEntries) {
    if (!present.contains(id)) {
      Unregister(aDirectory, id, aNow);
    }
  }
}

auto RecordStoreContact(EndpointDirectory& aDirectory,
                        bool aAnswered,
                        TimePoint aNow) -> void
{
  if (aAnswered && !aDirectory.mStoreReachable) {
    aDirectory.mStoreRecoveredAt = aNow;
    for (auto& [id, entry] : aDirectory.mEntries) {
      if (entry.mRemoveAt) {
        entry.mRemoveAt = aNow + kReregistrationGrace;
      }
    }
  }
  aDirectory.mStoreReachable = aAnswered;
}

auto ApplyRemovals(EndpointDirectory& aDirectory, TimePoint aNow)
  -> std::vector<std::string>
{
  std::vector<std::string> removed;
  for (auto it = aDirectory.mEntries.begin();
       it != aDirectory.mEntries.end();) {
    // A delayed removal can't be confirmed while the store is unavailable.
    if (it->second.mRemoveAt && aDirectory.mStoreReachable &&
        *it->second.mRemoveAt <= aNow) {
      removed.push_back(it->first);
      ++aDirectory.mRevision;
      it = aDirectory.mEntries.erase(it);
    } else {
      ++it;
    }
  }
  return removed;
}

} // namespace mangovalve
