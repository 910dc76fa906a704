// Encodes records into the payload of one append.
#include "mangovalve/replay/encode.h"

#include "mangovalve/replay/records_generated.h"

namespace mangovalve {

auto EncodeBatch(const std::string& aWriter,
                 LogTime aStamp,
                 const std::vector<const RecordDraft*>& aRecords) -> std::string
{
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<record::Record>> records;
  for (const auto* const each : aRecords) {
    const record::RecordId id(each->mId.mHigh, each->mId.mLow);
    const auto body = each->mBuild(builder);
    records.push_back(record::CreateRecord(builder, &id, each->mType, body));
  }
  const auto writer = builder.CreateString(aWriter);
  const auto vector = builder.CreateVector(records);
  builder.Finish(record::CreateRecordBatch(
    builder, writer, vector, aStamp.time_since_epoch().count()));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()),
           builder.GetSize() };
}

} // namespace mangovalve
