// Settings of a serving daemon.
#include "mangovalve/serving/settings.h"

#include <absl/strings/str_cat.h>
#include <toml++/toml.h>

#include "mangovalve/loop/http_client.h"

namespace mangovalve {
namespace {

// Reads individual settings and keeps the first error.
struct Reader
{
  const toml::table& mTable;
  std::string mError;

  auto Fail(const char* aName, const char* aWhat) -> void
  {
    if (mError.empty()) {
      mError = absl::StrCat("setting ", aName, " ", aWhat);
    }
  }

  auto Text(const char* aName, std::string& aInto, bool aRequired) -> void
  {
    const auto value = mTable.at_path(aName).value_exact<std::string>();
    if (value && (!aRequired || !value->empty())) {
      aInto = *value;
    } else if (aRequired || mTable.at_path(aName)) {
      Fail(aName, "must be a non-empty string");
    }
  }

  auto Address(const char* aName, std::string& aInto, bool aRequired) -> void
  {
    Text(aName, aInto, aRequired);
    if (!aInto.empty() && !ParseAddress(aInto)) {
      Fail(aName, "must be IP:PORT");
    }
  }

  // Reads a number between aLeast and aMost. aInto keeps its default if the
  // setting is absent.
  template<typename T>
  auto Number(const char* aName, T& aInto, double aLeast, double aMost) -> void
  {
    const auto node = mTable.at_path(aName);
    if (!node) {
      return;
    }
    const auto value = node.template value<double>();
    if (!value || *value < aLeast || *value > aMost) {
      Fail(aName, "must be a number within its valid range");
      return;
    }
    aInto = static_cast<T>(*value);
  }

  auto Seconds(const char* aName, std::chrono::milliseconds& aInto) -> void
  {
    constexpr double kDay = 86400;
    constexpr double kMillis = 1000;
    std::chrono::duration<double> seconds = aInto;
    auto number = seconds.count();
    Number(aName, number, 0, kDay);
    aInto =
      std::chrono::milliseconds(static_cast<std::int64_t>(number * kMillis));
  }
};

} // namespace

auto UpdateSettings(const ServingSettings& aCurrent,
                    const ServingSettings& aChanged) -> SettingsUpdate
{
  SettingsUpdate update{ aChanged, {} };
  const auto keep = [&](const char* aName, auto ServingSettings::*aMember) {
    if (update.mSettings.*aMember != aCurrent.*aMember) {
      update.mSettings.*aMember = aCurrent.*aMember;
      update.mNeedRestart.emplace_back(aName);
    }
  };
  keep("host.name", &ServingSettings::mName);
  keep("host.failure_domain", &ServingSettings::mFailureDomain);
  keep("listen.callers", &ServingSettings::mCallers);
  keep("listen.readiness", &ServingSettings::mReadiness);
  keep("listen.peers", &ServingSettings::mPeers);
  keep("listen.operators", &ServingSettings::mOperators);
  keep("store.address", &ServingSettings::mStore);
  keep("store.job_partitions", &ServingSettings::mJobPartitions);
  return update;
}

auto ReadServingSettings(const std::string& aPath)
  -> Result<ServingSettings, std::string>
{
  toml::table table;
  try {
    table = toml::parse_file(aPath);
  } catch (const toml::parse_error& error) {
    return Err(absl::StrCat(aPath, ": ", std::string(error.description())));
  }
  ServingSettings settings;
  Reader reader{ table, {} };
  reader.Text("host.name", settings.mName, true);
  reader.Text("host.failure_domain", settings.mFailureDomain, true);
  reader.Address("listen.callers", settings.mCallers, true);
  reader.Address("listen.readiness", settings.mReadiness, true);
  reader.Address("listen.peers", settings.mPeers, true);
  reader.Address("listen.operators", settings.mOperators, false);
  reader.Address("store.address", settings.mStore, true);
  constexpr double kMaxPartitions = 10000;
  constexpr double kMinRecord = 8192;
  constexpr double kMaxBytes = 1 << 30;
  reader.Number(
    "store.job_partitions", settings.mJobPartitions, 1, kMaxPartitions);
  reader.Number(
    "store.record_bytes", settings.mMaxRecordBytes, kMinRecord, kMaxBytes);
  reader.Number(
    "store.call_bytes", settings.mMaxCallBytes, kMinRecord, kMaxBytes);
  reader.Seconds("shutdown.grace_seconds", settings.mTerminationGrace);
  reader.Seconds("batch.keep_results_seconds", settings.mKeepResults);
  // Less than one request of the default limits needs would refuse all of them.
  constexpr double kMinHeldBytes = 16UL << 20U;
  constexpr double kMaxHeldBytes = 1ULL << 40U;
  constexpr double kMinConnections = 16;
  constexpr double kMaxConnections = 1'000'000;
  constexpr double kMinHeaderLines = 16;
  constexpr double kMaxHeaderLines = 65'536;
  reader.Number(
    "memory.held_bytes", settings.mHeldBytes, kMinHeldBytes, kMaxHeldBytes);
  reader.Number("memory.connections",
                settings.mConnections,
                kMinConnections,
                kMaxConnections);
  reader.Number("memory.header_lines",
                settings.mHeaderLines,
                kMinHeaderLines,
                kMaxHeaderLines);
  reader.Text("log.level", settings.mLogLevel, false);
  if (const auto* seeds = table.at_path("seeds").as_array()) {
    for (const auto& seed : *seeds) {
      if (const auto text = seed.value_exact<std::string>();
          text && ParseAddress(*text)) {
        settings.mSeeds.push_back(*text);
      }
    }
  }
  if (!reader.mError.empty()) {
    return Err(absl::StrCat(aPath, ": ", reader.mError));
  }
  return settings;
}

} // namespace mangovalve
