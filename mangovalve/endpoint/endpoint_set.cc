// EndpointSet: host list, health and choice of endpoints.
#include "mangovalve/endpoint/endpoint_set.h"

#include <algorithm>
#include <set>

#include "mangovalve/base/id.h"

namespace mangovalve {

EndpointSet::EndpointSet(std::string aOwnDomain, EndpointSetOptions aOptions)
  : mOwnDomain(std::move(aOwnDomain))
  , mOptions(aOptions)
  , mRandom{ aOptions.mSeed != 0 ? aOptions.mSeed : NewId().mLow }
{
}

auto EndpointSet::ApplyHostList(const std::vector<EndpointHint>& aList) -> void
{
  const absl::MutexLock lock(&mMutex);
  std::map<std::string, std::set<std::string>> listed;
  for (const auto& hint : aList) {
    listed[hint.mService].insert(hint.mAddress);
    auto& entry = mServices[hint.mService].mEntries[hint.mAddress];
    if (entry.mHint.mLeaving && !hint.mLeaving) {
      entry.mHealth = {}; // the endpoint has registered again
    }
    entry.mHint = hint;
  }
  for (auto& [name, service] : mServices) {
    const auto found = listed.find(name);
    if (found == listed.end()) {
      continue;
    }
    for (auto it = service.mEntries.begin(); it != service.mEntries.end();) {
      auto& entry = it->second;
      entry.mHint.mLeaving =
        entry.mHint.mLeaving || !found->second.contains(it->first);
      const auto removable =
        !found->second.contains(it->first) && entry.mInFlight == 0;
      it = removable ? service.mEntries.erase(it) : std::next(it);
    }
  }
}

auto EndpointSet::FindEntry(const std::string& aAddress) -> Entry*
{
  for (auto& [name, service] : mServices) {
    const auto found = service.mEntries.find(aAddress);
    if (found != service.mEntries.end()) {
      return &found->second;
    }
  }
  return nullptr;
}

auto EndpointSet::UpdateService(ServiceState& aService, TimePoint aNow) -> void
{
  std::vector<Health*> healths;
  for (auto& [address, entry] : aService.mEntries) {
    if (!entry.mHint.mLeaving) {
      healths.push_back(&entry.mHealth);
    }
  }
  UpdateEjections(healths, mOptions.mHealth, aNow);
}

auto EndpointSet::ToCandidate(const Entry& aEntry,
                              std::uint32_t aLimit,
                              TimePoint aNow) const -> Candidate
{
  Candidate candidate{ aEntry.mHint.mAddress,
                       aEntry.mHint.mDomain == mOwnDomain };
  candidate.mOwnInFlight = aEntry.mInFlight;
  candidate.mLimit = aLimit;
  candidate.mSlowStart = SlowStartShare(aEntry.mHealth, mOptions.mHealth, aNow);
  if (aEntry.mReport &&
      aNow - aEntry.mReport->mRequestedAt <= mOptions.mMaxReportAge) {
    candidate.mOwnAtReport = aEntry.mInFlightAtReport;
    candidate.mReported = aEntry.mReport->mRunning + aEntry.mReport->mWaiting;
  }
  return candidate;
}

auto EndpointSet::HasRoom(const std::string& aService,
                          std::uint32_t aLimit,
                          TimePoint aNow) -> bool
{
  const absl::MutexLock lock(&mMutex);
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return false;
  }
  UpdateService(found->second, aNow);
  const auto& entries = found->second.mEntries;
  return std::any_of(entries.begin(), entries.end(), [&](const auto& aItem) {
    const auto& entry = aItem.second;
    return !entry.mHint.mLeaving && Usable(entry.mHealth, aNow) &&
           Utilisation(ToCandidate(entry, aLimit, aNow)) < 1;
  });
}

