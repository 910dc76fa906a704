// The process-wide table of counters.
#include "mangovalve/telemetry/counters.h"

#include <map>
#include <memory>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/synchronization/mutex.h>

namespace mangovalve {
namespace {

struct Table
{
  absl::Mutex mMutex;
  // Key: the series as rendered, name and labels.
  std::map<std::string, std::unique_ptr<Counter>> mSeries;
};

auto ProcessTable() -> Table&
{
  // Never destroyed: threads may still count while the process exits.
  static auto* const sTable = new Table;
  return *sTable;
}

auto SeriesKey(const std::string& aName, Labels aLabels) -> std::string
{
  if (aLabels.size() == 0) {
    return aName;
  }
  auto key = aName + "{";
  const auto* separator = "";
  for (const auto& [label, value] : aLabels) {
    const auto escaped = absl::StrReplaceAll(
      value, { { "\\", "\\\\" }, { "\"", "\\\"" }, { "\n", "\\n" } });
    absl::StrAppend(&key, separator, label, "=\"", escaped, "\"");
    separator = ",";
  }
  return key + "}";
}

} // namespace

auto FindCounter(const std::string& aName, Labels aLabels) -> Counter&
{
  auto& table = ProcessTable();
  auto key = SeriesKey(aName, aLabels);
  const absl::MutexLock lock(&table.mMutex);
  if (table.mSeries.size() >= kMaxSeries && !table.mSeries.contains(key)) {
    key = "mangovalve_series_overflow";
  }
  auto& slot = table.mSeries[key];
  if (!slot) {
    slot = std::make_unique<Counter>();
  }
  return *slot;
}

auto RenderCounters() -> std::string
{
  auto& table = ProcessTable();
  const absl::MutexLock lock(&table.mMutex);
  std::string text;
  for (const auto& [key, counter] : table.mSeries) {
    absl::StrAppend(&text, key, " ", counter->Value(), "\n");
  }
  return text;
}

} // namespace mangovalve
