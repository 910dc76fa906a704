// Serialization of the FleetState: a sequence of length-prefixed sections.
#include "mangovalve/replay/fleet_state.h"

#include <cstdint>

#include <absl/strings/str_cat.h>

namespace mangovalve {
namespace {

// First bytes of a saved state; the digit is the version of the format.
constexpr std::string_view kMagic = "mvstate1";

auto PutNumber(std::string& aOut, std::uint64_t aValue) -> void
{
  for (auto shift = 0; shift < 64; shift += 8) {
    aOut.push_back(static_cast<char>((aValue >> shift) & 0xff));
  }
}

auto PutText(std::string& aOut, std::string_view aText) -> void
{
  PutNumber(aOut, aText.size());
  aOut.append(aText);
}

// Reads a saved state. mValid becomes false when a read exceeds the data.
struct Reader
{
  std::string_view mData;
  bool mValid = true;
};

auto TakeNumber(Reader& aReader) -> std::uint64_t
{
  if (aReader.mData.size() < 8) {
    aReader.mValid = false;
    return 0;
  }
  std::uint64_t value = 0;
  for (auto i = 7; i >= 0; --i) {
    value = value << 8 | static_cast<unsigned char>(
                           aReader.mData[static_cast<std::size_t>(i)]);
  }
  aReader.mData.remove_prefix(8);
  return value;
}

auto TakeText(Reader& aReader) -> std::string_view
{
  const auto size = TakeNumber(aReader);
  if (size > aReader.mData.size()) {
    aReader.mValid = false;
    return {};
  }
  const auto text = aReader.mData.substr(0, size);
  aReader.mData.remove_prefix(size);
  return text;
}

auto PutTime(std::string& aOut, LogTime aTime) -> void
{
  PutNumber(aOut, static_cast<std::uint64_t>(aTime.time_since_epoch().count()));
}

auto TakeTime(Reader& aReader) -> LogTime
{
  return LogTime(
    std::chrono::milliseconds(static_cast<std::int64_t>(TakeNumber(aReader))));
}

auto SaveSeen(const SeenRecords& aSeen) -> std::string
{
  std::string out;
  for (const auto& id : aSeen.mInOrder) {
    const auto& seen = aSeen.mById.at(id);
    PutNumber(out, id.mHigh);
    PutNumber(out, id.mLow);
    PutNumber(out, seen.mContext.mOffset);
    PutNumber(out, seen.mContext.mIndex);
    PutTime(out, seen.mContext.mTime);
    PutNumber(out, seen.mVerdict.mAccepted ? 1 : 0);
    PutText(out, seen.mVerdict.mReason);
    PutNumber(out, seen.mVerdict.mDetail);
  }
  return out;
}

auto LoadSeen(std::string_view aData, SeenRecords& aSeen) -> bool
{
  Reader reader{ aData };
  while (reader.mValid && !reader.mData.empty()) {
    Id128 id;
    SeenRecord seen;
    id.mHigh = TakeNumber(reader);
    id.mLow = TakeNumber(reader);
    seen.mContext.mOffset = TakeNumber(reader);
    seen.mContext.mIndex = static_cast<std::uint32_t>(TakeNumber(reader));
    seen.mContext.mTime = TakeTime(reader);
    seen.mVerdict.mAccepted = TakeNumber(reader) != 0;
    seen.mVerdict.mReason = TakeText(reader);
    seen.mVerdict.mDetail = TakeNumber(reader);
    if (!aSeen.mById.emplace(id, std::move(seen)).second) {
      return false;
    }
    aSeen.mInOrder.push_back(id);
  }
  return reader.mValid;
}

} // namespace

auto Save(const FleetState& aState) -> std::string
{
  std::string out(kMagic);
  PutNumber(out, aState.mNext);
  PutTime(out, aState.mLogTime);
  PutText(out, SaveSeen(aState.mSeen));
  PutText(out, Save(aState.mConfig));
  PutText(out, Save(aState.mMembers));
  PutText(out, Save(aState.mBatch));
  PutText(out, Save(aState.mIntents));
  PutText(out, Save(aState.mCommands));
  return out;
}

auto Load(std::string_view aData, FleetState& aState)
  -> Result<void, std::string>
{
  if (aData.substr(0, kMagic.size()) != kMagic) {
    return Err(std::string("the saved state has an unknown format"));
  }
  Reader reader{ aData.substr(kMagic.size()) };
  FleetState state;
  state.mNext = TakeNumber(reader);
  state.mLogTime = TakeTime(reader);
  const auto seenValid = LoadSeen(TakeText(reader), state.mSeen);
  auto loaded =
    Load(TakeText(reader), state.mConfig)
      .and_then([&] { return Load(TakeText(reader), state.mMembers); })
      .and_then([&] { return Load(TakeText(reader), state.mBatch); })
      .and_then([&] { return Load(TakeText(reader), state.mIntents); })
      .and_then([&] { return Load(TakeText(reader), state.mCommands); });
  if (!loaded) {
    return loaded;
  }
  if (!seenValid || !reader.mValid || !reader.mData.empty()) {
    return Err(
      std::string("the saved state is truncated or has trailing bytes"));
  }
  aState = std::move(state);
  return {};
}

} // namespace mangovalve
