// Counters and gauges, exposed at /metrics in the Prometheus text format.
//
// A counter is looked up by name and labels once and then updated without a
// lock. Label values come from the document and from fixed sets, never from
// callers, so the number of series is bounded; past kMaxSeries further series
// share one overflow counter.
#pragma once

#include <atomic>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <utility>

namespace mangovalve {

// Upper bound of distinct series in one process.
constexpr std::size_t kMaxSeries = 20000;

// One time series. Add for counters, Set for gauges.
class Counter
{
public:
  auto Add(std::int64_t aDelta = 1) -> void
  {
    mValue.fetch_add(aDelta, std::memory_order_relaxed);
  }
  auto Set(std::int64_t aValue) -> void
  {
    mValue.store(aValue, std::memory_order_relaxed);
  }
  auto Value() const -> std::int64_t
  {
    return mValue.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::int64_t> mValue{ 0 };
};

using Labels = std::initializer_list<std::pair<std::string, std::string>>;

// Returns the counter with this name and labels, created on first use. The
// reference stays valid for the life of the process. Names use
// [a-z_][a-z0-9_]*; a counter's name ends in _total.
auto FindCounter(const std::string& aName, Labels aLabels = {}) -> Counter&;

// Renders all series, sorted by name.
auto RenderCounters() -> std::string;

} // namespace mangovalve