auto EndpointSet::Choose(const std::string& aService,
                         std::uint32_t aLimit,
                         std::uint64_t aPrefix,
                         const std::vector<std::string>& aExclude,
                         TimePoint aNow) -> std::optional<ChosenEndpoint>
{
  const absl::MutexLock lock(&mMutex);
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return std::nullopt;
  }
  auto& service = found->second;
  UpdateService(service, aNow);
  std::vector<Candidate> candidates;
  std::vector<Entry*> entries;
  for (auto& [address, entry] : service.mEntries) {
    if (entry.mHint.mLeaving || !Usable(entry.mHealth, aNow) ||
        std::find(aExclude.begin(), aExclude.end(), address) !=
          aExclude.end()) {
      continue;
    }
    candidates.push_back(ToCandidate(entry, aLimit, aNow));
    entries.push_back(&entry);
  }
  const auto index = ChooseEndpoint(
    candidates, aPrefix, mOptions.mChoice, service.mSpill, mRandom);
  if (!index) {
    return std::nullopt;
  }
  auto& entry = *entries[*index];
  ++entry.mInFlight;
  return ChosenEndpoint{ aService, entry.mHint.mAddress, entry.mHint.mDomain };
}

auto EndpointSet::Finish(const ChosenEndpoint& aEndpoint,
                         ExchangeResult aResult,
                         TimePoint aNow) -> void
{
  const absl::MutexLock lock(&mMutex);
  auto* const entry = FindEntry(aEndpoint.mAddress);
  if (entry == nullptr) {
    return;
  }
  entry->mInFlight -= entry->mInFlight > 0 ? 1 : 0;
  NoteResult(entry->mHealth, aResult, mOptions.mHealth, aNow);
}

auto EndpointSet::RecordLoad(const std::string& aAddress,
                             const LoadReport& aReport,
                             TimePoint aNow) -> void
{
  const absl::MutexLock lock(&mMutex);
  auto* const entry = FindEntry(aAddress);
  if (entry == nullptr) {
    return;
  }
  entry->mReport = aReport;
  entry->mInFlightAtReport = entry->mInFlight;
  if (aReport.mLeaving) {
    NoteResult(entry->mHealth, ExchangeResult::Leaving, mOptions.mHealth, aNow);
  } else if (entry->mHealth.mConsecutiveRefusals > 0) {
    // A report shows that the endpoint accepts connections again.
    NoteResult(entry->mHealth, ExchangeResult::Good, mOptions.mHealth, aNow);
  }
}

auto EndpointSet::RecordProbe(const std::string& aAddress,
                              ExchangeResult aResult,
                              TimePoint aNow) -> void
{
  const absl::MutexLock lock(&mMutex);
  if (auto* const entry = FindEntry(aAddress)) {
    NoteResult(entry->mHealth, aResult, mOptions.mHealth, aNow);
  }
}

auto EndpointSet::UsableCount(const std::string& aService, TimePoint aNow)
  -> std::size_t
{
  const absl::MutexLock lock(&mMutex);
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return 0;
  }
  UpdateService(found->second, aNow);
  const auto& entries = found->second.mEntries;
  return static_cast<std::size_t>(
    std::count_if(entries.begin(), entries.end(), [&](const auto& aItem) {
      return !aItem.second.mHint.mLeaving && Usable(aItem.second.mHealth, aNow);
    }));
}

auto EndpointSet::List(TimePoint aNow) -> std::vector<EndpointStatus>
{
  const absl::MutexLock lock(&mMutex);
  std::vector<EndpointStatus> list;
  for (auto& [name, service] : mServices) {
    UpdateService(service, aNow);
    for (const auto& [address, entry] : service.mEntries) {
      EndpointStatus status;
      status.mHint = entry.mHint;
      const auto leaving =
        entry.mHint.mLeaving || entry.mHealth.mLeavingUntil > aNow;
      status.mState = leaving                       ? EndpointState::Leaving
                      : Usable(entry.mHealth, aNow) ? EndpointState::Live
                                                    : EndpointState::Ejected;
      status.mOwnInFlight = entry.mInFlight;
      status.mReport = entry.mReport;
      list.push_back(std::move(status));
    }
  }
  return list;
}

} // namespace mangovalve
