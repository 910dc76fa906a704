// Packs FlatBuffers tables into byte strings, and verifies byte strings before
// they are read as tables.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <flatbuffers/flatbuffers.h>

namespace mangovalve {

template<typename TableType>
auto PackTable(const typename TableType::NativeTableType& aObject)
  -> std::string
{
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(TableType::Pack(builder, &aObject));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()),
           builder.GetSize() };
}

// The table in place; null if the bytes are not a valid table of this type.
template<typename TableType>
auto VerifiedTable(const std::string& aBytes) -> const TableType*
{
  const auto* data = reinterpret_cast<const std::uint8_t*>(aBytes.data());
  flatbuffers::Verifier verifier(data, aBytes.size());
  return verifier.VerifyBuffer<TableType>(nullptr)
           ? flatbuffers::GetRoot<TableType>(data)
           : nullptr;
}

// A copy of the table; nullopt if the bytes are not a valid table of this type.
template<typename TableType>
auto UnpackTable(const std::string& aBytes)
  -> std::optional<typename TableType::NativeTableType>
{
  const auto* table = VerifiedTable<TableType>(aBytes);
  if (table == nullptr) {
    return std::nullopt;
  }
  typename TableType::NativeTableType object;
  table->UnPackTo(&object);
  return object;
}

} // namespace mangovalve
